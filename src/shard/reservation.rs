//! Room that is reserved for gangs until they start.

use crate::{shard::workers::WorkerNo, time::Time, units::Size};

/// Room that is reserved for a gang until it starts.
#[derive(Clone, Debug)]
pub struct GangReservation {
    /// The workers, with the number of members for each.
    pub members: Vec<(WorkerNo, u32)>,
    /// The resources that one member needs.
    pub size: Size,
    /// The priority of the gang's queue.
    pub priority: u8,
    /// When the reservation was made.
    pub since: Time,
    /// When all of the room is expected to be free.
    pub ready_at: Time,
    /// When the reservation was last checked.
    pub checked_at: Time,
}
