//! Injects the planned faults at their times and ends each after its duration.

use {
    crate::{
        link::Mode as LinkMode,
        soak::{
            callers::Callers,
            member::Members,
            serve::Serving,
            stage::{Stage, State},
        },
    },
    dogwoodreach::{ids::WorkerId, work::Queue},
    platform_standin::lists,
    standin::site::{
        plan::{Fault, Planned},
        store::Mode,
    },
    std::{
        mem,
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
        },
        time::{Duration, Instant},
    },
    tokio::{
        task::JoinSet,
        time::{sleep, sleep_until},
    },
};

/// Time between a worker's departure and the start of its replacement at the same address.
const REPLACE_DELAY: Duration = Duration::from_millis(700);
/// Time between two configurations of [`Fault::Storm`].
const STORM_INTERVAL: Duration = Duration::from_millis(60);

/// The parts of the soak that faults act on.
#[derive(Clone)]
pub struct Play {
    stage: Stage,
    members: Members,
    serving: Arc<Serving>,
    callers: Callers,
    skipped: Arc<AtomicU64>,
}

impl Play {
    /// Creates a player without active faults.
    pub fn new(stage: &Stage, members: &Members, serving: Serving, callers: &Callers) -> Self {
        Play {
            stage: stage.clone(),
            members: members.clone(),
            serving: Arc::new(serving),
            callers: callers.clone(),
            skipped: Arc::default(),
        }
    }

    /// Number of faults that were skipped because another fault controlled the same member.
    pub fn skipped(&self) -> u64 {
        self.skipped.load(Ordering::Relaxed)
    }

    /// Spawns a task for each fault. All faults are over at `end`.
    pub fn start(&self, faults: &[Planned], begin: Instant, end: Instant) -> JoinSet<()> {
        let mut all = JoinSet::new();
        for planned in faults.iter().copied() {
            let play = self.clone();
            all.spawn(async move {
                sleep_until((begin + planned.at).into()).await;
                log::info!("{planned}");
                let unplanned = usize::from(!planned.fault.is_planned());
                play.stage.update(|s| {
                    s.faults += 1;
                    s.unplanned += unplanned;
                });
                play.inject(planned.fault, (begin + planned.at + planned.lasts).min(end)).await;
                play.stage.update(|s| {
                    s.faults -= 1;
                    s.unplanned -= unplanned;
                });
            });
        }
        all
    }

    fn update_state(&self, f: impl FnOnce(&mut State)) {
        self.stage.update(f);
    }

    /// Counts the begin or end of a fault if it delays orders.
    fn count_delay(&self, fault: Fault, on: bool) {
        if fault.delays_orders() {
            self.update_state(|s| if on { s.delaying += 1 } else { s.delaying -= 1 });
        }
    }

    async fn inject(&self, fault: Fault, until: Instant) {
        let owner = || self.stage.read(State::owner);
        let fault = match fault {
            Fault::KillOwner => Fault::Kill(owner()),
            Fault::FreezeOwner => Fault::Freeze(owner()),
            Fault::CutOwner => Fault::CutStore(owner()),
            Fault::OwnerApart => Fault::CutWorkers(owner()),
            Fault::RefusingOwner => Fault::Refusing(owner()),
            Fault::SilentOwner => Fault::SilentStore(owner()),
            Fault::ConfigKill(m) => {
                self.configure();
                Fault::Kill(m)
            }
            other => other,
        };
        let disturbed = fault.disturbed(self.serving.stores.len());
        self.update_state(|s| s.disturbed.extend(&disturbed));
        self.carry_out(fault, until).await;
        self.update_state(|s| {
            disturbed.iter().for_each(|p| {
                s.disturbed.iter().position(|d| d == p).map(|at| s.disturbed.swap_remove(at));
            });
        });
    }

    async fn carry_out(&self, fault: Fault, until: Instant) {
        match fault {
            Fault::Kill(m) | Fault::Freeze(m) | Fault::Stop(m) | Fault::Replace(m) => {
                if self.members.acquire(m) {
                    self.disturb_process(fault, m, until).await;
                    self.members.release(m);
                } else {
                    self.skipped.fetch_add(1, Ordering::Relaxed);
                }
            }
            Fault::KillAll => {
                let members = self.take_all();
                members.iter().for_each(|m| self.members.kill(*m));
                sleep_until(until.into()).await;
                members.iter().for_each(|m| self.start_member(*m));
                members.iter().for_each(|m| self.members.release(*m));
            }
            Fault::FreezeAll => {
                let members = self.take_all();
                self.count_delay(fault, true);
                members.iter().for_each(|m| self.members.signal(*m, "STOP"));
                sleep_until(until.into()).await;
                members.iter().for_each(|m| self.members.signal(*m, "CONT"));
                self.count_delay(fault, false);
                members.iter().for_each(|m| self.members.release(*m));
            }
            Fault::Reload(m) => self.members.signal(m, "HUP"),
            Fault::Storm(count) => {
                for _ in 0..count {
                    self.configure();
                    sleep(STORM_INTERVAL).await;
                }
            }
            Fault::Config => self.configure(),
            Fault::Cancels => self.callers.start_cancel_wave(),
            Fault::Burst(count) => self.callers.burst(count),
            Fault::Crash(w) => self.crash(w, until).await,
            Fault::Leave(w) => self.leave(w, until).await,
            _ => {
                self.count_delay(fault, true);
                self.toggle(fault, true);
                sleep_until(until.into()).await;
                self.toggle(fault, false);
                self.count_delay(fault, false);
            }
        }
    }

    /// Acquires all members that no other fault controls.
    fn take_all(&self) -> Vec<usize> {
        (0..self.serving.stores.len()).filter(|m| self.members.acquire(*m)).collect()
    }

    /// Kills, stops, suspends or replaces a member's process.
    async fn disturb_process(&self, fault: Fault, m: usize, until: Instant) {
        match fault {
            Fault::Freeze(_) => {
                self.count_delay(fault, true);
                self.members.signal(m, "STOP");
                sleep_until(until.into()).await;
                self.members.signal(m, "CONT");
                return self.count_delay(fault, false);
            }
            Fault::Stop(_) => self.members.stop(m, &self.stage).await,
            _ => self.members.kill(m),
        }
        if matches!(fault, Fault::Replace(_))
            && let Err(e) = self.members.change_addresses(m).await
        {
            self.stage.report_breach(format!("member {m} can't get other addresses: {e}"));
        }
        sleep_until(until.into()).await;
        self.start_member(m);
    }

    fn start_member(&self, m: usize) {
        if let Err(e) = self.members.start_process(m) {
            self.stage.report_breach(format!("member {m} doesn't begin: {e}"));
        }
    }

    /// Begins or ends a fault that is a mode of a link or of the simulated environment.
    fn toggle(&self, fault: Fault, on: bool) {
        let cut = if on { LinkMode::Cut } else { LinkMode::Open };
        let silent = if on { LinkMode::Silent } else { LinkMode::Open };
        match fault {
            Fault::CutStore(m) => self.members.link_store(m, cut),
            Fault::SilentStore(m) => self.members.link_store(m, silent),
            Fault::CutCallers(m) => self.members.link_callers(m, cut),
            Fault::SilentCallers(m) => self.members.link_callers(m, silent),
            Fault::Silent(w) => self.serving.links[w].set(silent),
            _ => self.update_state(|s| s.toggle(fault, on)),
        }
    }

    /// Writes the next version of the configuration, which gives each queue a little more slack and
    /// may exchange the pools of two queues.
    fn configure(&self) {
        self.update_state(|s| {
            let moves = s.moves;
            s.reconfigure(|queues, _| {
                queues.queues.iter_mut().for_each(|q| q.slack += Duration::from_millis(1));
                if moves {
                    exchange_pools(&mut queues.queues);
                }
            });
        });
    }

    async fn crash(&self, w: usize, until: Instant) {
        if !self.stage.read(|s| s.world.workers[w].up) {
            return;
        }
        self.serving.links[w].set(LinkMode::Cut);
        self.update_state(|s| s.world.crash(w));
        sleep_until(until.into()).await;
        self.serving.links[w].set(LinkMode::Open);
        self.update_state(|s| s.world.workers[w].up = true);
    }

    /// A worker announces that it leaves and departs after its notice; another one replaces it at
    /// its address.
    async fn leave(&self, w: usize, until: Instant) {
        let id = self.stage.update(|s| {
            s.world.workers[w].leaving_since = Some(s.world.now);
            s.world.id(w)
        });
        sleep_until(until.into()).await;
        if self.stage.read(|s| s.world.id(w)) != id {
            return;
        }
        let gone: WorkerId = id;
        self.serving.links[w].set(LinkMode::Cut);
        self.update_state(|s| {
            s.world.crash(w);
            s.store.remove(&lists::worker_key(&gone));
        });
        sleep(REPLACE_DELAY).await;
        self.serving.links[w].set(LinkMode::Open);
        self.update_state(|s| s.world.workers[w].up = true);
    }
}

impl State {
    /// Begins or ends a fault of the store, the advice service or a worker.
    fn toggle(&mut self, fault: Fault, on: bool) {
        match fault {
            Fault::CutWorkers(m) => switch(&mut self.cut_off, m, on),
            Fault::Refusing(m) => switch(&mut self.refusing, m, on),
            Fault::RefusingAll(n) => (0..n).for_each(|m| switch(&mut self.refusing, m, on)),
            Fault::Down => self.store.health = if on { Mode::Down } else { Mode::Up },
            Fault::Losing(n) => self.store.health = if on { Mode::Losing(n) } else { Mode::Up },
            Fault::Slow(ms) => self.store_delay = Duration::from_millis(if on { ms } else { 0 }),
            Fault::Forget => self.store.trim_history(0),
            Fault::CutOff(w) => self.world.workers[w].cut_off = on,
            Fault::Grey(w) => self.world.workers[w].failing = on,
            Fault::Unwell(w) => self.world.workers[w].unwell = on,
            Fault::Hung(w) => self.world.workers[w].unresponsive = on,
            Fault::Lame(w) => self.world.workers[w].speed = if on { 0.2 } else { 1.0 },
            Fault::Late(n) => self.late_orders = if on { n } else { 0 },
            Fault::NoAdvice => self.world.advice.down = on,
            _ => {}
        }
    }
}

fn switch(set: &mut std::collections::BTreeSet<usize>, member: usize, on: bool) {
    if on {
        set.insert(member);
    } else {
        set.remove(&member);
    }
}

/// Exchanges the pools of the queues `plain` and `open`.
fn exchange_pools(queues: &mut [Queue]) {
    let at = |name: &str| queues.iter().position(|q| &*q.name == name);
    if let (Some(a), Some(b)) = (at("plain"), at("open")) {
        let pool = queues[a].pool.clone();
        queues[a].pool = mem::replace(&mut queues[b].pool, pool);
    }
}
