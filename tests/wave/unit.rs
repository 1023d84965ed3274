//! A VM, over the lives of its worker.

use {
    super::ms,
    dogwoodreach::{
        Time,
        ids::{PoolId, VmId, WorkerId},
        ports::VmState,
    },
    std::time::Duration,
};

/// How long a VM is on its way to another pool.
const MOVE: Duration = Duration::from_millis(1_500);
/// The pool that stands by.
pub const SPARE: &str = "spare";

/// A VM.
pub struct Unit {
    pub id: VmId,
    /// Its pool.
    pub pool: PoolId,
    /// Whether anything runs there.
    pub busy: bool,
    /// Whether it can't go to another pool.
    pub bound: bool,
    /// Its moves: when, and to which pool.
    pub moves: Vec<(Time, PoolId)>,
    /// Whether it is in the list.
    pub there: bool,
    pub state: VmState,
    /// Counts its lives.
    pub life: u32,
    /// When it is up again.
    pub until: Time,
    pub token: u64,
    /// The last order: when, and by which token.
    pub last: Option<(Time, u64)>,
    /// When its upkeeps began.
    pub begun: Vec<Time>,
    /// How long its tasks take to leave; how long where they aren't waited for.
    pub empties: (Duration, Duration),
    /// Since when its present life is closed, and since when forced.
    pub closed: (Option<Time>, Option<Time>),
    /// Whether the platform doesn't know it as one of the wave.
    pub foreign: bool,
}

impl Unit {
    pub fn new(no: usize) -> Self {
        Unit {
            id: VmId::from(&*format!("m{no}")),
            pool: "pool".into(),
            busy: true,
            bound: false,
            moves: vec![],
            there: true,
            state: VmState::Up,
            life: 1,
            until: Time::ZERO,
            token: 0,
            last: None,
            begun: vec![],
            empties: (ms(2_000), ms(600)),
            closed: (None, None),
            foreign: false,
        }
    }

    pub fn worker(&self) -> WorkerId {
        WorkerId::from(&*format!("{}-{}", self.id, self.life))
    }

    pub fn empty(&self, now: Time) -> bool {
        let over = |since: Option<Time>, time| since.is_some_and(|s| s + time <= now);
        over(self.closed.0, self.empties.0) || over(self.closed.1, self.empties.1)
    }

    /// Whether it stands by.
    pub fn off(&self) -> bool {
        self.pool.as_str() == SPARE && self.state == VmState::Down
    }

    /// It goes to another pool; what runs there would be lost.
    pub fn go(&mut self, pool: PoolId, now: Time) {
        let clear = self.off() || (self.closed.0.is_some() && (!self.busy || self.empty(now)));
        assert!(clear, "at {now}: {} is moved, and isn't clear", self.id);
        self.moves.push((now, pool.clone()));
        self.pool = pool;
        self.down(VmState::Moving, now + MOVE);
    }

    /// It goes down and comes back as another life.
    pub fn down(&mut self, state: VmState, until: Time) {
        (self.state, self.until, self.closed) = (state, until, (None, None));
    }
}
