//! A store in memory, served over HTTP, that can be told to fail.

use {
    bytes::Bytes,
    dogwoodreach::http::{Limits, answer, serve},
    http_body_util::Full,
    hyper::Response,
    serde_json::{Value, json},
    std::{
        collections::{BTreeMap, VecDeque},
        future::pending,
        net::SocketAddr,
        sync::{Arc, Mutex},
        thread,
        time::Duration,
    },
    tokio::{net::TcpListener, sync::Notify, time::timeout},
};

/// What happens to a write of a job or a cancel.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fate {
    /// It is done, and nobody hears of it.
    Lost,
    /// It is not done, and nobody hears of it.
    Swallowed,
    /// Nobody hears of it, and it is done when the test says so, if its condition still holds.
    Late,
    /// It is refused.
    Refused,
}

/// How the store treats calls of one address that it serves.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Shut {
    /// It refuses them.
    Busy,
    /// It doesn't answer.
    Silent,
}

/// One item: its value, revision and lease.
pub type Row = (String, u64, u64);

#[derive(Default)]
struct State {
    rev: u64,
    leases: u64,
    live: Vec<u64>,
    rows: BTreeMap<String, Row>,
    log: Vec<(u64, String, Option<String>)>,
    plan: VecDeque<Fate>,
    late: Vec<Value>,
    /// Reads of these prefixes have no answer.
    mute: Vec<String>,
    /// Watches of these prefixes get no events.
    blind: Vec<String>,
    /// Watches of a prefix that are still to be refused.
    refused: Option<(String, u32)>,
    /// The prefixes of ranges that were read.
    ranges: Vec<String>,
    /// How many items were read.
    gets: usize,
    /// Addresses whose callers are turned away.
    shut: BTreeMap<SocketAddr, Shut>,
}

/// The store, and its test's hand on it.
#[derive(Clone, Default)]
pub struct Store {
    state: Arc<Mutex<State>>,
    moved: Arc<Notify>,
}

impl Store {
    /// Serves a store on a thread of its own.
    pub fn serve(&self) -> SocketAddr {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
        listener.set_nonblocking(true).expect("set");
        let addr = listener.local_addr().expect("an address");
        let this = self.clone();
        thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
            runtime.expect("a runtime").block_on(async move {
                let listener = TcpListener::from_std(listener).expect("a listener");
                let limits =
                    Limits { body: 1 << 20, connections: 64, patience: Duration::from_secs(60) };
                serve(listener, limits, pending(), move |head, body| {
                    let this = this.clone();
                    async move {
                        let ask = serde_json::from_slice(&body.expect("a body")).expect("JSON");
                        let shut = this.state.lock().expect("state").shut.get(&addr).copied();
                        match shut {
                            Some(Shut::Busy) => answer(503, "{}"),
                            Some(Shut::Silent) => pending().await,
                            None => this.call(head.uri.path(), ask).await,
                        }
                    }
                })
                .await;
            });
        });
        addr
    }

    /// From now on, callers that come by this address are turned away, or served again.
    pub fn shut(&self, addr: SocketAddr, how: Option<Shut>) {
        let mut state = self.state.lock().expect("state");
        match how {
            Some(how) => state.shut.insert(addr, how),
            None => state.shut.remove(&addr),
        };
    }

    /// Writes an item.
    pub fn put(&self, key: &str, value: &str) {
        self.state.lock().expect("state").write(key, Some((value.into(), 0)));
        self.moved.notify_waiters();
    }

    /// Reads an item.
    pub fn get(&self, key: &str) -> Option<Row> {
        self.state.lock().expect("state").rows.get(key).cloned()
    }

    /// The keys that begin so.
    pub fn keys(&self, prefix: &str) -> Vec<String> {
        let state = self.state.lock().expect("state");
        state.rows.keys().filter(|k| k.starts_with(prefix)).cloned().collect()
    }

    /// Says what happens to the next writes of jobs and cancels.
    pub fn plan(&self, fates: &[Fate]) {
        self.state.lock().expect("state").plan.extend(fates);
    }

    /// Does what is late, as far as its condition still holds, and forgets what was planned.
    pub fn land(&self) {
        let mut state = self.state.lock().expect("state");
        state.plan.clear();
        for ask in std::mem::take(&mut state.late) {
            state.call("/txn", &ask);
        }
        drop(state);
        self.moved.notify_waiters();
    }

    /// From now on, watches of this prefix see nothing.
    pub fn blind(&self, prefix: &str) {
        self.state.lock().expect("state").blind.push(prefix.into());
    }

    /// From now on, ranges and watches of this prefix have no answer, or have one again.
    pub fn mute(&self, prefix: &str, mute: bool) {
        let mut state = self.state.lock().expect("state");
        state.mute.retain(|m| m != prefix);
        if mute {
            state.mute.push(prefix.into());
        }
    }

    /// Refuses so many of the next watches of a prefix; those that wait are cut.
    pub fn refuse(&self, prefix: &str, count: u32) {
        self.state.lock().expect("state").refused = Some((prefix.into(), count));
        self.moved.notify_waiters();
    }

    /// Whether all watches have been refused that were to be.
    pub fn has_refused(&self) -> bool {
        self.state.lock().expect("state").refused.as_ref().is_none_or(|(_, n)| *n == 0)
    }

    /// How often a prefix was read.
    pub fn ranges(&self, prefix: &str) -> usize {
        self.state.lock().expect("state").ranges.iter().filter(|r| *r == prefix).count()
    }

    /// How many items were read.
    pub fn gets(&self) -> usize {
        self.state.lock().expect("state").gets
    }

    /// Ends all leases.
    pub fn end_leases(&self) {
        let mut state = self.state.lock().expect("state");
        for lease in state.live.clone() {
            state.end(lease);
        }
        drop(state);
        self.moved.notify_waiters();
    }

    async fn call(&self, path: &str, ask: Value) -> Response<Full<Bytes>> {
        let prefix = text(&ask, "prefix");
        if self.state.lock().expect("state").mute.iter().any(|m| m == prefix) {
            return pending().await;
        }
        if path == "/watch" {
            return self.watch(&ask).await;
        }
        let fate = self.state.lock().expect("state").fate(path, &ask);
        if fate == Some(Fate::Refused) {
            return answer(503, "{}");
        }
        if fate == Some(Fate::Late) {
            self.state.lock().expect("state").late.push(ask);
            return pending().await;
        }
        if fate == Some(Fate::Swallowed) {
            return pending().await;
        }
        let (status, said) = self.state.lock().expect("state").call(path, &ask);
        self.moved.notify_waiters();
        if fate == Some(Fate::Lost) {
            return pending().await;
        }
        answer(status, said.to_string())
    }

    async fn watch(&self, ask: &Value) -> Response<Full<Bytes>> {
        let (prefix, after) = (text(ask, "prefix"), number(ask, "after"));
        let wait = Duration::from_millis(number(ask, "wait"));
        let found = async {
            loop {
                let moved = self.moved.notified();
                if self.state.lock().expect("state").refuses(prefix) {
                    return None;
                }
                let (events, rev) = self.state.lock().expect("state").since(prefix, after);
                if !events.is_empty() {
                    return Some((events, rev));
                }
                moved.await;
            }
        };
        let found = timeout(wait, found).await.unwrap_or(Some((vec![], after)));
        let Some((events, rev)) = found else { return answer(503, "{}") };
        answer(200, json!({"events": events, "rev": rev}).to_string())
    }
}

fn text<'a>(v: &'a Value, name: &str) -> &'a str {
    v[name].as_str().unwrap_or("")
}

fn number(v: &Value, name: &str) -> u64 {
    v[name].as_u64().unwrap_or(0)
}

fn rows(v: &Value, name: &str) -> Vec<Value> {
    v[name].as_array().cloned().unwrap_or_default()
}

impl State {
    fn write(&mut self, key: &str, value: Option<(String, u64)>) {
        let rev = self.rev + 1;
        self.set(key, value, rev);
        self.rev = rev;
    }

    fn set(&mut self, key: &str, value: Option<(String, u64)>, rev: u64) {
        self.log.push((rev, key.into(), value.as_ref().map(|v| v.0.clone())));
        match value {
            Some((value, lease)) => self.rows.insert(key.into(), (value, rev, lease)),
            None => self.rows.remove(key),
        };
    }

    fn end(&mut self, lease: u64) {
        self.live.retain(|l| *l != lease);
        let gone: Vec<String> =
            self.rows.iter().filter(|(_, r)| r.2 == lease).map(|(k, _)| k.clone()).collect();
        for key in gone {
            self.write(&key, None);
        }
    }

    fn refuses(&mut self, prefix: &str) -> bool {
        let Some((_, left)) = self.refused.as_mut().filter(|(p, n)| p == prefix && *n > 0) else {
            return false;
        };
        *left -= 1;
        true
    }

    fn since(&self, prefix: &str, after: u64) -> (Vec<Value>, u64) {
        if self.blind.iter().any(|b| b == prefix) {
            return (vec![], after);
        }
        let new = self.log.iter().filter(|(r, k, _)| *r > after && k.starts_with(prefix));
        let events = new.map(|(r, k, v)| json!({"key": k, "rev": r, "value": v})).collect();
        (events, self.rev)
    }

    fn fate(&mut self, path: &str, ask: &Value) -> Option<Fate> {
        let job = rows(ask, "puts").iter().any(|p| text(p, "key").starts_with("dwr/in/"));
        if path == "/txn" && job { self.plan.pop_front() } else { None }
    }

    fn item(&self, key: &str) -> Value {
        match self.rows.get(key) {
            Some((value, rev, _)) => json!({"key": key, "rev": rev, "value": value}),
            None => json!({"key": key, "rev": 0, "value": null}),
        }
    }

    fn call(&mut self, path: &str, ask: &Value) -> (u16, Value) {
        match path {
            "/get" => {
                self.gets += 1;
                (200, self.item(text(ask, "key")))
            }
            "/range" => {
                let prefix = text(ask, "prefix");
                self.ranges.push(prefix.into());
                let after = text(ask, "after");
                let keys = self.rows.keys().filter(|k| k.starts_with(prefix) && &***k > after);
                let items: Vec<Value> = keys.map(|k| self.item(k)).collect();
                (200, json!({"items": items, "rev": self.rev}))
            }
            "/txn" => self.txn(ask),
            // A worker, which does all and says nothing.
            "/worker" => (200, json!({})),
            // An order for a machine, which is noted.
            "/machine" => {
                let key = format!("orders/{}", ask[0].as_str().unwrap_or(""));
                self.write(&key, Some((ask.to_string(), 0)));
                (200, json!({}))
            }
            "/lease" => {
                self.leases += 1;
                self.live.push(self.leases);
                (200, json!({"lease": self.leases}))
            }
            "/keep" if self.live.contains(&number(ask, "lease")) => (200, json!({})),
            "/end" => {
                self.end(number(ask, "lease"));
                (200, json!({}))
            }
            _ => (404, json!({})),
        }
    }

    fn txn(&mut self, ask: &Value) -> (u16, Value) {
        let expect = rows(ask, "expect");
        let stands = |e: &Value| self.item(text(e, "key"));
        if expect.iter().any(|e| number(&stands(e), "rev") != number(e, "rev")) {
            return (412, expect.iter().map(stands).collect());
        }
        let puts = rows(ask, "puts");
        if puts.iter().any(|p| number(p, "lease") > 0 && !self.live.contains(&number(p, "lease"))) {
            return (404, json!({}));
        }
        let rev = self.rev + 1;
        for p in &puts {
            let value = (text(p, "value").to_owned(), number(p, "lease"));
            self.set(text(p, "key"), Some(value), rev);
        }
        for key in rows(ask, "remove") {
            self.set(key.as_str().expect("a key"), None, rev);
        }
        self.rev = rev;
        (200, json!({"rev": rev}))
    }
}
