//! [`Forms`] for tests: calls, replies and stored items as JSON with plain field names.

use {
    bytes::Bytes,
    dogwoodreach::{
        Error, Kind,
        ids::{PoolId, WorkerId, Zone},
        ports::{
            Advice, AdviceCall, Bounds, Fault, Fleet, Forms, Held, Item, Put, Site, StoreCall,
            StoreReply, Txn, Vm, VmCall, VmReply, VmState, Vms, Wave, Wire, WorkerCall,
            WorkerReply,
        },
        work::{Job, Listed, Queue, Queues, State},
    },
    serde_json::{Value, json},
    std::time::Duration,
};

/// The wire and item formats of the test site.
pub static FORMS: Forms = Forms {
    settings,
    ready: "/ready",
    deadline: "x-deadline",
    operators: "conf/",
    config: "conf/queues",
    waves: "conf/wave/",
    workers: "workers/",
    queues,
    listed,
    ask_store,
    store,
    ask_worker: |_: &WorkerId, _: &WorkerCall| wire("/worker", json!({})),
    worker: |_: &WorkerCall, _, _| Ok(WorkerReply::Held(Held { clock: 1, ..Held::default() })),
    ask_advice: |_: &AdviceCall| wire("/advice", json!({})),
    advice: |_, _| Ok(Advice::default()),
    ask_vms: |_| wire("/range", json!({"prefix": "machines/"})),
    vms,
    ask_vm: |c: &VmCall| wire("/machine", json!([c.vm, c.holder, c.token])),
    vm: |status, _| Ok(if status == 200 { VmReply::Begun } else { VmReply::Busy }),
    wave,
    told_wave: |no, over| (format!("told/{no}").into(), over.to_string().into()),
    job,
    state: |s: State| s.to_string().into(),
    waiting: |n| n.to_string().into(),
};

/// Reads per second that the store serves according to the settings.
pub const READS_PER_S: f64 = 400.0;

fn settings(text: &str) -> Result<Site, Error> {
    let bad_settings = |e: &dyn std::fmt::Display| Error::new(Kind::BadSettings, e.to_string());
    let v: Value = serde_json::from_str(text).map_err(|e| bad_settings(&e))?;
    let addr = |name: &str| {
        let text = v[name].as_str().unwrap_or("");
        text.parse().map_err(|e| bad_settings(&e))
    };
    let ms = Duration::from_millis;
    Ok(Site {
        node: "node".into(),
        zone: Zone::from("z"),
        cores: 1.0,
        callers: addr("callers")?,
        ready: addr("ready")?,
        control: addr("control")?,
        metrics: [addr("metrics")?].into(),
        store: addr("store")?,
        reads: READS_PER_S,
        advice: None,
        vms: addr("store").ok(),
        fleet: Fleet { rate: 60.0, upkeep: ms(2000), moved: ms(1500), turn: ms(3000) },
        bounds: Bounds {
            hold: ms(6000),
            stop: ms(900),
            gang: ms(3000),
            keep: ms(120_000),
            remote: 1.5,
            save: ms(500),
            restore: ms(600),
            harm: ms(4000),
            notice: ms(4500),
            config: ms(2000),
            drain: ms(2000),
            grace: ms(6000),
            ttl: ms(1000),
        },
    })
}

/// Reads a configuration: a version and the prefixes of the queues, each of which is also its name.
fn queues(bytes: &[u8]) -> Result<Queues, Error> {
    let (version, prefixes): (u64, Vec<Box<str>>) =
        serde_json::from_slice(bytes).map_err(|e| Error::new(Kind::BadText, e.to_string()))?;
    let queue = |prefix: &str| Queue {
        name: prefix.into(),
        host: "host.example".into(),
        prefix: prefix.into(),
        pool: PoolId::from("pool"),
        priority: 0,
        attempts: 3,
        stretch: 2.0,
        slack: Duration::ZERO,
        advice: None,
    };
    Ok(Queues {
        version,
        all: prefixes.iter().map(|p| queue(p)).collect(),
        pools: vec![],
        body: 1000,
    })
}

/// Reads the list of VMs: items of the store whose value is the ID of the worker. All VMs are up.
fn vms(_: u16, body: &[u8]) -> Result<Vms, Fault> {
    let v: Value = serde_json::from_slice(body).map_err(|e| Fault::Bad(e.to_string().into()))?;
    let vm = |i: Item| Vm {
        id: (&i.key["machines/".len()..]).into(),
        pool: PoolId::from("pool"),
        state: VmState::Up,
        worker: i.value.and_then(|w| Some(WorkerId::from(std::str::from_utf8(&w).ok()?))),
    };
    let all = v["items"].as_array().into_iter().flatten().map(item).map(vm).collect();
    Ok(Vms { all, next: None })
}

/// Reads a worker's item, which may hold the worker's address.
fn listed(id: &str, value: &[u8]) -> Result<Listed, Error> {
    let v: Value = serde_json::from_slice(value).unwrap_or_default();
    let addr = v["addr"].as_str().and_then(|a| a.parse().ok());
    Ok(Listed {
        id: WorkerId::from(id),
        pool: PoolId::from("pool"),
        addr: addr.unwrap_or(([127, 0, 0, 1], 1).into()),
        zone: Zone::from("z"),
        draining: false,
        left: None,
        size: Default::default(),
        labels: Box::new([]),
    })
}

/// Reads a maintenance wave: its number, its VMs, the time limit in milliseconds, and the number of
/// VMs that may be down at once.
fn wave(bytes: &[u8]) -> Result<Wave, Error> {
    let (no, vms, within, cap) =
        serde_json::from_slice(bytes).map_err(|e| Error::new(Kind::BadText, e.to_string()))?;
    Ok(Wave { no, vms, within: Duration::from_millis(within), cap })
}

fn job(bytes: &[u8]) -> Result<Job, Error> {
    serde_json::from_slice(bytes).map_err(|e| Error::new(Kind::BadRequest, e.to_string()))
}

fn wire(path: &str, body: Value) -> Wire {
    Wire { method: "POST", path: path.into(), headers: vec![], body: body.to_string().into() }
}

fn ask_store(call: &StoreCall) -> Wire {
    match call {
        StoreCall::Get { key } => wire("/get", json!({"key": key})),
        StoreCall::Range { prefix, after, .. } => {
            wire("/range", json!({"prefix": prefix, "after": after}))
        }
        StoreCall::Watch { prefix, after, wait } => {
            let wait = u64::try_from(wait.as_millis()).expect("short");
            wire("/watch", json!({"prefix": prefix, "after": after, "wait": wait}))
        }
        StoreCall::Txn(txn) => wire("/txn", ask_txn(txn)),
        StoreCall::Lease { .. } => wire("/lease", json!({})),
        StoreCall::Keep { lease } => wire("/keep", json!({"lease": lease})),
        StoreCall::EndLease { lease } => wire("/end", json!({"lease": lease})),
    }
}

fn ask_txn(txn: &Txn) -> Value {
    let expect: Vec<_> = txn.expect.iter().map(|(k, r)| json!({"key": k, "rev": r})).collect();
    let put = |p: &Put| {
        let value = std::str::from_utf8(&p.value).expect("text");
        json!({"key": p.key, "value": value, "lease": p.lease})
    };
    let puts: Vec<_> = txn.puts.iter().map(put).collect();
    json!({"expect": expect, "puts": puts, "remove": txn.remove})
}

fn item(v: &Value) -> Item {
    let value = v["value"].as_str().map(|s| Bytes::copy_from_slice(s.as_bytes()));
    let key = v["key"].as_str().unwrap_or("").into();
    Item { key, value, rev: v["rev"].as_u64().unwrap_or(0) }
}

fn store(call: &StoreCall, status: u16, body: &[u8]) -> Result<StoreReply, Fault> {
    if status == 412 && body.is_empty() {
        return Err(Fault::TooLarge);
    }
    let v: Value = serde_json::from_slice(body).map_err(|e| Fault::Bad(e.to_string().into()))?;
    let items = |v: &Value| v.as_array().into_iter().flatten().map(item).collect::<Vec<_>>();
    let rev = v["rev"].as_u64().unwrap_or(0);
    Ok(match (status, call) {
        (503, _) => return Err(Fault::Refused),
        (404, _) => StoreReply::NoLease,
        (412, _) => StoreReply::Conflict(items(&v)),
        (_, StoreCall::Get { .. }) => StoreReply::Item(Some(item(&v)).filter(|i| i.rev > 0)),
        (_, StoreCall::Range { .. }) => StoreReply::Page(items(&v["items"]), false, rev),
        (_, StoreCall::Watch { .. }) => StoreReply::Events(items(&v["events"]), rev),
        (_, StoreCall::Txn(_)) => StoreReply::Done(rev),
        (_, StoreCall::Lease { ttl }) => StoreReply::Lease(v["lease"].as_u64().unwrap_or(0), *ttl),
        (_, StoreCall::Keep { .. } | StoreCall::EndLease { .. }) => StoreReply::Kept,
    })
}
