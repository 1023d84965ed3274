//! Room that is kept for gangs until they start.

use crate::{shard::workers::WorkerNo, time::Time, units::Size};

/// Room that is kept for a gang until it starts.
#[derive(Clone, Debug)]
pub struct Reserve {
    /// How many members each worker gets.
    pub each: Vec<(WorkerNo, u32)>,
    /// What a member takes.
    pub size: Size,
    /// The priority of its queue.
    pub priority: u8,
    /// When it was made.
    pub since: Time,
    /// When all of it is expected to be there.
    pub at: Time,
    /// When it was last seen to.
    pub tended: Time,
}
