//! Simulated callers: they submit jobs, poll their states, cancel some, and pass the answers to the
//! judge.

use {
    crate::soak::{
        Options,
        member::Members,
        stage::{Counts, Stage, unix},
    },
    bytes::Bytes,
    dogwoodreach::{
        http::{Client, Failure, uri},
        ids::CustomerId,
        shard::record::JobRecord,
        work::{JobNo, JobState},
    },
    http_body_util::Full,
    hyper::Request,
    platform_standin::jobs,
    standin::site::{
        customers::{self, Tenants},
        plan::{self, DrawnJob},
    },
    std::{
        collections::BTreeMap,
        net::SocketAddr,
        ops::Range,
        sync::{
            Arc, Mutex,
            atomic::{AtomicBool, AtomicU64, Ordering},
        },
        time::{Duration, Instant},
    },
    tokio::{sync::oneshot, time::sleep},
};

/// Deadline of a call, in milliseconds.
const DEADLINE_MS: u64 = 3_000;
/// Additional time that the client waits for an answer after the deadline.
const ANSWER_SLACK: Duration = Duration::from_millis(300);
/// Maximum number of submissions of a job that isn't accepted.
const MAX_SUBMITS: usize = 5;
/// The store may execute a delayed write at most this long after its call.
const MAX_WRITE_DELAY: Duration = Duration::from_secs(8);
/// Number of further queries of a job's state after the first final one.
const LATER_QUERIES: usize = 12;
/// Range of the pauses before these queries, in milliseconds.
const LATER_PAUSE_MS: Range<u64> = 20..400;
/// Interval between two submissions of small tasks.
pub const SMALL_TASKS_INTERVAL: Duration = Duration::from_secs(8);
/// Number of workers for each job a second; it sets the rate of submissions.
const WORKERS_PER_RATE: f64 = 3.5;

/// One in this number of callers cancels its job without waiting for the answer to its submission.
const LEAVE_PERIOD: u32 = 10;
/// Range of the time between such a caller's submission and its cancel, in milliseconds.
const LEAVE_MS: Range<u64> = 0..300;

/// All callers of a soak.
#[derive(Clone)]
pub struct Callers {
    stage: Stage,
    members: Members,
    /// Number of workers.
    workers: usize,
    client: Client,
    counts: Arc<Mutex<Counts>>,
    /// Jobs that aren't over, with a description of what each waits for.
    open: Arc<Mutex<BTreeMap<JobNo, String>>>,
    /// Number of cancel waves so far.
    wave: Arc<AtomicU64>,
    calm: Arc<AtomicBool>,
    rng: Arc<Mutex<fastrand::Rng>>,
}

/// Result of submitting a job.
#[derive(Clone, Copy, PartialEq)]
enum Submission {
    Accepted,
    /// Every answer promised that the job never runs.
    Refused,
    Unclear,
}

/// Draws whether the caller of a job cancels it unanswered, and when, from a generator of the job's own,
/// so that all others stay as they are.
fn draw_leave(drawn: &DrawnJob) -> Option<Duration> {
    let mut rng = fastrand::Rng::with_seed(!drawn.no);
    (rng.u32(0..LEAVE_PERIOD) == 0).then(|| Duration::from_millis(rng.u64(LEAVE_MS)))
}

impl Callers {
    /// Creates the callers without any jobs.
    pub fn new(stage: &Stage, members: &Members, options: &Options) -> Self {
        Callers {
            stage: stage.clone(),
            members: members.clone(),
            workers: options.workers,
            client: Client::new(16),
            counts: Arc::default(),
            open: Arc::default(),
            wave: Arc::default(),
            calm: Arc::default(),
            rng: Arc::new(Mutex::new(fastrand::Rng::with_seed(options.seed))),
        }
    }

    fn draw<T>(&self, from: impl FnOnce(&mut fastrand::Rng) -> T) -> T {
        from(&mut self.rng.lock().expect("no holder panics"))
    }

    fn count(&self, what: impl FnOnce(&mut Counts)) {
        what(&mut self.counts.lock().expect("no holder panics"));
    }

    /// Returns the counters.
    pub fn counts(&self) -> Counts {
        *self.counts.lock().expect("no holder panics")
    }

    /// Jobs that aren't over, with a description of what each waits for.
    pub fn open(&self) -> Vec<(JobNo, String)> {
        let open = self.open.lock().expect("no holder panics");
        open.iter().map(|(job, what)| (*job, what.clone())).collect()
    }

    fn set_waiting(&self, job: JobNo, what: String) {
        self.open.lock().expect("no holder panics").insert(job, what);
    }

    /// Submits jobs at random intervals until a time.
    pub async fn submit_until(&self, until: Instant) {
        let mean = 1e3 * WORKERS_PER_RATE / self.workers as f64;
        while Instant::now() < until {
            let gap = self.draw(|r| r.f64()) * 2.0 * mean;
            sleep(Duration::from_millis(gap as u64)).await;
            self.burst(1);
        }
    }

    /// Submits `count` jobs at once.
    pub fn burst(&self, count: u32) {
        for _ in 0..count {
            let mut drawn = self.draw(|r| plan::draw_job(r, self.workers, unix()));
            let customer = self.customer_of(drawn.no);
            if customer.is_some() {
                customers::place_data(drawn.no, &mut drawn.job);
            }
            self.submit_job(drawn, customer);
        }
    }

    /// Returns the customer of a job, if there are customers.
    fn customer_of(&self, no: u64) -> Option<CustomerId> {
        let of_job = |t: &Tenants| t.of_job(no).clone();
        self.stage.read(|s| s.tenants.as_ref().map(of_job))
    }

    /// Submits `count` small tasks in jobs of 100 every [`SMALL_TASKS_INTERVAL`] until a time, so
    /// that workers have more ends than one report lists while the store is away.
    pub async fn submit_small_tasks(&self, count: u32, until: Instant) {
        while count > 0 && Instant::now() < until {
            for _ in 0..count.div_ceil(plan::SMALL_TASKS) {
                let drawn = self.draw(plan::draw_small_tasks);
                let customer = self.customer_of(drawn.no);
                self.submit_job(drawn, customer);
            }
            sleep(SMALL_TASKS_INTERVAL).await;
        }
    }

    /// Submits a job of a customer, and follows it until it is over.
    pub fn submit_job(&self, drawn: DrawnJob, customer: Option<CustomerId>) {
        self.set_waiting(JobNo(drawn.no), "its acceptance".into());
        tokio::spawn(self.clone().handle_job(drawn, customer));
    }

    /// Starts a cancel wave: each open job is cancelled with a probability of one half.
    pub fn start_cancel_wave(&self) {
        self.wave.fetch_add(1, Ordering::Relaxed);
    }

    /// Records that no more faults come. Jobs with long-running tasks are cancelled then, since
    /// they would never end.
    pub fn calm(&self) {
        self.calm.store(true, Ordering::Relaxed);
    }

    /// Handles one job from its submission until it is over.
    async fn handle_job(self, drawn: DrawnJob, customer: Option<CustomerId>) {
        let no = JobNo(drawn.no);
        self.count(|c| c.asked += 1);
        self.stage.update(|s| {
            let (queue, job) = (drawn.queue.into(), drawn.job.clone());
            s.world.jobs.insert(
                no,
                JobRecord { queue, submitted_ms: unix(), job, queue_settings: None, customer },
            );
            if drawn.fails {
                s.world.failing_steps.insert((no, drawn.job.steps.len() as u16 - 1));
            }
        });
        if let Some(key) = self.stage.read(|s| s.bad_key_of(no)) {
            self.count(|c| c.unauthorized += 1);
            self.use_bad_key(&drawn, &key).await;
            self.open.lock().expect("no holder panics").remove(&no);
            return;
        }
        let leaves = draw_leave(&drawn);
        let leave = async {
            if let Some(after) = leaves {
                sleep(after).await;
                self.cancel(&drawn).await;
            }
        };
        let most = if leaves.is_some() { 1 } else { MAX_SUBMITS };
        match tokio::join!(self.submit(&drawn, most), leave).0 {
            Submission::Accepted if leaves.is_none() => {
                self.count(|c| c.accepted += 1);
                let (over, told) = oneshot::channel();
                tokio::join!(self.follow(&drawn, over), self.query_later(&drawn, told));
            }
            Submission::Refused => {
                self.count(|c| c.refused += 1);
                self.judge(|s| s.rules.refused(s.world.now, no));
            }
            submission => {
                let accepted = submission == Submission::Accepted;
                self.count(|c| if accepted { c.accepted += 1 } else { c.unclear += 1 });
                self.set_waiting(no, "a cancel, its caller has left or wasn't answered".into());
                // Another cancel would hide that the first one didn't reach a job that is stored later.
                if leaves.is_none() {
                    self.cancel(&drawn).await;
                }
                sleep(MAX_WRITE_DELAY).await;
                self.cancel(&drawn).await;
            }
        }
        self.open.lock().expect("no holder panics").remove(&no);
    }

    /// Records a breach of a rule that is checked with an answer.
    pub fn judge(
        &self,
        rule: impl FnOnce(&mut crate::soak::stage::State) -> Result<(), standin::site::judge::Breach>,
    ) {
        self.stage.update(|s| {
            if let Err(breach) = rule(s) {
                s.keep(breach);
            }
        });
    }

    /// Submits a job up to `most` times, at several members, until it is accepted.
    async fn submit(&self, drawn: &DrawnJob, most: usize) -> Submission {
        let mut submission = Submission::Refused;
        for _ in 0..most {
            match self.send("POST", drawn, jobs::job(&drawn.job)).await {
                Some((200..=299, _)) => {
                    self.judge(|s| s.rules.accepted(s.world.now, JobNo(drawn.no)));
                    return Submission::Accepted;
                }
                // 401: the key was revoked, or the member doesn't know the new one yet.
                Some((401 | 429 | 503, _)) => {}
                Some((404, _)) => {
                    let no = JobNo(drawn.no);
                    self.stage.report_breach(format!(
                        "job {no}: no queue {}, and it is there",
                        drawn.queue
                    ));
                }
                _ => submission = Submission::Unclear,
            }
            self.pause(100, 700).await;
        }
        submission
    }

    async fn pause(&self, least: u64, most: u64) {
        let ms = self.draw(|r| r.u64(least..most));
        sleep(Duration::from_millis(ms)).await;
    }

    /// Polls the state of an accepted job until it is over; notifies `over` of its first final
    /// state.
    async fn follow(&self, drawn: &DrawnJob, over: oneshot::Sender<()>) {
        let (no, begin) = (JobNo(drawn.no), Instant::now());
        let lasts = drawn.job.steps.iter().any(|s| s.lasts);
        let again = drawn.resubmit.then(|| self.draw(|r| Duration::from_millis(r.u64(500..6_000))));
        let (mut again, mut wave) = (again, self.wave.load(Ordering::Relaxed));
        let (mut cancelled, mut state, mut over) = (false, None, Some(over));
        loop {
            let calm = self.calm.load(Ordering::Relaxed);
            let latest = self.wave.load(Ordering::Relaxed);
            let in_wave = std::mem::replace(&mut wave, latest) != latest && self.draw(|r| r.bool());
            let due = drawn.cancel.is_some_and(|c| begin.elapsed() >= c);
            if !cancelled && (due || in_wave || (calm && lasts)) {
                cancelled = true;
                self.set_waiting(no, "its cancel".into());
                self.cancel(drawn).await;
            }
            if again.is_some_and(|a| begin.elapsed() >= a) {
                again = None;
                self.send("POST", drawn, jobs::job(&drawn.job)).await;
            }
            state = self.query_state(drawn, self.target()).await.or(state);
            if state.is_some_and(JobState::is_final) {
                let _ = over.take().map(|over| over.send(()));
            }
            let (queue, steps) = (drawn.queue, &drawn.job.steps);
            let last = state.map_or("nothing".into(), |s| s.to_string());
            self.set_waiting(
                no,
                format!("{queue}, cancelled: {cancelled}, told: {last}, {steps:?}"),
            );
            if let Some(state) = state.filter(|s| s.is_final() && again.is_none()) {
                return self.count(|c| match state {
                    JobState::Done => c.done += 1,
                    JobState::Failed => c.failed += 1,
                    _ => c.cancelled += 1,
                });
            }
            if self.stage.has_breach() {
                return;
            }
            self.pause(200, 1_200).await;
        }
    }

    /// Queries the state of a job further after a final one was reported.
    ///
    /// Members that aren't up to date report another state only for a moment. The draws come from a
    /// generator of the job's own, so that all others stay as they are without these queries.
    async fn query_later(&self, drawn: &DrawnJob, over: oneshot::Receiver<()>) {
        if over.await.is_err() {
            return;
        }
        let mut rng = fastrand::Rng::with_seed(drawn.no);
        for _ in 0..LATER_QUERIES {
            sleep(Duration::from_millis(rng.u64(LATER_PAUSE_MS))).await;
            if self.stage.has_breach() {
                return;
            }
            let targets = self.members.targets();
            self.query_state(drawn, targets[rng.usize(0..targets.len())]).await;
        }
    }

    /// Queries the state of a job at a member, and has the answer judged. Returns `None` if the
    /// answer has no state.
    async fn query_state(&self, drawn: &DrawnJob, to: SocketAddr) -> Option<JobState> {
        let (no, asked) = (JobNo(drawn.no), self.stage.now());
        match self.send_to(to, "GET", drawn, Bytes::new()).await? {
            (200, body) => {
                let told = jobs::state(&body);
                match told {
                    Some(told) => self.judge(|s| s.rules.check_reported(&s.world, no, told)),
                    None => {
                        self.stage.report_breach(format!("job {no}: a state that can't be read"));
                    }
                }
                told
            }
            (410, _) => {
                self.judge(|s| s.rules.check_unknown(asked, no));
                None
            }
            _ => None,
        }
    }

    /// Sends cancels of a job until a member confirms one.
    async fn cancel(&self, drawn: &DrawnJob) {
        let no = JobNo(drawn.no);
        self.stage.update(|s| s.rules.cancelling(no));
        while !self.stage.has_breach() {
            if let Some((200..=299 | 410, _)) = self.send("DELETE", drawn, Bytes::new()).await {
                return self.stage.update(|s| s.rules.cancelled(s.world.now, no));
            }
            self.pause(200, 700).await;
        }
    }

    /// The member that the balancer selects for a call.
    fn target(&self) -> SocketAddr {
        let targets = self.members.targets();
        targets[self.draw(|r| r.usize(0..targets.len()))]
    }

    /// Sends a call to a member that the balancer selects. Returns `None` if no answer arrives.
    async fn send(&self, method: &str, drawn: &DrawnJob, body: Bytes) -> Option<(u16, Bytes)> {
        self.send_to(self.target(), method, drawn, body).await
    }

    /// Sends a call to a member. Returns `None` if no answer arrives.
    async fn send_to(
        &self,
        to: SocketAddr,
        method: &str,
        drawn: &DrawnJob,
        body: Bytes,
    ) -> Option<(u16, Bytes)> {
        let key = self.stage.read(|s| s.key_of(JobNo(drawn.no)));
        self.call(to, method, drawn, body, key.as_deref()).await
    }

    /// Sends a call with an API key to some member. Returns the status of the answer, if one arrives.
    pub async fn send_with_key(&self, method: &str, drawn: &DrawnJob, key: &str) -> Option<u16> {
        let body = if method == "POST" { jobs::job(&drawn.job) } else { Bytes::new() };
        let targets = self.members.targets();
        let to = targets[drawn.no as usize % targets.len()];
        Some(self.call(to, method, drawn, body, Some(key)).await?.0)
    }

    async fn call(
        &self,
        to: SocketAddr,
        method: &str,
        drawn: &DrawnJob,
        body: Bytes,
        key: Option<&str>,
    ) -> Option<(u16, Bytes)> {
        let path = format!("/{}/{}", drawn.queue, JobNo(drawn.no));
        let ask = Request::builder()
            .method(method)
            .uri(uri(to, &path))
            .header("content-type", "application/json")
            .header(jobs::DEADLINE_HEADER, DEADLINE_MS.to_string());
        let ask = match key {
            Some(key) => ask.header("authorization", jobs::authorization(key)),
            None => ask,
        };
        let ask = ask.body(Full::new(body)).ok()?;
        self.count(|c| c.calls += 1);
        let asked = self.stage.now();
        match self.client.send(ask, Duration::from_millis(DEADLINE_MS) + ANSWER_SLACK).await {
            Ok((head, body)) => {
                let status = head.status.as_u16();
                if let Some(key) = key {
                    self.judge(|s| s.rules.check_key(key, status, asked, s.world.now));
                }
                Some((status, body))
            }
            Err(failure) => {
                self.count(|c| c.unanswered += 1);
                let undisturbed = || self.stage.read(|s| s.is_undisturbed_since(asked));
                if failure == Failure::Broken && undisturbed() {
                    let text = format!("{to} ended the connection of {method} {path} unanswered");
                    self.stage.report_breach(text);
                }
                None
            }
        }
    }
}
