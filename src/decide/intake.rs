//! Bounds what the clients of a listener make a process hold: connections, and the bytes of their
//! requests.
//!
//! Answers the load of many clients that each stay within the limits of one request and never finish
//! it. Without a common bound they would use up the memory and the descriptors of the VM; with one
//! that refuses newcomers they would keep everybody else out until their time-outs pass. So the
//! connection that has occupied most for longest makes room: an ordinary request is complete long
//! before its turn comes. A request that has been read to its end is never given up.

use {
    crate::time::Time,
    derive_more::Display,
    std::{
        cmp::Reverse,
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
};

/// Minimum time for which a connection may wait before it makes room for a new one. A request
/// arrives one round trip after its connection.
const MIN_WAIT: Duration = Duration::from_millis(100);
/// The part of the limit on bytes that is freed at once when it is reached, so that the connections
/// are not searched for each further byte.
const FREED_PART: usize = 8;

/// The number of a connection at its listener.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionId(u64);

/// Why a connection was not admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Full;

/// What became of a request that was to hold more.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Grown {
    /// The connections that must be closed for it; that may be its own, if it isn't complete.
    pub closed: Vec<ConnectionId>,
    /// Whether nothing was added.
    pub refused: bool,
}

/// What a connection does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// It is idle, or its request is not complete, since this time.
    Reading(Time),
    /// Its request is complete and not yet answered.
    Serving,
    /// It was told to close.
    Closing,
}

struct Connection {
    stage: Stage,
    /// Bytes that its request holds.
    held: usize,
    /// Whether it has had an answer.
    answered: bool,
}

/// The connections of a listener and what they hold.
pub struct Intake {
    max_connections: usize,
    max_closing: usize,
    max_held: usize,
    held: usize,
    closing: usize,
    last: u64,
    connections: BTreeMap<ConnectionId, Connection>,
    /// The connections that read or are idle: those without an answer first, then by their times.
    by_wait: BTreeSet<(bool, Time, ConnectionId)>,
}

impl Intake {
    /// Admits up to `max_connections` besides `max_closing` that are being closed, and up to
    /// `max_held` bytes.
    pub fn new(max_connections: usize, max_closing: usize, max_held: usize) -> Self {
        Intake {
            max_connections,
            max_closing,
            max_held,
            held: 0,
            closing: 0,
            last: 0,
            connections: BTreeMap::new(),
            by_wait: BTreeSet::new(),
        }
    }

    /// Admits a connection; returns its id, and the one that must be closed for it.
    ///
    /// # Errors
    ///
    /// [`Full`] if there is no room and every other connection is being served, has only just come, or
    /// is being closed already.
    pub fn open(&mut self, now: Time) -> Result<(ConnectionId, Option<ConnectionId>), Full> {
        let mut closed = None;
        // Those beyond `max_closing` that make room for bytes take places, too.
        let closing = self.closing.min(self.max_closing);
        if self.connections.len() - closing >= self.max_connections {
            let longest = self.by_wait.first().filter(|(_, since, _)| now - *since >= MIN_WAIT);
            let Some((.., id)) = longest.copied() else { return Err(Full) };
            if self.closing >= self.max_closing {
                return Err(Full);
            }
            self.start_closing(id);
            closed = Some(id);
        }
        self.last += 1;
        let id = ConnectionId(self.last);
        let stage = Stage::Reading(now);
        self.connections.insert(id, Connection { stage, held: 0, answered: false });
        self.by_wait.insert((false, now, id));
        Ok((id, closed))
    }

    /// Adds bytes to what the request of a connection holds, unless the request is complete and there is
    /// no room for them beside other complete requests.
    ///
    /// A request that is larger than the limit is let in as long as it is the only one.
    pub fn grow(&mut self, id: ConnectionId, bytes: usize, now: Time) -> Grown {
        let Some(connection) = self.connections.get_mut(&id) else { return Grown::default() };
        if connection.stage == Stage::Closing {
            return Grown::default();
        }
        let begins = connection.held == 0 && connection.stage != Stage::Serving;
        connection.held += bytes;
        self.held += bytes;
        if begins {
            // A client that has been idle for long has only now begun its request.
            self.set_stage(id, Stage::Reading(now), false);
        }
        if self.fits(id) {
            return Grown::default();
        }
        let closed = self.free(now);
        let refused = self.connections[&id].stage == Stage::Serving && !self.fits(id);
        if refused {
            self.release(id, bytes);
        }
        Grown { closed, refused }
    }

    /// Returns whether all requests are within the limit, or this one is the only one.
    fn fits(&self, id: ConnectionId) -> bool {
        self.held <= self.max_held || self.held == self.connections[&id].held
    }

    /// Closes connections whose requests aren't complete, those first that have held most for longest,
    /// until a part of the limit is free.
    fn free(&mut self, now: Time) -> Vec<ConnectionId> {
        let cost = |(id, c): (&ConnectionId, &Connection)| match c.stage {
            Stage::Reading(since) if c.held > 0 => {
                let age = (now - since).as_micros().max(1);
                Some((Reverse(age * c.held as u128), *id))
            }
            _ => None,
        };
        let mut all: Vec<_> = self.connections.iter().filter_map(cost).collect();
        all.sort_unstable();
        let target = self.max_held - self.max_held / FREED_PART;
        let mut closed = Vec::new();
        for (_, id) in all {
            if self.held <= target {
                break;
            }
            self.start_closing(id);
            closed.push(id);
        }
        closed
    }

    /// Records that the request of a connection is complete.
    pub fn start_serving(&mut self, id: ConnectionId) {
        self.set_stage(id, Stage::Serving, false);
    }

    /// Records that the request of a connection is answered and holds nothing any more.
    pub fn finish(&mut self, id: ConnectionId, now: Time) {
        self.release(id, usize::MAX);
        self.set_stage(id, Stage::Reading(now), true);
    }

    /// Takes bytes from what the request of a connection holds.
    pub fn release(&mut self, id: ConnectionId, bytes: usize) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        let bytes = bytes.min(connection.held);
        connection.held -= bytes;
        self.held -= bytes;
    }

    /// Forgets a connection that is closed.
    pub fn close(&mut self, id: ConnectionId) {
        self.release(id, usize::MAX);
        self.leave_stage(id);
        self.connections.remove(&id);
    }

    /// The number of connections that are open, those that are being closed among them.
    pub fn connection_count(&self) -> usize {
        self.connections.len()
    }

    /// The bytes that all requests hold.
    pub fn held(&self) -> usize {
        self.held
    }

    fn start_closing(&mut self, id: ConnectionId) {
        self.release(id, usize::MAX);
        self.set_stage(id, Stage::Closing, false);
    }

    /// Changes the stage of a connection that isn't being closed.
    fn set_stage(&mut self, id: ConnectionId, stage: Stage, answered: bool) {
        if self.connections.get(&id).is_none_or(|c| c.stage == Stage::Closing) {
            return;
        }
        self.leave_stage(id);
        let Some(connection) = self.connections.get_mut(&id) else { return };
        connection.stage = stage;
        connection.answered |= answered;
        match stage {
            Stage::Reading(since) => drop(self.by_wait.insert((connection.answered, since, id))),
            Stage::Closing => self.closing += 1,
            Stage::Serving => {}
        }
    }

    fn leave_stage(&mut self, id: ConnectionId) {
        match self.connections.get(&id).map(|c| (c.stage, c.answered)) {
            Some((Stage::Reading(since), answered)) => {
                self.by_wait.remove(&(answered, since, id));
            }
            Some((Stage::Closing, _)) => self.closing -= 1,
            Some((Stage::Serving, _)) | None => {}
        }
    }
}
