//! What follows from a change of a bucket's record: calls of the KV, answers, starts and stops.
//!
//! Written by [`claims`](crate::claims) and [`attempts`](crate::attempts), given out by
//! [`bucket`](crate::bucket).

use crate::{
    Time,
    commit::Call,
    ids::RequestId,
    messages::{ClaimReply, TaskRow},
};

/// What the owner of a bucket is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Order {
    /// Call the KV, and give back the answer, or the lack of one.
    Kv(Call),
    /// Answer a request's ask for a claim.
    Reply {
        /// The request that asked.
        request: RequestId,
        /// The answer.
        reply: ClaimReply,
    },
    /// Tell an entry member that the end which it sent is committed, so that it stops sending.
    Kept {
        /// The number that came with the end.
        call: u64,
    },
    /// Tell the rack's owner to start an attempt.
    Start {
        /// The attempt.
        row: TaskRow,
        /// The time after which it must not take effect any more.
        until: Time,
    },
    /// Tell the rack's owner to stop an attempt.
    Stop {
        /// The attempt.
        row: TaskRow,
    },
    /// Give the bucket up: another member owns it.
    Lost,
}
