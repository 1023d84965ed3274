//! Runs the commands of scenario files against processes of the scheduler and its stand-ins.
//!
//! A scenario is a file of commands, each followed by `----` and the expected output. A command
//! starts a process, injects a fault, sends a request or waits for a condition. README.md beside
//! the scenarios describes the commands.

mod counts;
mod load;
mod process;
mod sockets;
mod wait;

use {
    datadriven::TestCase,
    dogwoodreach::http::Client,
    http_body_util::Full,
    hyper::Request,
    load::{Call, CallResult, Load, Member},
    process::Process,
    serde_json::Value,
    std::{
        collections::{BTreeMap, BTreeSet},
        fs,
        net::TcpStream,
        path::{Path, PathBuf},
        process::{Command, Output},
        time::{Duration, Instant},
    },
    tokio::{
        runtime::{Builder, Runtime},
        task::JoinHandle,
    },
};

const DAEMON: &str = env!("CARGO_BIN_EXE_dogwoodreach");
const SECRET: &str = "a-secret-of-the-scenarios";
/// The time-out of a call to a member's page or to the control address of a stand-in.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Runs the scenario in the file of this name.
pub fn run(name: &str) {
    let mut cell = Cell::new(name);
    let path = format!("{}/tests/scenarios/{name}.txt", env!("CARGO_MANIFEST_DIR"));
    assert!(Path::new(&path).exists(), "no scenario {path}");
    datadriven::walk(&path, |file| file.run(|case| cell.command(case)));
}

/// The processes, loads and pending requests of a running scenario.
pub struct Cell {
    dir: PathBuf,
    runtime: Runtime,
    client: Client,
    processes: BTreeMap<String, Process>,
    members: BTreeSet<String>,
    loads: BTreeMap<String, Load>,
    requests: BTreeMap<String, JoinHandle<CallResult>>,
    marked_at: Option<Instant>,
    aliases: BTreeMap<String, String>,
    gain_marks: BTreeMap<String, usize>,
    verdict_marks: BTreeMap<(String, String), u64>,
    sockets: Vec<TcpStream>,
}

impl Cell {
    fn new(name: &str) -> Self {
        let dir = Path::new(env!("CARGO_TARGET_TMPDIR")).join("scenarios").join(name);
        let _ = fs::remove_dir_all(&dir);
        fs::create_dir_all(&dir).expect("a directory");
        fs::write(dir.join("secret"), SECRET).expect("a file");
        let runtime = Builder::new_multi_thread().worker_threads(2).enable_all().build();
        Cell {
            dir,
            runtime: runtime.expect("a runtime"),
            client: Client::new(0),
            processes: BTreeMap::new(),
            members: BTreeSet::new(),
            loads: BTreeMap::new(),
            requests: BTreeMap::new(),
            marked_at: None,
            aliases: BTreeMap::new(),
            gain_marks: BTreeMap::new(),
            verdict_marks: BTreeMap::new(),
            sockets: vec![],
        }
    }

    fn command(&mut self, case: &TestCase) -> String {
        let mut args = Args::new(case, &self.aliases);
        let output = match case.directive.as_str() {
            "platform" => self.start("platform", standin(), &["platform"]),
            "workers" => self.workers(&mut args),
            "member" => self.member(&mut args),
            "submit" => self.submit(&mut args, &case.input),
            "race" => self.race(&mut args, &case.input),
            "request" => self.request(&mut args),
            "result" => {
                let pending = self.requests.remove(&args.name()).expect("a request of this name");
                describe(&self.runtime.block_on(pending).expect("a request ends by itself"))
            }
            "load" => self.load(&mut args),
            "load-end" => self.load_end(&mut args),
            "kill" => {
                self.process(&args.name()).kill();
                "".into()
            }
            "pause" => self.signal(&mut args, "STOP"),
            "resume" => self.signal(&mut args, "CONT"),
            "stop" => self.signal(&mut args, "TERM"),
            "fault" => self.fault(&mut args, "/fault"),
            "link" => self.fault(&mut args, "/link"),
            "mark" => self.mark(&mut args),
            "last-work" => self.last_work(&mut args),
            "await" => self.wait(&mut args),
            "find" => self.find(&mut args),
            "mark-gained" => self.mark_gained(&mut args),
            "gained" => self.gained_since_mark(&mut args),
            "mark-verdicts" => self.mark_verdicts(&mut args),
            "verdicts" => self.verdicts(&mut args),
            "sockets" => self.sockets(&mut args),
            "same-text" => self.same_text(&mut args),
            "witness" => self.witness(),
            other => panic!("no command {other}"),
        };
        args.assert_all_used();
        if output.is_empty() { output } else { output.trim_end().to_owned() + "\n" }
    }

    fn start(&mut self, name: &str, program: PathBuf, line: &[&str]) -> String {
        let log = self.dir.join(format!("{name}.log"));
        self.processes.insert(name.into(), Process::start(&program, line, &log));
        "".into()
    }

    fn workers(&mut self, args: &mut Args) -> String {
        let (pool, zones) = (args.required("pool"), args.list("zone").join(","));
        let vms = self.process("platform").value("vms").to_owned();
        let mut line = vec!["workers", "--vms", &vms, "--pool", &pool, "--zone", &zones];
        let (racks, each) = (args.required("racks"), args.required("per-rack"));
        line.extend(["--racks", &racks, "--per-rack", &each]);
        if args.flag("through-link") {
            line.push("--through-link");
        }
        self.start(&pool, standin(), &line);
        format!("{} workers", self.process(&pool).value("workers"))
    }

    fn member(&mut self, args: &mut Args) -> String {
        let (zone, linked, name) = (args.required("zone"), args.flag("through-link"), args.name());
        let mut kv = self.process("platform").value("kv").to_owned();
        let vms = self.process("platform").value("vms").to_owned();
        let header = args.optional("header").map(|h| format!("[limits]\nheader = {h}\n"));
        if linked {
            let link = format!("{name}-kv");
            self.start(&link, standin(), &["link", "--to", &kv]);
            kv = self.process(&link).value("link").to_owned();
        }
        let ports = ["callers", "operators", "control", "bodies", "metrics"];
        let ports: String = ports.iter().map(|p| format!("{p} = 127.0.0.1:0\n")).collect();
        let text = format!(
            "[member]\nzone = {zone}\nsecret = {SECRET}\n{ports}[platform]\nkv = {kv}\nvms = {vms}\n{}",
            header.unwrap_or_default()
        );
        let settings = self.dir.join(format!("{name}.ini"));
        fs::write(&settings, text).expect("a file");
        let settings = settings.to_string_lossy().into_owned();
        self.members.insert(name.clone());
        self.start(&name, DAEMON.into(), &["serve", "--settings", &settings]);
        let addresses = self.addresses(&name);
        for load in self.loads.values() {
            load.members.lock().expect("no holder panics").push(addresses.clone());
        }
        "".into()
    }

    fn submit(&mut self, args: &mut Args, text: &str) -> String {
        let file = self.dir.join("text.ini");
        fs::write(&file, text).expect("a file");
        let mut line = vec!["submit".into(), file.to_string_lossy().into_owned()];
        if let Some(base) = args.optional("base") {
            line.extend(["--base".into(), base]);
        }
        let via = args.required("via");
        let out = self.operator_output(&via, &line);
        let output = String::from_utf8_lossy(&out.stdout).into_owned();
        let failed = String::from_utf8_lossy(&out.stderr).into_owned();
        match out.status.code() {
            Some(0) => output,
            code => format!("{output}{failed}exit code {}", code.unwrap_or(-1)),
        }
    }

    /// Submits two texts at once, each through its own member.
    ///
    /// Either submission may win, so the output is sorted.
    fn race(&mut self, args: &mut Args, texts: &str) -> String {
        let base = args.required("base");
        let mut children = vec![];
        for (n, (via, text)) in args.list("via").iter().zip(texts.split("\n==\n")).enumerate() {
            let file = self.dir.join(format!("race-{n}.ini"));
            fs::write(&file, text).expect("a file");
            let file = file.to_string_lossy().into_owned();
            let mut line = self.operator_command(via, &["submit".into(), file]);
            let child = line.args(["--base", &base]).stdout(std::process::Stdio::piped()).spawn();
            children.push(child.expect("the command starts"));
        }
        let outputs = children.into_iter().map(|c| c.wait_with_output().expect("it ends"));
        let mut output: Vec<String> = outputs
            .map(|out| match out.status.code() {
                Some(0) => String::from_utf8_lossy(&out.stdout).trim_end().into(),
                Some(4) if out.stdout.iter().filter(|b| **b == b'\n').count() > 1 => {
                    "conflict, with the difference".into()
                }
                code => format!("{code:?}: {}", String::from_utf8_lossy(&out.stdout)),
            })
            .collect();
        output.sort();
        output.join("\n")
    }

    fn request(&mut self, args: &mut Args) -> String {
        let (via, call) = (args.required("via"), args.call());
        let Some(name) = args.optional("as") else { return describe(&self.send(&via, &call)) };
        let (addr, client) = (self.addresses(&via).0, self.client.clone());
        let sent = async move { load::send(&client, &addr, &call).await };
        self.requests.insert(name, self.runtime.spawn(sent));
        "".into()
    }

    fn send(&mut self, via: &str, call: &Call) -> CallResult {
        let addr = self.addresses(via).0;
        self.runtime.block_on(load::send(&self.client, &addr, call))
    }

    fn load(&mut self, args: &mut Args) -> String {
        let via = args.list("via");
        let members: Vec<Member> = via.iter().map(|m| self.addresses(m)).collect();
        let parallel = args.required("parallel").parse().expect("a number");
        let (total, name) = (args.optional("n"), args.optional("as"));
        let count = total.as_ref().map_or(u64::MAX, |n| n.parse().expect("a number"));
        let (call, twice) = (args.call(), args.flag("twice"));
        let load_name = name.clone().unwrap_or_else(|| "load".into());
        let guard = self.runtime.enter();
        let load = Load::start(&members, &call, &load_name, parallel, count, twice);
        drop(guard);
        match name {
            Some(name) => {
                self.loads.insert(name, load);
                "".into()
            }
            None => self.summarize(load, false, &args.list("allow")),
        }
    }

    fn load_end(&mut self, args: &mut Args) -> String {
        let allowed = args.list("allow");
        let load = self.loads.remove(&args.name()).expect("a load of this name");
        self.summarize(load, true, &allowed)
    }

    /// Ends a load and describes its results.
    ///
    /// The number of answers is printed only if it is the same in every run of the scenario.
    fn summarize(&mut self, load: Load, stop_now: bool, allowed: &[String]) -> String {
        let (answered, mut tally) = self.runtime.block_on(load.end(stop_now));
        let ran: BTreeSet<String> = self.ran_ids();
        // With `twice`, one call with a key may be refused while the other is answered.
        let refused =
            tally.refused_ids.iter().chain(tally.refused_keys.difference(&tally.answered_keys));
        let contradictions: Vec<&String> = refused.filter(|id| ran.contains(*id)).collect();
        let answered =
            if stop_now || !allowed.is_empty() { "many".into() } else { answered.to_string() };
        tally.reasons.retain(|reason, _| !allowed.contains(reason));
        let errors: Vec<String> = tally.reasons.iter().map(|(r, n)| format!("{r} {n}")).collect();
        let errors = if errors.is_empty() { "none".into() } else { errors.join(", ") };
        let wrong = tally.wrong.join("; ");
        let mut output = format!("answered: {answered}\nother errors: {errors}");
        if !tally.wrong.is_empty() {
            output += &format!("\nwrong answers: {wrong}");
        }
        if !contradictions.is_empty() {
            output += &format!("\nran although refused as not run: {contradictions:?}");
        }
        output
    }

    fn signal(&mut self, args: &mut Args, name: &str) -> String {
        self.process(&args.name()).signal(name);
        "".into()
    }

    /// Sets a fault of the store (`kv`), of the VM list (`list`), of the workers of a pool, or of the
    /// link `NAME-kv` between a member and the store.
    fn fault(&mut self, args: &mut Args, path: &str) -> String {
        let worker = args.optional("worker").unwrap_or_default();
        let name = args.name();
        let fields = args.0.drain().map(|(k, v)| {
            let v = v.into_iter().next().unwrap_or_default();
            (k, serde_json::from_str(&v).unwrap_or(Value::String(v)))
        });
        let body = Value::Object(fields.collect());
        let to = match name.as_str() {
            "kv" => format!("{}/fault", self.process("platform").value("kv")),
            "list" => format!("{}/fault", self.process("platform").value("vms")),
            link if link.ends_with("-kv") => {
                format!("{}/fault", self.process(link).value("control"))
            }
            pool => format!("{}{path}?worker={worker}", self.process(pool).value("control")),
        };
        self.put(&to, &body);
        "".into()
    }

    fn mark(&mut self, args: &mut Args) -> String {
        let (worker, state) = (args.required("worker"), args.required("state"));
        let to = format!("{}/mark", self.process("platform").value("vms"));
        self.put(&to, &serde_json::json!({ "worker": worker, "state": state }));
        self.marked_at = Some(Instant::now());
        "".into()
    }

    /// Checks that a worker received its last new work within a bound after it was marked.
    fn last_work(&mut self, args: &mut Args) -> String {
        let (worker, pool) = (args.required("worker"), args.required("pool"));
        let bound: u64 = args.required("within").parse().expect("milliseconds");
        let to = format!("{}/last?worker={worker}", self.process(&pool).value("control"));
        let age = self.get(&to).and_then(|v| v.as_u64()).expect("the worker's last work");
        let marked = self.marked_at.expect("a mark").elapsed().as_millis() as u64;
        let after = marked.saturating_sub(age);
        if after <= bound { "in time".into() } else { format!("{after} ms after the mark") }
    }

    /// Defines an alias for the worker of a job's first task, for use in later commands.
    fn find(&mut self, args: &mut Args) -> String {
        let (job, name) = (args.required("worker-of"), args.required("as"));
        let tasks = self.all_rows("tasks");
        let first = |t: &&Value| t["task"]["job"] == *job && t["task"]["index"] == 0;
        let worker = tasks.iter().find(first).and_then(|t| t["worker"].as_str());
        self.aliases.insert(name, worker.expect("the task runs somewhere").into());
        "".into()
    }

    /// Counts how often a rack got an owner, according to the members' logs.
    fn gained(&self, rack: &str) -> usize {
        let line = format!("Gained rack:{rack} ");
        self.members.iter().map(|m| self.log(m).matches(&line).count()).sum()
    }

    /// What a member has logged so far.
    fn log(&self, member: &str) -> String {
        fs::read_to_string(self.dir.join(format!("{member}.log"))).unwrap_or_default()
    }

    /// The counts of violations that the workers recorded, and their notes.
    fn witness(&mut self) -> String {
        let mut output = vec![];
        for pool in self.pool_controls() {
            let w = self.get(&format!("{pool}/witness")).expect("a witness");
            let count = |what: &str| format!("{what} {}", w[what]);
            output.push([count("doubled"), count("repeated"), count("over")].join(", "));
            output.extend(w["notes"].as_array().into_iter().flatten().map(Value::to_string));
        }
        output.join("\n")
    }

    /// The ids and keys of all requests that ran.
    fn ran_ids(&mut self) -> BTreeSet<String> {
        let mut all = BTreeSet::new();
        for pool in self.pool_controls() {
            let ran = self.get(&format!("{pool}/witness/ran")).expect("a witness");
            for list in ["ids", "keys"] {
                let names = ran[list].as_array().into_iter().flatten();
                all.extend(names.filter_map(|v| v.as_str().map(String::from)));
            }
        }
        all
    }

    fn pool_controls(&self) -> Vec<String> {
        let pools = self.processes.values().filter(|p| p.has_value("pool"));
        pools.map(|p| p.value("control").into()).collect()
    }

    fn process(&mut self, name: &str) -> &mut Process {
        self.processes.get_mut(name).unwrap_or_else(|| panic!("no process is named {name}"))
    }

    fn addresses(&mut self, name: &str) -> Member {
        let member = self.process(name);
        (member.value("callers").into(), member.value("metrics").into())
    }

    fn operator_command(&mut self, via: &str, words: &[String]) -> Command {
        let to = self.process(via).value("operators").to_owned();
        let mut line = Command::new(DAEMON);
        line.args(words).args(["--to", &to, "--secret-file"]).arg(self.dir.join("secret"));
        line
    }

    fn operator_output(&mut self, via: &str, words: &[String]) -> Output {
        self.operator_command(via, words).output().expect("the command runs")
    }

    /// The output of `show --json` at a member, or `None` if the member does not answer.
    fn show(&mut self, member: &str) -> Option<Value> {
        let out = self.operator_output(member, &["show".into(), "--json".into()]);
        serde_json::from_slice(&out.stdout).ok().filter(|s: &Value| s.get("version").is_some())
    }

    fn get(&self, at: &str) -> Option<Value> {
        serde_json::from_str(&self.page(at)?).ok()
    }

    fn page(&self, at: &str) -> Option<String> {
        let ask = Request::builder().uri(format!("http://{at}")).body(Full::default());
        let sent = self.client.send(ask.expect("a request"), CALL_TIMEOUT);
        let (head, body) = self.runtime.block_on(sent).ok()?;
        head.status.is_success().then(|| String::from_utf8_lossy(&body).into())
    }

    fn put(&self, at: &str, body: &Value) {
        let sent = async {
            self.client.json::<_, Value>("PUT", &format!("http://{at}"), body, CALL_TIMEOUT).await
        };
        let done = self.runtime.block_on(sent);
        assert!(done.is_ok(), "{at} refused {body}: {done:?}");
    }
}

/// The path of the stand-ins' program, which `cargo build --workspace` puts beside the daemon's.
fn standin() -> PathBuf {
    Path::new(DAEMON).with_file_name("standin")
}

/// Describes a call's result in the format of the scenario files.
fn describe(result: &CallResult) -> String {
    match result.status {
        None => result.reason.clone(),
        Some(status) if result.reason.is_empty() => format!("{status} {}", result.body),
        Some(status) => {
            let retry = if result.retry_after { ", come back" } else { "" };
            format!("{status} {}, ran: {}{retry}", result.reason, result.ran)
        }
    }
}

/// The arguments of a command. The argument without a value names the command's subject.
pub struct Args(std::collections::HashMap<String, Vec<String>>);

impl Args {
    /// Takes the arguments of a command and replaces each alias by the name it stands for.
    fn new(case: &TestCase, aliases: &BTreeMap<String, String>) -> Self {
        let mut args = case.args.clone();
        for value in args.values_mut().flatten() {
            if let Some(target) = aliases.get(value) {
                value.clone_from(target);
            }
        }
        Args(args)
    }

    fn optional(&mut self, name: &str) -> Option<String> {
        self.0.remove(name)?.into_iter().next()
    }

    fn required(&mut self, name: &str) -> String {
        self.optional(name).unwrap_or_else(|| panic!("{name}= is missing"))
    }

    fn list(&mut self, name: &str) -> Vec<String> {
        self.0.remove(name).unwrap_or_default()
    }

    fn flag(&mut self, name: &str) -> bool {
        self.0.remove(name).is_some()
    }

    fn name(&mut self) -> String {
        let name = self.0.iter().find(|(_, v)| v.is_empty()).map(|(k, _)| k.clone());
        let name = name.expect("the command needs a name without a value");
        self.0.remove(&name);
        name
    }

    fn call(&mut self) -> Call {
        Call {
            service: self.required("service"),
            body: self.optional("body").unwrap_or_default(),
            key: self.optional("key"),
            deadline: self.optional("deadline"),
            run: self.optional("run"),
            caller: None,
        }
    }

    fn assert_all_used(&self) {
        assert!(self.0.is_empty(), "the command has unknown arguments {:?}", self.0.keys());
    }
}
