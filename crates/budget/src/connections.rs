//! Which connection to close when a new one exceeds the limit.

/// Time for which a body may pause, or a response stay unread, before its connection may be closed
/// for another caller, in milliseconds.
const PAUSE_MS: u64 = 1_000;

/// What a connection is waiting for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ConnectionPhase {
    /// For the head of the next request.
    Idle,
    /// For the body of a request.
    Receiving,
    /// For an upstream, or for the caller to read a response.
    Busy,
}

/// A connection and how long it has been waiting.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ConnectionAge {
    /// What it waits for.
    pub phase: ConnectionPhase,
    /// Time since the phase began, in milliseconds.
    pub phase_ms: u64,
    /// Time for which the caller has read nothing of what is ready for it, in milliseconds.
    pub unread_ms: u64,
}

/// Returns the connection to close for a new one: the one that has been idle for longest, or else
/// the one whose body or whose reading has paused for longest. `None` if all of them are in use.
#[must_use]
pub fn connection_to_close<K, I>(connections: I) -> Option<K>
where
    I: IntoIterator<Item = (K, ConnectionAge)>,
{
    connections
        .into_iter()
        .filter_map(|(key, age)| Some((rank(age)?, key)))
        .max_by_key(|(rank, _)| *rank)
        .map(|(_, key)| key)
}

/// Returns the order in which connections are closed, the highest first.
fn rank(age: ConnectionAge) -> Option<(u8, u64)> {
    match age.phase {
        ConnectionPhase::Idle => Some((1, age.phase_ms)),
        ConnectionPhase::Receiving if age.phase_ms >= PAUSE_MS => Some((0, age.phase_ms)),
        ConnectionPhase::Busy if age.unread_ms >= PAUSE_MS => Some((0, age.unread_ms)),
        ConnectionPhase::Receiving | ConnectionPhase::Busy => None,
    }
}
