//! Tests maintenance waves over an owner with real jobs: lasting tasks, tasks with checkpoints and
//! tasks without, while owners and wave holders are replaced.

#[path = "yard/mod.rs"]
mod yard;

use {
    dogwoodreach::{
        Time,
        ids::{VmId, WaveNo},
        ports::{Vm, VmCall, VmLimits, VmReply, VmState, Wave},
        shard::{
            event::Event as ShardEvent,
            record::{CLOSING_KEY, Closing, decode},
        },
        upkeep::{LEDGER_KEY, Upkeep, UpkeepEvent, UpkeepRequest, UpkeepSetup},
        work::{JobNo, Step},
    },
    std::{collections::BTreeSet, sync::Arc, time::Duration},
    yard::{ShardSim, job, step},
};

/// Time that a VM is down for its maintenance.
const DOWN: Duration = Duration::from_secs(2);
/// Time between two ticks, in milliseconds.
const TICK_MS: u64 = 20;
/// Task count of the lasting step, which may miss one.
const LASTING_TASKS: u32 = 4;

/// A shard simulation whose workers run on the VMs of a wave, and the holder of the wave.
struct Site {
    yard: ShardSim,
    upkeep: Upkeep,
    token: u64,
    wave: Wave,
    begun: BTreeSet<usize>,
    down: BTreeSet<usize>,
    max_down: usize,
    /// One in this many VM orders is carried out without an answer; 0 means none.
    unanswered_one_in: u32,
    rng: fastrand::Rng,
    sent_closing: Closing,
}

fn holder(token: u64) -> Upkeep {
    let fleet = VmLimits {
        order_rate: 60.0,
        upkeep_time: DOWN,
        move_time: Duration::from_millis(1_500),
        holder_gap: Duration::from_secs(3),
    };
    let outcome = |no, over: bool| (format!("told/{no}").into(), over.to_string().into());
    Upkeep::new(UpkeepSetup {
        holder: "node".into(),
        token,
        limits: fleet,
        unix_ms: 1_700_000_000_000,
        encode_state: outcome,
    })
}

impl Site {
    /// Creates twelve workers with jobs of all kinds; those of the open pool form the wave.
    fn new(seed: u64, seconds: u64, cap: u32) -> Self {
        let mut yard = ShardSim::new(seed, 12);
        let lasting = Step { lasts: true, may_miss: Some(1), ..step(LASTING_TASKS, 1_000) };
        yard.submit(1, "open", job([lasting]));
        yard.submit(
            2,
            "open",
            job([Step { lasts: true, may_miss: Some(1), apart: 1, ..step(3, 1_000) }]),
        );
        yard.submit(3, "open", job([Step { saves: true, ..step(6, 8_000) }]));
        yard.submit(4, "open", job([step(4, 4_000), Step { after: [0].into(), ..step(4, 3_000) }]));
        yard.run_until(6_000);
        let pool = yard.world.workers.iter().enumerate().filter(|(_, w)| &*w.pool.0 == "open");
        let vms: Vec<VmId> = pool.map(|(i, _)| VmId::from(&*i.to_string())).collect();
        let wave = Wave {
            number: WaveNo(1),
            vms,
            time_limit: Duration::from_secs(seconds),
            max_down: cap,
        };
        let mut site = Site {
            yard,
            upkeep: holder(1),
            token: 1,
            wave,
            begun: BTreeSet::new(),
            down: BTreeSet::new(),
            max_down: 0,
            unanswered_one_in: 0,
            rng: fastrand::Rng::with_seed(seed),
            sent_closing: Closing::default(),
        };
        site.send_waves();
        site
    }

    fn send_waves(&mut self) {
        let wave = (1, self.wave.clone());
        self.deliver(UpkeepEvent::Waves(vec![wave], !self.closing().turns.is_empty()));
    }

    fn closing(&self) -> Closing {
        let item = self.yard.store.get(CLOSING_KEY).and_then(|i| i.value);
        item.and_then(|v| decode(&v)).unwrap_or_default()
    }

    fn completed(&self) -> bool {
        self.yard.store.get("told/1").and_then(|i| i.value).is_some_and(|v| &v[..] == b"true")
    }

    /// Ends the holder and the owner, and starts successors.
    fn replace_holder(&mut self) {
        self.yard.kill_owner();
        self.run(3_500);
        self.yard.take_over();
        self.token += 1;
        self.upkeep = holder(self.token);
        self.sent_closing = Closing::default();
        self.send_waves();
    }

    fn deliver(&mut self, event: UpkeepEvent) {
        let now = self.yard.now;
        for order in self.upkeep.handle_event(event, now) {
            let reply = match order {
                UpkeepRequest::ReadLedger => {
                    UpkeepEvent::LedgerRead(Ok(self.yard.store.get(LEDGER_KEY)))
                }
                UpkeepRequest::Write(number, txn) => {
                    UpkeepEvent::Written(number, Ok(self.yard.store.txn(&txn)))
                }
                UpkeepRequest::ListVms => UpkeepEvent::VmsListed(now, Ok(self.vms())),
                UpkeepRequest::AskOwners(workers) => {
                    let owner = self.yard.owner();
                    let gone = owner.ended;
                    let held = owner.shard.occupancy(&workers);
                    UpkeepEvent::OwnersReported(now, if gone { vec![] } else { held }, vec![])
                }
                UpkeepRequest::OrderVm(call) => {
                    let reply = Ok(self.order(&call));
                    let lost =
                        self.unanswered_one_in > 0 && self.rng.u32(0..self.unanswered_one_in) == 0;
                    let unknown = Err(dogwoodreach::ports::Fault::Unknown);
                    UpkeepEvent::Answered(call, if lost { unknown } else { reply })
                }
            };
            self.deliver(reply);
        }
    }

    fn vms(&self) -> Vec<Vm> {
        let one = |i: usize| {
            let up = self.yard.world.workers[i].up;
            let state = match (up, self.down.contains(&i)) {
                (true, _) => VmState::Up,
                (false, true) => VmState::Upkeep,
                (false, false) => VmState::Down,
            };
            let worker = up.then(|| self.yard.world.id(i));
            Vm { id: VmId::from(&*i.to_string()), pool: "open".into(), state, worker }
        };
        (0..self.yard.world.workers.len()).map(one).collect()
    }

    fn order(&mut self, call: &VmCall) -> VmReply {
        let at: usize = call.vm.as_str().parse().expect("a number");
        let (seed, now) = (self.yard.rules.seed, self.yard.now);
        if self.begun.contains(&at) {
            return VmReply::Begun;
        }
        if !self.yard.world.workers[at].up {
            return VmReply::Busy;
        }
        let runs: Vec<_> =
            self.yard.world.workers[at].runs.iter().map(|r| r.start.task.to_string()).collect();
        assert!(runs.is_empty(), "seed {seed}: at {now} {runs:?} run at {at}");
        assert!(
            self.down.len() < self.wave.max_down as usize,
            "seed {seed}: at {now} {:?}",
            self.down
        );
        self.begun.insert(at);
        self.down.insert(at);
        self.max_down = self.max_down.max(self.down.len());
        self.yard.crash_worker(at, DOWN);
        VmReply::Begun
    }

    /// Number of working tasks of a lasting job.
    fn working_tasks(&self, no: u64) -> usize {
        let up = self.yard.world.workers.iter().filter(|w| w.up);
        let runs = up.flat_map(|w| &w.runs).filter(|r| r.start.task.step.job == JobNo(no));
        let begun = self.yard.world.bounds.serving_delay / 2;
        runs.filter(|r| r.stops_at.is_none() && self.yard.now >= r.started_at + begun).count()
    }

    fn run(&mut self, ms: u64) {
        let over = self.yard.now.0 / 1_000 + ms;
        while self.yard.now.0 / 1_000 < over {
            self.yard.run_until(self.yard.now.0 / 1_000 + TICK_MS);
            let workers = &self.yard.world.workers;
            self.down.retain(|i| !workers[*i].up);
            let closing = self.closing();
            if closing != self.sent_closing {
                self.sent_closing = closing.clone();
                let now = self.yard.now;
                self.yard.owner().shard.apply(ShardEvent::Closing(Arc::new(closing)), now);
            }
            self.deliver(UpkeepEvent::Tick);
            let (seed, now) = (self.yard.rules.seed, self.yard.now);
            for (no, count) in [(1, LASTING_TASKS as usize), (2, 3)] {
                let working = self.working_tasks(no);
                assert!(
                    working + 1 >= count,
                    "seed {seed}: at {now} {working} of job {no} are working"
                );
            }
        }
    }

    fn until_completed(&mut self, ms: u64) -> Time {
        let over = self.yard.now + Duration::from_millis(ms);
        while !self.completed() {
            let (seed, now) = (self.yard.rules.seed, self.yard.now);
            assert!(now < over, "seed {seed}: {:?} of {:?}", self.begun, self.wave.vms);
            self.run(100);
        }
        assert_eq!(self.begun.len(), self.wave.vms.len());
        self.yard.now
    }
}

#[test]
fn a_wave_over_real_work_takes_no_more_of_a_step_than_it_may_miss() {
    // Six VMs with lasting and long tasks have their maintenance, two at a time. Tasks on a VM that
    // goes down are lost, and a step that misses two tasks is absent for its users.
    for seed in 1..=12 {
        let mut site = Site::new(seed, 60, 2);
        site.until_completed(60_000);
        assert_eq!(site.max_down, 2, "seed {seed}");
        site.yard.run_until_settled(120_000);
    }
}

#[test]
fn a_wave_goes_on_when_owner_and_holder_die_and_orders_go_unanswered() {
    // As above, but the member that owns the shard and drives the wave dies twice during the wave,
    // and every third of its VM orders is carried out without an answer.
    for seed in 1..=12 {
        let mut site = Site::new(seed, 60, 2);
        site.unanswered_one_in = 3;
        for _ in 0..2 {
            let ms = site.rng.u64(500..9_000);
            site.run(ms);
            site.replace_holder();
        }
        site.until_completed(120_000);
        site.yard.run_until_settled(240_000);
    }
}

#[test]
fn a_wave_that_is_late_still_stops_no_task_too_many() {
    for seed in 1..=12 {
        let mut site = Site::new(seed, 5, 1);
        site.until_completed(120_000);
        assert_eq!(site.max_down, 1);
        site.yard.run_until_settled(240_000);
    }
}
