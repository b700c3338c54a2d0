//! How the memory of the machine is divided.

/// Memory of the process apart from what it holds for callers, in bytes.
const PROCESS_BYTES: u64 = 32 * 1_024 * 1_024;
/// Memory of a connection: the buffers of its two ends, a small body and a part of a response.
const CONNECTION_BYTES: u64 = 128 * 1_024;
/// Memory of the machine where the settings do not state it, in bytes.
const DEFAULT_MEMORY_BYTES: u64 = 1_024_000_000;
/// Least part of the memory for callers that remains where the process takes more than planned.
const MIN_CALLER_BYTES: u64 = 8 * 1_024 * 1_024;

/// Descriptors for all else than callers and upstreams: files, listeners, the platform and peers.
const OTHER_DESCRIPTORS: u64 = 512;

/// Limits that follow from the memory and the descriptors of the machine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct MemoryPlan {
    /// Most bytes of bodies and responses.
    pub held_bytes: u64,
    /// Most connections of callers.
    pub connections: usize,
}

impl MemoryPlan {
    /// Divides the memory beside that of the process between bodies and connections. A connection
    /// of a caller may need another one to an upstream, so it counts as two descriptors. Memory that
    /// is not stated bounds only the bodies.
    #[must_use]
    pub fn new(memory_bytes: Option<u64>, descriptors: u64, max_connections: u64) -> Self {
        let stated_bytes = memory_bytes.unwrap_or(DEFAULT_MEMORY_BYTES);
        let callers_bytes = stated_bytes.saturating_sub(PROCESS_BYTES).max(MIN_CALLER_BYTES);
        let held_bytes = callers_bytes / 2;
        let connections = memory_bytes
            .map_or(max_connections, |_| max_connections.min(held_bytes / CONNECTION_BYTES))
            .min(descriptors.saturating_sub(OTHER_DESCRIPTORS) / 2);
        Self { held_bytes, connections: usize::try_from(connections.max(1)).unwrap_or(usize::MAX) }
    }
}
