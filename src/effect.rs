//! Orders that follow from a change of a bucket's record: calls of the key-value store, replies,
//! starts and stops.
//!
//! [`claims`](crate::claims) and [`attempts`](crate::attempts) create them;
//! [`bucket`](crate::bucket) hands them out.

use crate::{
    Time,
    commit::Call,
    ids::RequestId,
    messages::{ClaimReply, TaskRow},
};

/// What the owner of a bucket must do.
#[derive(Clone, Debug, PartialEq)]
pub enum Order {
    /// Call the key-value store and pass its reply back, or report that there was none.
    Kv(Call),
    /// Reply to a request for a claim.
    Reply {
        /// The request for which the claim was made.
        request: RequestId,
        /// The answer.
        reply: ClaimReply,
    },
    /// Tell an entry member that the claim's end it sent is committed, so that it stops sending it.
    EndCommitted {
        /// The number that came with the claim's end.
        call: u64,
    },
    /// Tell the rack's owner to start an attempt.
    Start {
        /// The attempt.
        row: TaskRow,
        /// The time after which the start must not take effect.
        until: Time,
    },
    /// Tell the rack's owner to stop an attempt.
    Stop {
        /// The attempt.
        row: TaskRow,
    },
    /// Give up the bucket, as another member owns it.
    Lost,
}
