//! Tables of the division of the machine's memory, and of the connections that are closed.

use ConnectionPhase::{Busy, Idle, Receiving};
use cowslip_budget::{ConnectionAge, ConnectionPhase, MemoryPlan, connection_to_close};

struct PlanCase {
    memory_mb: Option<u64>,
    descriptors: u64,
    max_connections: u64,
    held_mb: u64,
    connections: usize,
}

const PLANS: &[PlanCase] = &[
    PlanCase {
        memory_mb: Some(120),
        descriptors: 3_075,
        max_connections: 4_096,
        held_mb: 43,
        connections: 329,
    },
    PlanCase {
        memory_mb: Some(260),
        descriptors: 4_100,
        max_connections: 4_096,
        held_mb: 113,
        connections: 863,
    },
    PlanCase {
        memory_mb: Some(512),
        descriptors: 3_075,
        max_connections: 4_096,
        held_mb: 239,
        connections: 1_281,
    },
    PlanCase {
        memory_mb: Some(512),
        descriptors: 10_250,
        max_connections: 100,
        held_mb: 239,
        connections: 100,
    },
    PlanCase {
        memory_mb: Some(16),
        descriptors: 1_024,
        max_connections: 4_096,
        held_mb: 4,
        connections: 32,
    },
    PlanCase {
        memory_mb: None,
        descriptors: 65_536,
        max_connections: 4_096,
        held_mb: 495,
        connections: 4_096,
    },
];

#[test]
fn memory_is_divided_between_bodies_and_connections() {
    for case in PLANS {
        let memory_bytes = case.memory_mb.map(|memory_mb| memory_mb * 1_000_000);
        let plan = MemoryPlan::new(memory_bytes, case.descriptors, case.max_connections);
        let found = (plan.held_bytes / 1_000_000, plan.connections);
        assert_eq!(found, (case.held_mb, case.connections), "{:?} MB", case.memory_mb);
    }
}

struct CloseCase {
    name: &'static str,
    /// Phase of each connection, its time and the time for which nothing is read, in milliseconds.
    connections: &'static [(ConnectionPhase, u64, u64)],
    closed: Option<usize>,
}

const CLOSED: &[CloseCase] = &[
    CloseCase {
        name: "the one that has been idle for longest",
        connections: &[(Idle, 5, 0), (Idle, 9, 0), (Receiving, 60_000, 0), (Busy, 60_000, 60_000)],
        closed: Some(1),
    },
    CloseCase {
        name: "a body that has paused",
        connections: &[(Receiving, 1_200, 0), (Receiving, 999, 0), (Busy, 60_000, 1_100)],
        closed: Some(0),
    },
    CloseCase {
        name: "a response that is not read",
        connections: &[(Busy, 60_000, 0), (Busy, 10, 1_000)],
        closed: Some(1),
    },
    CloseCase {
        name: "none that is in use",
        connections: &[(Busy, 60_000, 999), (Receiving, 999, 0)],
        closed: None,
    },
];

#[test]
fn connection_that_waits_for_longest_is_closed() {
    for CloseCase { name, connections, closed } in CLOSED {
        let ages = connections.iter().enumerate().map(|(index, (phase, phase_ms, unread_ms))| {
            let age = ConnectionAge { phase: *phase, phase_ms: *phase_ms, unread_ms: *unread_ms };
            (index, age)
        });
        assert_eq!(connection_to_close(ages), *closed, "{name}");
    }
}
