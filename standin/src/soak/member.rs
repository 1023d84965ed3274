//! The members: real processes of the shipped binary, each with a controllable link to the store
//! and one from the callers. Also simulates the load balancer that selects members by their
//! readiness.

use {
    crate::{
        Result,
        link::{Link, Mode},
        soak::{
            Options,
            serve::Serving,
            stage::{Stage, bounds},
        },
    },
    dogwoodreach::{
        http::{Client, uri},
        ids::Zone,
        ports::{ClientLimits, SiteSettings},
    },
    http_body_util::Full,
    hyper::Request,
    platform_standin::{jobs, settings},
    standin::{crowd::Held, site::setup},
    std::{
        fs::{self, OpenOptions},
        net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener},
        path::{Path, PathBuf},
        process::{self, Child, Command, Stdio},
        sync::{Arc, Mutex},
        time::{Duration, Instant},
    },
    tokio::time::sleep,
};

/// Port of the metrics page on the platform.
const METRICS_PORT: u16 = 9464;
/// Interval between the balancer's readiness checks.
const POLL_INTERVAL: Duration = Duration::from_millis(500);
/// Time-out of a readiness check.
const POLL_TIMEOUT: Duration = Duration::from_millis(900);
/// Time within which all members must become ready at first.
const START_TIMEOUT: Duration = Duration::from_secs(60);
/// Additional time that a stop may take beyond the grace period, for a busy machine.
const STOP_SLACK: Duration = Duration::from_secs(2);
/// Time within which a member must end if only its end matters.
const END_TIMEOUT: Duration = Duration::from_secs(60);
/// Maximum number of lines of a member's log in the report.
const MAX_LOG_LINES: usize = 40;

/// A member process and its links.
struct Member {
    child: Option<Child>,
    /// Whether the process should be running.
    wanted: bool,
    /// Whether a fault controls the process now.
    busy: bool,
    ready: bool,
    site: SiteSettings,
    store: Link,
    callers: Link,
    /// Address at which callers reach the member, through the link.
    front: SocketAddr,
}

/// All members of a soak.
#[derive(Clone)]
pub struct Members {
    all: Arc<Mutex<Vec<Member>>>,
    binary: Arc<Path>,
    dir: Arc<Path>,
    /// The limits of each process, as lines of its settings.
    limits: Arc<str>,
}

/// The loopback address of a member. It differs from the source address of this machine's outgoing
/// connections, so these can't take a member's port while the member is down. It depends on the
/// process id, so soaks that run side by side use different addresses.
fn member_ip(member: usize) -> IpAddr {
    let part = |n: u32| u8::try_from(n % 250).unwrap_or_default() + 1;
    let (id, last) = (process::id(), u8::try_from(member + 1).unwrap_or(u8::MAX));
    IpAddr::V4(Ipv4Addr::new(127, part(id), part(id / 250), last))
}

/// The address of a member's metrics page: the port that the platform prescribes is free at each
/// member's own address.
pub fn metrics_addr(site: &SiteSettings) -> SocketAddr {
    SocketAddr::new(site.control_addr.ip(), METRICS_PORT)
}

/// The index of the member with this address.
pub fn member_at(ip: IpAddr) -> Option<usize> {
    let IpAddr::V4(ip) = ip else { return None };
    usize::from(ip.octets()[3]).checked_sub(1)
}

/// Finds four free ports at an address, in ascending order.
fn free_ports(ip: IpAddr) -> Result<Vec<SocketAddr>> {
    let bound: Vec<TcpListener> =
        (0..4).map(|_| TcpListener::bind((ip, 0))).collect::<std::io::Result<_>>()?;
    let mut all: Vec<SocketAddr> =
        bound.iter().map(TcpListener::local_addr).collect::<std::io::Result<_>>()?;
    all.sort();
    Ok(all)
}

impl Members {
    /// Starts all members and waits until they are ready. Errs if they don't become ready in time.
    pub async fn start(options: &Options, stage: &Stage, serving: &Serving) -> Result<Self> {
        let mut all = Vec::new();
        for no in 0..options.members {
            let store = Link::new(serving.stores[no]);
            let at = free_ports(member_ip(no))?;
            let site = SiteSettings {
                node: format!("member-{no}").into(),
                zone: Zone::from("z1"),
                cores: 0.25,
                caller_addr: at[0],
                ready_addr: at[1],
                control_addr: at[2],
                metrics_addrs: [at[3]].into(),
                store_addr: store.listen().await?,
                read_rate: 2_000.0,
                advice_addr: Some(serving.advice[no]),
                vms_addr: Some(serving.vms),
                vm_limits: setup::fleet(),
                bounds: bounds(options),
                clients: ClientLimits::of_vm(options.memory_mb << 20, options.max_fds),
            };
            let callers = Link::new(site.caller_addr);
            let front = callers.listen().await?;
            let (child, wanted, busy, ready) = (None, false, false, false);
            all.push(Member { child, wanted, busy, ready, site, store, callers, front });
        }
        let members = Members {
            all: Arc::new(Mutex::new(all)),
            binary: options.binary.as_path().into(),
            dir: options.dir.as_path().into(),
            limits: format!(
                "Limits.MemoryMb={}\nLimits.MaxFds={}\n",
                options.memory_mb, options.max_fds
            )
            .into(),
        };
        for no in 0..options.members {
            members.start_process(no)?;
        }
        tokio::spawn(members.clone().watch(stage.clone()));
        let end = Instant::now() + START_TIMEOUT;
        while members.ready().len() < options.members {
            if Instant::now() > end || stage.has_breach() {
                return Err("the members don't get ready".into());
            }
            sleep(POLL_INTERVAL).await;
        }
        Ok(members)
    }

    fn with_member<T>(&self, no: usize, f: impl FnOnce(&mut Member) -> T) -> T {
        f(&mut self.all.lock().expect("no holder panics")[no])
    }

    /// The settings of a member.
    pub fn site(&self, no: usize) -> SiteSettings {
        self.with_member(no, |m| m.site.clone())
    }

    /// What a member's process holds; `None` if it doesn't run.
    pub fn held(&self, no: usize) -> Option<Held> {
        let (id, site) =
            self.with_member(no, |m| Some((m.child.as_ref()?.id(), m.site.clone())))?;
        let addrs = [site.caller_addr, site.ready_addr, site.control_addr, metrics_addr(&site)];
        Held::read(id, &addrs.into())
    }

    fn log(&self, no: usize) -> PathBuf {
        self.dir.join(format!("member-{no}.log"))
    }

    /// Starts a member's process.
    pub fn start_process(&self, no: usize) -> Result<()> {
        let path = self.dir.join(format!("member-{no}.conf"));
        let log = OpenOptions::new().create(true).append(true).open(self.log(no))?;
        self.with_member(no, |m| {
            fs::write(&path, settings::write(&m.site) + &self.limits)?;
            let child = Command::new(&*self.binary)
                .arg("serve")
                .env(settings::SETTINGS_VAR, &path)
                .stdin(Stdio::null())
                .stdout(log.try_clone()?)
                .stderr(log)
                .spawn()?;
            (m.child, m.wanted) = (Some(child), true);
            Ok(())
        })
    }

    /// Acquires a member's process for a fault; only one fault at a time may control it. Returns
    /// whether it was free.
    pub fn acquire(&self, no: usize) -> bool {
        self.with_member(no, |m| !std::mem::replace(&mut m.busy, true))
    }

    /// Releases a member that was acquired with [`Members::acquire`].
    pub fn release(&self, no: usize) {
        self.with_member(no, |m| m.busy = false);
    }

    /// Kills a member's process.
    pub fn kill(&self, no: usize) {
        self.with_member(no, |m| {
            m.wanted = false;
            m.ready = false;
            if let Some(mut child) = m.child.take() {
                let (_, _) = (child.kill(), child.wait());
            }
        });
    }

    /// Sends a signal, such as `MAX_STOP`, to a member's process.
    pub fn signal(&self, no: usize, name: &str) {
        let Some(id) = self.with_member(no, |m| m.child.as_ref().map(Child::id)) else { return };
        let _ = Command::new("kill").args([&format!("-{name}"), &id.to_string()]).status();
    }

    /// Shuts a member down with `TERM`; returns whether it was still running and ends in order.
    pub async fn ends_well(&self, no: usize) -> bool {
        self.with_member(no, |m| m.wanted = false);
        let Some(mut child) = self.with_member(no, |m| m.child.take()) else { return false };
        let _ = Command::new("kill").args(["-TERM", &child.id().to_string()]).status();
        let end = Instant::now() + END_TIMEOUT;
        while Instant::now() < end {
            if let Ok(Some(status)) = child.try_wait() {
                return status.success();
            }
            sleep(Duration::from_millis(50)).await;
        }
        let (_, _) = (child.kill(), child.wait());
        false
    }

    /// Shuts a member down with `TERM` and waits for its end. A failure or a time-out is a breach.
    pub async fn stop(&self, no: usize, stage: &Stage) {
        self.with_member(no, |m| m.wanted = false);
        self.signal(no, "TERM");
        let end = Instant::now() + setup::bounds().stop_grace + STOP_SLACK;
        loop {
            let ended = self.with_member(no, |m| match m.child.as_mut().map(Child::try_wait) {
                None => Some(None),
                Some(Ok(Some(status))) => Some(Some(status)),
                Some(_) => None,
            });
            match ended {
                Some(Some(status)) if !status.success() => {
                    stage.report_breach(format!(
                        "member {no} was told to end, and ended with {status}"
                    ));
                    break;
                }
                Some(_) => break,
                None if Instant::now() > end => {
                    if stage.read(|s| s.rules.time_rules) {
                        stage.report_breach(format!("member {no} was told to end, and runs on"));
                    }
                    break;
                }
                None => sleep(Duration::from_millis(50)).await,
            }
        }
        self.kill(no);
    }

    /// Assigns new addresses to a member.
    pub async fn change_addresses(&self, no: usize) -> Result<()> {
        let at = free_ports(member_ip(no))?;
        let callers = Link::new(at[0]);
        let front = callers.listen().await?;
        self.with_member(no, |m| {
            (m.site.caller_addr, m.site.ready_addr) = (at[0], at[1]);
            (m.site.control_addr, m.site.metrics_addrs) = (at[2], [at[3]].into());
            m.callers.set(Mode::Cut);
            (m.callers, m.front) = (callers, front);
        });
        Ok(())
    }

    /// Sets the mode of a member's link to the store.
    pub fn link_store(&self, no: usize, mode: Mode) {
        self.with_member(no, |m| m.store.set(mode));
    }

    /// Sets the mode of the callers' link to a member.
    pub fn link_callers(&self, no: usize, mode: Mode) {
        self.with_member(no, |m| m.callers.set(mode));
    }

    /// Caller addresses of the members that are ready.
    pub fn ready(&self) -> Vec<SocketAddr> {
        let all = self.all.lock().expect("no holder panics");
        all.iter().filter(|m| m.ready).map(|m| m.front).collect()
    }

    /// Addresses among which the balancer selects: those of the ready members, or of all members if
    /// fewer than half are ready.
    pub fn targets(&self) -> Vec<SocketAddr> {
        let ready = self.ready();
        let all = self.all.lock().expect("no holder panics");
        if ready.len() * 2 < all.len() { all.iter().map(|m| m.front).collect() } else { ready }
    }

    /// Polls the readiness of all members, and reports a breach if a process ends that should run.
    async fn watch(self, stage: Stage) {
        let (client, count) = (Client::new(2), self.all.lock().expect("no holder panics").len());
        let mut failures = vec![0; count];
        loop {
            for (no, failed) in failures.iter_mut().enumerate() {
                let at = self.with_member(no, |m| m.site.ready_addr);
                let ask = Request::get(uri(at, jobs::READY_PATH)).body(Full::default());
                let answer = match ask {
                    Ok(ask) => client.send(ask, POLL_TIMEOUT).await.ok(),
                    Err(_) => None,
                };
                let ready = answer.is_some_and(|(head, _)| head.status == 200);
                *failed = if ready { 0 } else { *failed + 1 };
                let (unready, ready_again) = (*failed >= 2, ready);
                let ended = self.with_member(no, |m| {
                    m.ready = ready_again || (m.ready && !unready);
                    let ended = m.child.as_mut().and_then(|c| c.try_wait().ok()).flatten();
                    ended.filter(|_| m.wanted)
                });
                if let Some(status) = ended {
                    stage.report_breach(format!("member {no} has ended by itself with {status}"));
                    return;
                }
            }
            sleep(POLL_INTERVAL).await;
        }
    }

    /// Shuts all members down, or kills them after a breach.
    pub async fn end(&self, stage: &Stage) {
        let count = self.all.lock().expect("no holder panics").len();
        for no in 0..count {
            self.signal(no, "CONT");
            if stage.has_breach() { self.kill(no) } else { self.stop(no, stage).await }
        }
    }

    /// Log lines that contain the job number in `text`.
    pub fn lines(&self, text: &str) -> Vec<String> {
        let words = text.split(|c: char| !c.is_ascii_hexdigit());
        let Some(job) = words.into_iter().find(|w| w.len() == 16) else { return Vec::new() };
        let count = self.all.lock().expect("no holder panics").len();
        let of = |no: usize| {
            let log = fs::read_to_string(self.log(no)).unwrap_or_default();
            let named = log.lines().filter(|l| l.contains(job));
            named.take(MAX_LOG_LINES).map(|l| format!("{no} {l}")).collect::<Vec<_>>()
        };
        (0..count).flat_map(of).collect()
    }
}

impl Drop for Member {
    fn drop(&mut self) {
        if let Some(mut child) = self.child.take() {
            let (_, _) = (child.kill(), child.wait());
        }
    }
}
