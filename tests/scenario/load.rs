//! Callers behind a balancer, who check that each answer is the whole answer to their own request.

use {
    bytes::Bytes,
    dogwoodreach::http::{CALLER, Client, DEADLINE, Failure, KEY, RAN, REASON, REQUEST, RUN},
    http_body_util::Full,
    hyper::Request,
    std::{
        collections::{BTreeMap, BTreeSet},
        sync::{
            Arc, Mutex,
            atomic::{AtomicBool, AtomicU64, Ordering},
        },
        time::Duration,
    },
    tokio::time::{Interval, interval},
};

/// How often a balancer looks at the members' readiness pages.
const LOOK: Duration = Duration::from_millis(50);
/// How long a caller waits for an answer; beyond every deadline of the scenarios.
const PATIENCE: Duration = Duration::from_secs(30);

/// What is sent.
#[derive(Clone, Default)]
pub struct Call {
    pub service: String,
    pub body: String,
    pub key: Option<String>,
    pub deadline: Option<String>,
    pub run: Option<String>,
    pub caller: Option<String>,
}

/// What came of a call.
#[derive(Clone, Debug)]
pub struct Fate {
    /// The status; none where no whole answer came.
    pub status: Option<u16>,
    pub body: String,
    pub id: String,
    pub ran: String,
    /// The label of the refusal, or how the call failed.
    pub reason: String,
    /// When to come back, in milliseconds.
    pub back: bool,
}

/// Sends one request to a member.
pub async fn send(client: &Client, addr: &str, call: &Call) -> Fate {
    let mut b = Request::builder().method("POST").uri(format!("http://{addr}/{}/do", call.service));
    let named =
        [(KEY, &call.key), (DEADLINE, &call.deadline), (RUN, &call.run), (CALLER, &call.caller)];
    for (name, value) in named {
        if let Some(value) = value {
            b = b.header(name, value);
        }
    }
    let body = Full::new(Bytes::from(call.body.clone()));
    let sent = client.send(b.body(body).expect("a request"), PATIENCE).await;
    let failed = |why: &str| Fate {
        status: None,
        body: "".into(),
        id: "".into(),
        ran: "unknown".into(),
        reason: why.into(),
        back: false,
    };
    match sent {
        Ok((head, body)) => {
            let text = |name| head.headers.get(name).and_then(|v| v.to_str().ok()).unwrap_or("");
            Fate {
                status: Some(head.status.as_u16()),
                body: String::from_utf8_lossy(&body).into(),
                id: text(REQUEST).into(),
                ran: text(RAN).into(),
                reason: text(REASON).into(),
                back: head.headers.contains_key("retry-after"),
            }
        }
        Err(Failure::Unsent) => failed("unsent"),
        Err(Failure::Broken | Failure::TooLarge(_)) => failed("connection-broken"),
        Err(Failure::Timeout) => failed("no-answer"),
    }
}

/// A load: its callers go on until `total` calls are made or it is told to end.
pub struct Load {
    /// The members behind the balancer.
    pub members: Arc<Mutex<Vec<Member>>>,
    pub answered: Arc<AtomicU64>,
    end: Arc<AtomicBool>,
    seen: Arc<Mutex<Seen>>,
    callers: Vec<tokio::task::JoinHandle<()>>,
}

/// What the callers of a load have seen.
#[derive(Default)]
pub struct Seen {
    pub reasons: BTreeMap<String, u64>,
    pub wrong: Vec<String>,
    /// Ids of what was said not to have run.
    pub refused: BTreeSet<String>,
    /// Keys of the same.
    pub keys: BTreeSet<String>,
    /// Keys that were answered.
    pub done: BTreeSet<String>,
}

/// A member as the balancer knows it: callers' address, metrics' address.
pub type Member = (String, String);

impl Load {
    /// Starts callers; must be called within a runtime.
    ///
    /// With `twice`, each call is sent to two members at once.
    pub fn start(
        members: &[Member],
        call: &Call,
        name: &str,
        parallel: u64,
        total: u64,
        twice: bool,
    ) -> Self {
        let load = Load {
            members: Arc::new(Mutex::new(members.to_vec())),
            answered: Arc::default(),
            end: Arc::default(),
            seen: Arc::default(),
            callers: vec![],
        };
        let ready = Arc::new(Mutex::new(vec![]));
        tokio::spawn(look(load.members.clone(), ready.clone(), load.end.clone()));
        let next = Arc::new(AtomicU64::new(0));
        let client = Client::new(64);
        let callers = (0..parallel).map(|n| {
            // Each broker is a caller of his own, with a share of his own in the queues.
            let call = Call { caller: Some(format!("{name}-{n}")), ..call.clone() };
            let caller = Caller {
                ready: ready.clone(),
                next: next.clone(),
                client: client.clone(),
                call,
                name: name.into(),
                answered: load.answered.clone(),
                end: load.end.clone(),
                seen: load.seen.clone(),
                twice,
            };
            tokio::spawn(caller.run(total))
        });
        let callers = callers.collect();
        Load { callers, ..load }
    }

    /// Lets the callers get their last answers and returns what they saw.
    pub async fn end(self, now: bool) -> (u64, Seen) {
        if now {
            self.end.store(true, Ordering::Relaxed);
        }
        for caller in self.callers {
            caller.await.expect("a caller ends by itself");
        }
        self.end.store(true, Ordering::Relaxed);
        let seen = std::mem::take(&mut *self.seen.lock().expect("no holder panics"));
        (self.answered.load(Ordering::Relaxed), seen)
    }
}

/// Keeps the list of ready members, as a balancer does.
async fn look(
    members: Arc<Mutex<Vec<Member>>>,
    ready: Arc<Mutex<Vec<String>>>,
    end: Arc<AtomicBool>,
) {
    let client = Client::new(0);
    let mut ticks: Interval = interval(LOOK);
    while !end.load(Ordering::Relaxed) {
        let mut found = vec![];
        let members = members.lock().expect("no holder panics").clone();
        for (callers, metrics) in &members {
            let page = Request::builder().uri(format!("http://{metrics}/ready"));
            let page = page.body(Full::default()).expect("a request");
            if client.send(page, LOOK * 4).await.is_ok_and(|(head, _)| head.status.is_success()) {
                found.push(callers.clone());
            }
        }
        *ready.lock().expect("no holder panics") = found;
        ticks.tick().await;
    }
}

struct Caller {
    ready: Arc<Mutex<Vec<String>>>,
    next: Arc<AtomicU64>,
    client: Client,
    call: Call,
    name: String,
    answered: Arc<AtomicU64>,
    end: Arc<AtomicBool>,
    seen: Arc<Mutex<Seen>>,
    twice: bool,
}

impl Caller {
    async fn run(self, total: u64) {
        while !self.end.load(Ordering::Relaxed) {
            let n = self.next.fetch_add(1, Ordering::Relaxed);
            if n >= total {
                return;
            }
            let mut call = self.call.clone();
            call.body = format!("{}-{n} {}", self.name, call.body);
            call.key = call.key.map(|k| format!("{k}-{}-{n}", self.name));
            if self.twice {
                let both = tokio::join!(
                    self.balance(n as usize, &call),
                    self.balance(n as usize + 1, &call)
                );
                self.note(&call, both.0);
                self.note(&call, both.1);
            } else {
                let fate = self.balance(n as usize, &call).await;
                self.note(&call, fate);
            }
        }
    }

    /// Sends a call to the n-th ready member; one that can't be reached is passed over, as a
    /// balancer does.
    async fn balance(&self, n: usize, call: &Call) -> Fate {
        let mut ticks = interval(LOOK / 5);
        loop {
            let ready = self.ready.lock().expect("no holder panics").clone();
            if let Some(addr) = ready.get(n % ready.len().max(1)) {
                let fate = send(&self.client, addr, call).await;
                if fate.reason != "unsent" {
                    return fate;
                }
            }
            ticks.tick().await;
        }
    }

    fn note(&self, call: &Call, fate: Fate) {
        let mut seen = self.seen.lock().expect("no holder panics");
        match fate.status {
            Some(200) if fate.body == call.body => {
                self.answered.fetch_add(1, Ordering::Relaxed);
                seen.done.extend(call.key.clone());
                return;
            }
            Some(200) => seen.wrong.push(format!("{:?} got {:?}", call.body, fate.body)),
            _ => {}
        }
        if fate.ran == "no" {
            seen.refused.insert(fate.id);
            seen.keys.extend(call.key.clone());
        }
        let reason = match fate.status {
            Some(status) if fate.reason.is_empty() => status.to_string(),
            _ => fate.reason,
        };
        *seen.reasons.entry(reason).or_default() += 1;
    }
}
