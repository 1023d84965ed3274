//! Room that is reserved for gangs until they start.

use crate::{shard::workers::WorkerNo, time::Time, units::Size};

/// Room that is reserved for a gang until it starts.
#[derive(Clone, Debug)]
pub struct GangReservation {
    /// The workers with reserved room, each with the number of gang members that it has room for.
    pub members: Vec<(WorkerNo, u32)>,
    /// The resources that one member needs.
    pub size: Size,
    /// The priority of the gang's queue.
    pub priority: u8,
    /// The time at which the reservation was made.
    pub since: Time,
    /// The time at which all of the reserved room is expected to be free.
    pub ready_at: Time,
    /// The time at which the reservation was last checked.
    pub checked_at: Time,
}
