//! Stand-ins for the platform, the workers and the callers, and the measurements with them. For
//! development only; not shipped.

mod experiment;
mod fleet;
mod kv;
mod load;
mod measure_order;
mod measure_place;
mod soak;
mod vms;
mod worker;

use {
    bytes::Bytes,
    dogwoodreach::{
        Error,
        http::{Client, answer, uri},
        ids::{PoolId, RackId, WorkerId, Zone},
        messages::{Vm, VmList, VmState},
        server::serve,
        units::{Accels, Cores, Memory, Size},
    },
    hyper::http::request::Parts,
    lexopt::prelude::*,
    standin::{link, web},
    std::{
        error,
        future::Future,
        net::SocketAddr,
        sync::{Arc, Mutex},
        time::{Duration, Instant},
    },
    tokio::net::TcpListener,
};

const HELP: &str = "\
standin platform [--kv ADDR] [--vms ADDR]   the key-value service and the VM list
standin load --to ADDR[,ADDR...] --service NAME --rate N --seconds N [--run-ms N] [--callers N]
             [--deadline-ms N] [--keys SHARE] [--json]
standin load --direct ADDR[,ADDR...] --rate N ...   the same load, straight to workers
standin experiment path|faults|config|control|leaving|starts
                   [--runs N] [--seconds N] [--members LIST] [--part NAME]
standin measure-place [--workers LIST] [--tasks N] [--runs N]
standin measure-order [--slots N] [--hours N] [--seeds N] [--load X]
standin workers --vms ADDR --pool NAME --zone NAMES [--racks N] [--per-rack N]
                [--cores N] [--memory SIZE] [--accels N] [--slots N] [--through-link]
standin link --to ADDR                      a TCP forwarder with faults on request
standin crowd [--kind NAME] [--to callers|ready|control|metrics] [--clients N] [--seconds N]
              [--memory MB] [--descriptors N] [--binary PATH]   clients that misbehave, at one member with low limits
standin soak [--seed N] [--minutes N] [--members N] [--workers N] [--untimed] [--planned]
             [--no-customers] [--no-crowds] [--small-tasks N] [--binary PATH] [--json]   random faults, with a judge of the scheduler's guarantees
";

type Result<T> = std::result::Result<T, Box<dyn error::Error>>;

fn main() -> Result<()> {
    env_logger::init();
    let mut args = lexopt::Parser::from_env();
    let Some(Value(command)) = args.next()? else {
        print!("{HELP}");
        return Ok(());
    };
    if command == "measure-place" {
        return Ok(measure_place::run(args)?);
    }
    if command == "measure-order" {
        return measure_order::run(args);
    }
    let runtime =
        tokio::runtime::Builder::new_multi_thread().worker_threads(4).enable_all().build()?;
    match command.to_str() {
        Some("platform") => runtime.block_on(platform(args)),
        Some("load") => runtime.block_on(load::command(args)),
        Some("experiment") => runtime.block_on(experiment::command(args)),
        Some("workers") => runtime.block_on(workers(args)),
        Some("link") => runtime.block_on(link(args)),
        Some("crowd") => runtime.block_on(soak::clients::command(args)),
        Some("soak") => runtime.block_on(soak::command(args)),
        _ => Err(HELP.into()),
    }
}

async fn platform(mut args: lexopt::Parser) -> Result<()> {
    let mut kv: SocketAddr = "127.0.0.1:0".parse()?;
    let mut vms = kv;
    while let Some(arg) = args.next()? {
        match arg {
            Long("kv") => kv = args.value()?.parse()?,
            Long("vms") => vms = args.value()?.parse()?,
            _ => return Err(arg.unexpected().into()),
        }
    }
    let store = kv::Kv::new();
    let kept = store.clone();
    tokio::spawn(async move {
        loop {
            tokio::time::sleep(Duration::from_millis(50)).await;
            kept.lapse(Instant::now());
        }
    });
    let list = vms::Vms::default();
    let kv = listen(kv, move |head, body| {
        let store = store.clone();
        async move { store.handle(head, &body).await }
    });
    let kv = kv.await?;
    let vms = listen(vms, move |head, body| {
        let list = list.clone();
        async move { list.handle(head, &body).await }
    });
    let vms = vms.await?;
    println!("ready kv={kv} vms={vms}");
    run_forever().await
}

async fn link(mut args: lexopt::Parser) -> Result<()> {
    let mut to = None;
    while let Some(arg) = args.next()? {
        match arg {
            Long("to") => to = Some(args.value()?.parse()?),
            _ => return Err(arg.unexpected().into()),
        }
    }
    let link = link::Link::new(to.ok_or("--to is missing")?);
    let addr = link.listen().await?;
    let control = listen("127.0.0.1:0".parse()?, move |head, body| {
        let link = link.clone();
        async move {
            match head.uri.path() {
                "/fault" => link.fault(&body),
                _ => answer(404, "no such call"),
            }
        }
    });
    println!("ready link={addr} control={}", control.await?);
    run_forever().await
}

struct Options {
    vms: Option<SocketAddr>,
    pool: Box<str>,
    zones: Box<str>,
    racks: u32,
    per_rack: u32,
    size: Size,
    slots: u32,
    through_link: bool,
}

async fn workers(mut args: lexopt::Parser) -> Result<()> {
    let size = Size { cores: Cores(16_000), memory: Memory(64 << 10), accels: Accels(0) };
    let mut f = Options {
        vms: None,
        pool: "".into(),
        zones: "".into(),
        racks: 1,
        per_rack: 5,
        size,
        slots: 8,
        through_link: false,
    };
    while let Some(arg) = args.next()? {
        match arg {
            Long("vms") => f.vms = Some(args.value()?.parse()?),
            Long("pool") => f.pool = args.value()?.string()?.into(),
            Long("zone") => f.zones = args.value()?.string()?.into(),
            Long("racks") => f.racks = args.value()?.parse()?,
            Long("per-rack") => f.per_rack = args.value()?.parse()?,
            Long("cores") => f.size.cores = args.value()?.parse()?,
            Long("memory") => f.size.memory = args.value()?.parse()?,
            Long("accels") => f.size.accels = args.value()?.parse()?,
            Long("slots") => f.slots = args.value()?.parse()?,
            Long("through-link") => f.through_link = true,
            _ => return Err(arg.unexpected().into()),
        }
    }
    let vms = f.vms.ok_or("--vms is missing")?;
    let witness = Arc::new(Mutex::new(worker::Witness::default()));
    let mut list = VmList { vms: vec![] };
    let mut all = fleet::Fleet::default();
    for zone in f.zones.split(',') {
        for (rack, n) in (0..f.racks).flat_map(|r| (0..f.per_rack).map(move |n| (r, n))) {
            let listener = TcpListener::bind("127.0.0.1:0").await?;
            let mut vm = describe(&f, zone, rack, n, listener.local_addr()?);
            let worker = worker::Worker::new(vm.clone(), witness.clone());
            let served = worker.clone();
            start(listener, move |head, body| served.clone().handle(head, body));
            let link = link::Link::new(vm.addr);
            if f.through_link {
                vm.addr = link.listen().await?;
            }
            all.add(vm.worker.clone(), worker, link);
            list.vms.push(vm);
        }
    }
    let controlled = all.clone();
    let control = listen("127.0.0.1:0".parse()?, move |head, body| {
        let fleet = controlled.clone();
        async move { fleet.handle(&head, &body) }
    });
    let control = control.await?;
    tokio::spawn(async move {
        loop {
            tokio::time::sleep(Duration::from_millis(10)).await;
            all.tick(Instant::now());
        }
    });
    let client = Client::new(1);
    let reply =
        client.json::<_, serde_json::Value>("PUT", &uri(vms, "/enter"), &list, ENTER_TIMEOUT).await;
    reply.map_err(|e| format!("the VM list at {vms} did not answer: {e:?}"))?;
    let first = list.vms.first().ok_or("no workers")?;
    let (pool, count) = (&f.pool, list.vms.len());
    println!("ready pool={pool} workers={count} first={} control={control}", first.addr);
    run_forever().await
}

const ENTER_TIMEOUT: Duration = Duration::from_secs(5);

fn describe(f: &Options, zone: &str, rack: u32, n: u32, addr: SocketAddr) -> Vm {
    let rack = format!("{}-{zone}-r{rack}", f.pool);
    Vm {
        worker: WorkerId(format!("{rack}-w{n}").into()),
        pool: PoolId(f.pool.clone()),
        rack: RackId(rack.into()),
        zone: Zone(zone.into()),
        addr,
        size: f.size,
        slots: f.slots,
        connections: 64,
        state: VmState::Live,
    }
}

async fn listen<F, A>(addr: SocketAddr, handle: F) -> Result<SocketAddr>
where
    F: Fn(Parts, Bytes) -> A + Clone + Send + 'static,
    A: Future<Output = web::Reply> + Send + 'static,
{
    let listener = TcpListener::bind(addr).await?;
    let addr = listener.local_addr()?;
    start(listener, handle);
    Ok(addr)
}

fn start<F, A>(listener: TcpListener, handle: F)
where
    F: Fn(Parts, Bytes) -> A + Clone + Send + 'static,
    A: Future<Output = web::Reply> + Send + 'static,
{
    let handle = move |head, body: std::result::Result<Bytes, Error>| {
        let handle = handle.clone();
        async move {
            match body {
                Ok(body) => handle(head, body).await,
                Err(e) => answer(400, e.to_string()),
            }
        }
    };
    tokio::spawn(serve(listener, web::LIMITS, std::future::pending(), handle));
}

async fn run_forever() -> Result<()> {
    std::future::pending().await
}
