//! A simulated VM, with the incarnations of its worker.

use {
    super::ms,
    dogwoodreach::{
        Time,
        ids::{PoolId, VmId, WorkerId},
        ports::VmState,
    },
    std::time::Duration,
};

/// Time that a move to another pool takes.
const MOVE: Duration = Duration::from_millis(1_500);
/// Name of the standby pool.
pub const SPARE: &str = "spare";

/// A simulated VM.
pub struct SimVm {
    pub id: VmId,
    /// Pool of the VM.
    pub pool: PoolId,
    /// Whether tasks run on it.
    pub busy: bool,
    /// Whether it can't move to another pool.
    pub immovable: bool,
    /// Its moves: time and target pool.
    pub moves: Vec<(Time, PoolId)>,
    /// Whether it is in the list of VMs.
    pub there: bool,
    pub state: VmState,
    /// Number of the worker's incarnation, from 1.
    pub life: u32,
    /// Time at which it is up again.
    pub until: Time,
    pub token: u64,
    /// The last order: time and token.
    pub last: Option<(Time, u64)>,
    /// Times at which its maintenance began.
    pub begun: Vec<Time>,
    /// Time until its tasks have left: after it is closed, and after it is forced.
    pub emptying_times: (Duration, Duration),
    /// Times since which its present incarnation is closed and forced.
    pub closed: (Option<Time>, Option<Time>),
    /// Whether the platform does not know it as part of the wave.
    pub foreign: bool,
}

impl SimVm {
    pub fn new(no: usize) -> Self {
        SimVm {
            id: VmId::from(&*format!("m{no}")),
            pool: "pool".into(),
            busy: true,
            immovable: false,
            moves: vec![],
            there: true,
            state: VmState::Up,
            life: 1,
            until: Time::ZERO,
            token: 0,
            last: None,
            begun: vec![],
            emptying_times: (ms(2_000), ms(600)),
            closed: (None, None),
            foreign: false,
        }
    }

    pub fn worker(&self) -> WorkerId {
        WorkerId::from(&*format!("{}-{}", self.id, self.life))
    }

    pub fn empty(&self, now: Time) -> bool {
        let over = |since: Option<Time>, time| since.is_some_and(|s| s + time <= now);
        over(self.closed.0, self.emptying_times.0) || over(self.closed.1, self.emptying_times.1)
    }

    /// Whether it is a standby VM that is off.
    pub fn off(&self) -> bool {
        self.pool.as_str() == SPARE && self.state == VmState::Down
    }

    /// Moves it to another pool; checks that no task is lost.
    pub fn go(&mut self, pool: PoolId, now: Time) {
        let clear = self.off() || (self.closed.0.is_some() && (!self.busy || self.empty(now)));
        assert!(clear, "at {now}: {} is moved but is not clear", self.id);
        self.moves.push((now, pool.clone()));
        self.pool = pool;
        self.down(VmState::Moving, now + MOVE);
    }

    /// Takes it down; it comes up with the next incarnation of its worker.
    pub fn down(&mut self, state: VmState, until: Time) {
        (self.state, self.until, self.closed) = (state, until, (None, None));
    }
}
