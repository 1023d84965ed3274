//! The client of the page `/shards`, and what `show --shards` prints of the pages of many members.

use {
    crate::{
        http::{CallLimits, Client, Failure, uri},
        ids::{CustomerId, Incarnation},
        shard::{
            record::ShardNo,
            view::{CustomerView, Limits, MemberView, ShardView, WorkerState},
        },
        units::Size,
    },
    bytes::Bytes,
    http_body_util::Full,
    hyper::Request,
    serde::Serialize,
    std::{collections::BTreeMap, fmt, net::SocketAddr, time::Duration},
    tokio::task::JoinSet,
};

/// Time-out of a member's answer.
const TIMEOUT: Duration = Duration::from_secs(5);
/// The maximum size of a page, in bytes; 64 shards of full size take less.
const MAX_PAGE_BYTES: usize = 32 << 20;
/// The maximum number of members that are asked at once; bounds the memory that pages take.
const MAX_CONCURRENT_CALLS: usize = 8;
/// The maximum number of customers, and of unsound workers, in the text.
const MAX_ROWS: usize = 50;
/// The maximum length of what a member's error answer adds to an error, in characters.
const MAX_CAUSE_CHARS: usize = 200;

/// The shards of all members that were asked.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ShardsReport {
    /// Whether every member has answered.
    pub ok: bool,
    /// The members that have answered.
    pub members: Vec<MemberRow>,
    /// The shards whose owner is not among them.
    pub missing_shards: Vec<ShardNo>,
    /// The customers over all shards shown, those that wait longest first.
    pub customers: Vec<CustomerTotal>,
    /// The shards. If two members claim one, the later owner's view is shown.
    pub shards: Vec<ShownShard>,
    /// The members that have not answered.
    pub errors: Vec<AskError>,
}

/// A member that has answered.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct MemberRow {
    /// The address that was asked.
    pub addr: SocketAddr,
    /// The member's process.
    pub member: Incarnation,
    /// The name of the member's machine.
    pub node: Box<str>,
    /// The shards that the member shows.
    pub shards: Vec<ShardNo>,
}

/// A shard, and the address of the member that shows it.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ShownShard {
    /// The address that was asked.
    pub addr: SocketAddr,
    /// What the member shows.
    #[serde(flatten)]
    pub view: ShardView,
}

/// Why a member's shards are not shown.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct AskError {
    /// The address that was asked.
    pub addr: SocketAddr,
    /// What went wrong.
    pub cause: Box<str>,
    /// Whether the member could not be reached at all.
    pub unreachable: bool,
}

/// How a customer stands over all shards shown.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct CustomerTotal {
    /// The customer.
    pub name: CustomerId,
    /// What the customer has running.
    pub running: Size,
    /// The customer's cap, by the newest configuration among the owners.
    pub cap: Limits,
    /// The customer's weight, by the same configuration.
    pub weight: Option<f64>,
    /// The share that the customer holds and the share to which it is entitled, as fractions of the
    /// capacity, by the same owner.
    pub shares: (f64, f64),
    /// The number of tasks that could start and wait.
    pub waiting_tasks: u64,
    /// What these tasks need.
    pub waiting: Size,
    /// The part of that need that the cap keeps from starting.
    pub capped: Size,
    /// How long the first of these tasks has been ready, in milliseconds.
    pub longest_wait_ms: u64,
    /// The shards that know the customer.
    pub shards: Vec<ShardNo>,
}

/// Asks members for their shards, up to eight at once.
pub async fn ask(addrs: &[SocketAddr]) -> ShardsReport {
    let client = Client::new(1);
    let mut calls = JoinSet::new();
    let mut rest = addrs.iter().copied();
    let mut pages = BTreeMap::new();
    loop {
        for addr in rest.by_ref().take(MAX_CONCURRENT_CALLS - calls.len()) {
            let client = client.clone();
            calls.spawn(async move { (addr, fetch(&client, addr).await) });
        }
        let Some(done) = calls.join_next().await else { break };
        // A call neither panics nor is aborted.
        let Ok((addr, page)) = done else { continue };
        pages.insert(addr, page);
    }
    ShardsReport::new(pages)
}

async fn fetch(client: &Client, addr: SocketAddr) -> Result<MemberView, AskError> {
    let fail = |cause: String, unreachable| AskError { addr, cause: cause.into(), unreachable };
    let request = Request::get(uri(addr, "/shards")).body(Full::<Bytes>::default());
    let request = request.map_err(|e| fail(e.to_string(), true))?;
    let limits = CallLimits { max_body: MAX_PAGE_BYTES, ..CallLimits::new(TIMEOUT) };
    let (head, body) = client.send_with_limits(request, &limits).await.map_err(|e| match e {
        Failure::Unsent => fail("the member cannot be reached".into(), true),
        Failure::Timeout => fail(format!("no answer within {} s", TIMEOUT.as_secs()), true),
        Failure::Broken => fail("the connection broke before the whole answer came".into(), true),
        Failure::TooLarge(_) => fail(format!("the answer is over {MAX_PAGE_BYTES} bytes"), false),
    })?;
    match head.status.as_u16() {
        200 => serde_json::from_slice(&body)
            .map_err(|e| fail(format!("the answer is not a page of this version: {e}"), false)),
        404 => {
            Err(fail("no page /shards there; give a member's address for metrics".into(), false))
        }
        status => {
            let text = String::from_utf8_lossy(&body);
            let text: String = text.trim().chars().take(MAX_CAUSE_CHARS).collect();
            Err(fail(format!("status {status}: {text}"), false))
        }
    }
}

impl ShardsReport {
    /// Joins the answers of all members.
    pub fn new(pages: BTreeMap<SocketAddr, Result<MemberView, AskError>>) -> Self {
        let (mut members, mut errors) = (vec![], vec![]);
        let mut shards = BTreeMap::<ShardNo, ShownShard>::new();
        let mut count = 0;
        for (addr, page) in pages {
            let view = match page {
                Ok(view) => view,
                Err(error) => {
                    errors.push(error);
                    continue;
                }
            };
            count = view.shard_count.max(count);
            let owned = view.shards.iter().map(|s| s.shard).collect();
            members.push(MemberRow { addr, member: view.member, node: view.node, shards: owned });
            for view in view.shards {
                // A former owner that has not learnt of its successor still shows the shard.
                if shards.get(&view.shard).is_none_or(|s| s.view.token < view.token) {
                    shards.insert(view.shard, ShownShard { addr, view });
                }
            }
        }
        let missing_shards = (0..count).map(ShardNo).filter(|s| !shards.contains_key(s)).collect();
        let shards: Vec<ShownShard> = shards.into_values().collect();
        let customers = customer_totals(&shards);
        ShardsReport { ok: errors.is_empty(), members, missing_shards, customers, shards, errors }
    }
}

fn customer_totals(shards: &[ShownShard]) -> Vec<CustomerTotal> {
    let mut by_version: Vec<&ShardView> = shards.iter().map(|s| &s.view).collect();
    by_version.sort_by_key(|s| s.version);
    let mut totals = BTreeMap::<&CustomerId, CustomerTotal>::new();
    for shard in by_version {
        for customer in &shard.customers {
            totals
                .entry(&customer.name)
                .or_insert_with(|| CustomerTotal::new(customer))
                .add(shard.shard, customer);
        }
    }
    let mut all: Vec<_> = totals.into_values().collect();
    all.iter_mut().for_each(|c| c.shards.sort_unstable());
    // The sort is stable: customers that wait equally long stay in the order of their names.
    all.sort_by_key(|c| std::cmp::Reverse((c.longest_wait_ms, c.running.cores)));
    all
}

impl CustomerTotal {
    fn new(customer: &CustomerView) -> Self {
        CustomerTotal {
            name: customer.name.clone(),
            running: Size::default(),
            cap: customer.cap,
            weight: customer.weight,
            shares: (customer.share, customer.entitled_share),
            waiting_tasks: 0,
            waiting: Size::default(),
            capped: Size::default(),
            longest_wait_ms: 0,
            shards: vec![],
        }
    }

    /// Adds what a shard shows; shards with a newer configuration come later.
    fn add(&mut self, shard: ShardNo, customer: &CustomerView) {
        self.running = self.running.saturating_add(&customer.running);
        (self.cap, self.weight) = (customer.cap, customer.weight);
        self.shares = (customer.share, customer.entitled_share);
        self.waiting_tasks = self.waiting_tasks.saturating_add(customer.waiting_tasks);
        self.waiting = self.waiting.saturating_add(&customer.waiting);
        self.capped = self.capped.saturating_add(&customer.capped);
        self.longest_wait_ms = self.longest_wait_ms.max(customer.longest_wait_ms);
        self.shards.push(shard);
    }
}

impl fmt::Display for Limits {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let each = [
            self.cores.map(|c| format!("{c} cores")),
            self.memory.map(|m| m.to_string()),
            self.accels.map(|a| format!("{a} accelerators")),
        ];
        let some: Vec<String> = each.into_iter().flatten().collect();
        f.write_str(if some.is_empty() { "no cap" } else { "cap of " })?;
        f.write_str(&some.join(", "))
    }
}

impl fmt::Display for CustomerTotal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let weight = self.weight.map_or("not listed".into(), |w| format!("weight {w}"));
        write!(f, "customer {}: {} running, {}, {weight}", self.name, self.running, self.cap)?;
        let (held, entitled) = (self.shares.0 * 100.0, self.shares.1 * 100.0);
        write!(f, ", share {held:.1}% of {entitled:.1}%")?;
        if self.waiting_tasks > 0 {
            let longest = self.longest_wait_ms as f64 / 1e3;
            write!(f, "; {} tasks wait ({})", self.waiting_tasks, self.waiting)?;
            write!(f, ", the first for {longest:.1} s")?;
        }
        if self.capped != Size::default() {
            write!(f, "; the cap withholds {}", self.capped)?;
        }
        Ok(())
    }
}

impl fmt::Display for ShardsReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut lines = vec![];
        for ShownShard { addr, view: shard } in &self.shards {
            let node = self.members.iter().find(|m| m.addr == *addr).map_or("", |m| &m.node);
            let doubt = if shard.certain { "" } else { ", whose lease is not certain" };
            lines.push(format!(
                "shard {} at {node} ({addr}){doubt}: {} jobs, {} tasks wait, version {}",
                shard.shard, shard.jobs, shard.waiting_tasks, shard.version
            ));
            lines.extend(shard.pools.iter().map(|p| {
                let sound = p.workers - p.unsound;
                format!(
                    "  pool {}: {sound} of {} workers sound, {} of {} in use",
                    p.pool, p.workers, p.used, p.capacity
                )
            }));
        }
        let missing: Vec<String> = self.missing_shards.iter().map(ToString::to_string).collect();
        if !missing.is_empty() {
            lines.push(format!("not shown, owned by no member asked: {}", missing.join(", ")));
        }
        lines.extend(self.customers.iter().take(MAX_ROWS).map(ToString::to_string));
        let hidden = self.shards.iter().map(|s| s.view.omitted_customers).sum::<usize>();
        lines.extend(rest("customers", self.customers.len().saturating_sub(MAX_ROWS) + hidden));
        let views = || self.shards.iter().map(|s| &s.view);
        let workers = || views().flat_map(|s| s.workers.iter().map(move |w| (s, w)));
        let unsound = || workers().filter(|(_, w)| w.state != WorkerState::Sound);
        lines.extend(unsound().take(MAX_ROWS).map(|(s, w)| {
            let pool = w.pool.as_ref().map_or("none", |p| p.as_str());
            let heard = w.heard_ms.map_or("never".into(), |ms| format!("{ms} ms ago"));
            format!(
                "worker {} of shard {}: {}, pool {pool}, kind {:?}, {} runs, last heard {heard}",
                w.id, s.shard, w.state, w.kind, w.runs
            )
        }));
        lines.extend(rest("unsound workers", unsound().count().saturating_sub(MAX_ROWS)));
        f.write_str(&lines.join("\n"))
    }
}

/// Returns the line that says how many rows are left out.
fn rest(what: &str, count: usize) -> Option<String> {
    (count > 0).then(|| format!("and {count} more {what}; --json shows more"))
}
