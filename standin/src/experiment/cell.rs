//! Starts a cell of processes on this machine (the platform, workers and members) and ends exactly
//! these processes, by their ids.

use {
    crate::Result,
    dogwoodreach::{
        http::{Client, uri},
        ids::{SubmissionId, Version, WorkerId},
        messages::{Show, Submit, SubmitReply, VmList},
        operators,
    },
    http_body_util::Full,
    hyper::Request,
    serde::Serialize,
    std::{
        collections::BTreeMap,
        env, fs,
        io::{BufRead, BufReader},
        net::SocketAddr,
        path::{Path, PathBuf},
        process::{Child, Command, Stdio},
        time::{Duration, Instant},
    },
    tokio::time::sleep,
};

/// The shared secret of members and operators; the cell listens on loopback only.
const SECRET: &str = "secret-of-an-experiment";
/// The time-out until a cell is ready.
const READY_TIMEOUT: Duration = Duration::from_secs(60);
/// The interval at which a state is polled while waiting for it.
pub const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// The time-out of a call to a stand-in.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);
/// The availability zones of Tausi.
pub const ZONES: [&str; 3] = ["upper-hill", "westlands", "embakasi"];

/// A child process that has printed its ready line. It is killed and reaped when it is dropped.
pub struct Process {
    child: Child,
    values: BTreeMap<Box<str>, Box<str>>,
}

/// Workers that one process simulates.
#[derive(Clone, Debug)]
pub struct Fleet {
    /// The pool of the workers.
    pub pool: &'static str,
    /// The availability zone of the workers.
    pub zone: &'static str,
    /// The number of racks.
    pub racks: u32,
    /// The number of workers in each rack.
    pub each: u32,
    /// Cores of each worker.
    pub cores: u32,
    /// Memory of each worker, in GB.
    pub memory: u32,
    /// Accelerators of each worker.
    pub accels: u32,
}

/// A running cell.
pub struct Cell {
    /// The members, which all have the same settings except for the zone.
    pub members: Vec<Process>,
    /// The processes that simulate workers.
    pub fleets: Vec<Process>,
    platform: Process,
    client: Client,
    dir: PathBuf,
    /// The latest version of the configuration text that this tool knows of.
    pub version: Version,
}

impl Process {
    fn start(program: &Path, args: &[String], log: &Path) -> Result<Self> {
        let mut child = Command::new(program)
            .args(args)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(fs::File::create(log)?)
            .spawn()?;
        let mut lines = BufReader::new(child.stdout.take().ok_or("no output")?).lines();
        let mut process = Process { child, values: BTreeMap::new() };
        let Some(line) = lines.find(|l| l.as_ref().is_ok_and(|l| l.starts_with("ready"))) else {
            return Err(format!("not ready: {}", fs::read_to_string(log)?).into());
        };
        let line = line?;
        let values = line.split(' ').filter_map(|w| w.split_once('='));
        process.values = values.map(|(k, v)| (k.into(), v.into())).collect();
        Ok(process)
    }

    /// The address that the ready line of the process gives for a name.
    pub fn addr(&self, name: &str) -> Result<SocketAddr> {
        Ok(self
            .values
            .get(name)
            .ok_or_else(|| format!("the ready line has no value for {name}"))?
            .parse()?)
    }

    /// The process's id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

impl Drop for Cell {
    fn drop(&mut self) {
        self.members.clear();
        self.fleets.clear();
        self.platform.kill();
        let _ = fs::remove_dir_all(&self.dir);
    }
}

impl Cell {
    /// Starts the platform, the workers and the members, submits a configuration text, and waits
    /// until every worker is ready at its owner.
    pub async fn start(members: usize, fleets: &[Fleet], text: &str) -> Result<Self> {
        let me = env::current_exe()?;
        let name = format!("dwr-experiment-{}-{}", std::process::id(), fastrand::u32(..));
        let dir = env::temp_dir().join(name);
        fs::create_dir(&dir)?;
        let platform = Process::start(&me, &["platform".into()], &dir.join("platform.log"))?;
        let mut cell = Cell {
            members: vec![],
            fleets: vec![],
            platform,
            client: Client::new(4),
            dir,
            version: Version(0),
        };
        for (n, fleet) in fleets.iter().enumerate() {
            let args = fleet.args(cell.platform.addr("vms")?);
            let log = cell.dir.join(format!("fleet{n}.log"));
            cell.fleets.push(Process::start(&me, &args, &log)?);
        }
        for n in 0..members {
            let member = cell.member(&me, n)?;
            cell.members.push(member);
        }
        if members > 0 {
            cell.submit(text).await?;
            let count: u32 = fleets.iter().map(|f| f.racks * f.each).sum();
            cell.wait_ready(count as usize, READY_TIMEOUT).await?;
        }
        Ok(cell)
    }

    fn member(&self, me: &Path, n: usize) -> Result<Process> {
        let ini = format!(
            "[member]\nzone = {}\ncallers = 127.0.0.1:0\noperators = 127.0.0.1:0\n\
             control = 127.0.0.1:0\nbodies = 127.0.0.1:0\nmetrics = 127.0.0.1:0\n\
             secret = {SECRET}\n[platform]\nkv = {}\nvms = {}\n[log]\nlevel = warn\n",
            ZONES[n % ZONES.len()],
            self.platform.addr("kv")?,
            self.platform.addr("vms")?,
        );
        let path = self.dir.join(format!("member{n}.ini"));
        fs::write(&path, ini)?;
        let args = ["serve".into(), "--settings".into(), path.to_string_lossy().into()];
        let log = self.dir.join(format!("member{n}.log"));
        Process::start(&me.with_file_name("dogwoodreach"), &args, &log)
    }

    /// Submits a configuration text through the first member and returns once it is accepted.
    pub async fn submit(&mut self, text: &str) -> Result<()> {
        let until = Instant::now() + READY_TIMEOUT;
        loop {
            let reply = self.try_submit(text).await;
            match reply {
                Ok(reply) if reply.accepted => {
                    self.version = reply.version;
                    return Ok(());
                }
                Ok(reply) if !reply.errors.is_empty() => {
                    return Err(format!("the text was refused: {:?}", reply.errors).into());
                }
                Ok(reply) => self.version = reply.version,
                Err(e) if Instant::now() > until => return Err(e),
                Err(_) => sleep(POLL_INTERVAL).await,
            }
        }
    }

    async fn try_submit(&self, text: &str) -> Result<SubmitReply> {
        let submission = SubmissionId(fastrand::u64(1..));
        let ask =
            Submit { submission, base: self.version, by: "experiment".into(), text: text.into() };
        Ok(operators::submit(self.members[0].addr("operators")?, SECRET, &ask).await?)
    }

    /// Waits until the members own `count` ready workers and all members are ready; returns the
    /// duration of the wait.
    pub async fn wait_ready(&self, count: usize, limit: Duration) -> Result<Duration> {
        let begun = Instant::now();
        loop {
            let mut ready = 0;
            for n in 0..self.members.len() {
                let show = self.show(n).await.map_or(vec![], |s| s.workers);
                ready += show.iter().filter(|w| &*w.state == "ready").count();
            }
            if ready >= count && self.members_ready().await {
                return Ok(begun.elapsed());
            }
            if begun.elapsed() > limit {
                return Err(format!("{ready} of {count} workers are ready").into());
            }
            sleep(POLL_INTERVAL).await;
        }
    }

    async fn members_ready(&self) -> bool {
        for member in &self.members {
            let Ok(addr) = member.addr("metrics") else { return false };
            let ask = Request::get(uri(addr, "/ready")).body(Full::default());
            let Ok(ask) = ask else { return false };
            let page = self.client.send(ask, CALL_TIMEOUT).await;
            if !page.is_ok_and(|(head, _)| head.status.is_success()) {
                return false;
            }
        }
        true
    }

    /// The state that a member shows its operators.
    pub async fn show(&self, n: usize) -> Result<Show> {
        Ok(operators::show(self.members[n].addr("operators")?, SECRET).await?)
    }

    /// The addresses of the members for callers.
    pub fn callers(&self) -> Result<Vec<SocketAddr>> {
        self.members.iter().map(|m| m.addr("callers")).collect()
    }

    /// The address of the platform's list of VMs.
    pub fn vm_list_addr(&self) -> Result<SocketAddr> {
        self.platform.addr("vms")
    }

    /// The platform's list of VMs.
    pub async fn vms(&self) -> Result<VmList> {
        self.get(self.vm_list_addr()?, "/v1/vms").await
    }

    /// Marks a VM as leaving.
    pub async fn mark_leaving(&self, worker: &WorkerId) -> Result<()> {
        let mark = serde_json::json!({"worker": worker, "state": "leaving"});
        self.put(self.platform.addr("vms")?, "/mark", &mark).await
    }

    /// Makes the platform's list of VMs lag behind by `lag`.
    pub async fn set_list_lag(&self, lag: Duration) -> Result<()> {
        let fault = serde_json::json!({"lag": lag.as_millis() as u64});
        self.put(self.platform.addr("vms")?, "/fault", &fault).await
    }

    /// Injects a fault into the store.
    pub async fn kv_fault(&self, fault: serde_json::Value) -> Result<()> {
        self.put(self.platform.addr("kv")?, "/fault", &fault).await
    }

    /// Injects a fault into one worker.
    pub async fn worker_fault(&self, worker: SocketAddr, fault: serde_json::Value) -> Result<()> {
        self.put(worker, "/fault", &fault).await
    }

    /// The number of calls that the store has received, by kind.
    pub async fn kv_calls(&self) -> Result<BTreeMap<Box<str>, u64>> {
        self.get(self.platform.addr("kv")?, "/calls").await
    }

    /// The number of writes that the store has received.
    pub async fn writes(&self) -> Result<f64> {
        Ok(self.kv_calls().await?.get("PUT /v1/kv").copied().unwrap_or(0) as f64)
    }

    /// The sum of a counter over all workers.
    pub async fn witness(&self, name: &str) -> Result<u64> {
        let mut sum = 0;
        for fleet in &self.fleets {
            let page: serde_json::Value = self.get(fleet.addr("first")?, "/witness").await?;
            sum += page.get(name).and_then(serde_json::Value::as_u64).unwrap_or(0);
        }
        Ok(sum)
    }

    /// The number of violations that workers recorded: requests or tasks that ran in two places at
    /// once, keys of non-idempotent requests that ran again, and starts beyond a worker's resources.
    pub async fn violations(&self) -> Result<u64> {
        let mut sum = 0;
        for name in ["doubled", "repeated", "over"] {
            sum += self.witness(name).await?;
        }
        Ok(sum)
    }

    async fn get<R: serde::de::DeserializeOwned>(&self, at: SocketAddr, path: &str) -> Result<R> {
        let got = self.client.json("GET", &uri(at, path), &(), CALL_TIMEOUT).await;
        got.map_err(|e| format!("{at}{path}: {e:?}").into())
    }

    async fn put(&self, at: SocketAddr, path: &str, value: &impl Serialize) -> Result<()> {
        // The stand-ins answer with an empty object.
        let put: std::result::Result<serde_json::Value, _> =
            self.client.json("PUT", &uri(at, path), value, CALL_TIMEOUT).await;
        put.map(drop).map_err(|e| format!("{at}{path}: {e:?}").into())
    }
}

impl Fleet {
    fn args(&self, vms: SocketAddr) -> Vec<String> {
        let pairs: [(&str, String); 8] = [
            ("--vms", vms.to_string()),
            ("--pool", self.pool.into()),
            ("--zone", self.zone.into()),
            ("--racks", self.racks.to_string()),
            ("--per-rack", self.each.to_string()),
            ("--cores", self.cores.to_string()),
            ("--memory", format!("{}GB", self.memory)),
            ("--accels", self.accels.to_string()),
        ];
        let mut args = vec!["workers".to_owned()];
        args.extend(pairs.into_iter().flat_map(|(k, v)| [k.to_owned(), v]));
        args
    }
}
