//! What the clients of a member may make it hold, derived from the limits of its VM.

use std::time::Duration;

/// The most connections of callers, whatever the VM has.
const MAX_CALLER_CONNECTIONS: usize = 2_500;
/// Bounds of the size of a connection's buffers in the system, in bytes.
const BUFFER_BYTES: [usize; 2] = [8 * 1024, 64 * 1024];
/// The part of the VM's memory that requests may hold, and the part that the buffers of connections
/// may take; the system grants them twice the size that it is asked for.
const MEMORY_PART: usize = 16;

/// What the clients of a member may make it hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientLimits {
    /// The most connections of callers.
    pub caller_connections: usize,
    /// The most connections of other members.
    pub peer_connections: usize,
    /// The most connections for readiness checks, and for the metrics.
    pub page_connections: usize,
    /// The most bytes that the requests of all callers hold, and those of all members.
    pub held_bytes: usize,
    /// The largest head of a caller's request, in bytes.
    pub head_bytes: usize,
    /// The size of a caller's receive and send buffers in the system, in bytes.
    pub buffer_bytes: usize,
    /// The size of the receive buffer of a member's connection in the system, in bytes.
    pub peer_buffer_bytes: usize,
    /// The most bytes that are read and dropped after a refusal.
    pub drain_bytes: usize,
    /// How long a refused client is read from.
    pub drain_time: Duration,
    /// How long a caller may take for a head, for a body, and to read an answer.
    pub read_time: Duration,
}

impl ClientLimits {
    /// The limits for a VM with this memory in bytes and this many descriptors.
    ///
    /// With those that are being closed or refused, clients use about half of the descriptors at most. The
    /// rest is for the connections to the store, to the workers and to other members.
    pub fn of_vm(memory: usize, descriptors: usize) -> Self {
        let caller_connections = MAX_CALLER_CONNECTIONS.min(descriptors / 4).max(1);
        let [least, most] = BUFFER_BYTES;
        ClientLimits {
            caller_connections,
            peer_connections: (descriptors * 3 / 16).max(1),
            page_connections: (descriptors / 128).max(4),
            held_bytes: (memory / MEMORY_PART).max(1),
            head_bytes: 32 * 1024,
            buffer_bytes: (memory / MEMORY_PART / caller_connections).clamp(least, most),
            peer_buffer_bytes: 32 * 1024,
            drain_bytes: 1 << 20,
            drain_time: Duration::from_secs(1),
            read_time: Duration::from_secs(20),
        }
    }
}
