//! The memory that is held for callers: its size, its metrics and its log.

use std::cell::Cell;

use cowslip_budget::{BudgetLimits, MemoryPlan, Party};
use cowslip_clock::Clock;
use cowslip_net::{Memory, MemoryEvent};
use cowslip_proto::LimitSettings;

use crate::events::{Event, event};
use crate::metrics::Metrics;

const BYTES_PER_MB: u64 = 1_000_000;
/// Most log lines a second about callers that were closed; the metrics count all of them.
const MAX_LINES_PER_S: u32 = 10;

/// Divides the memory and the descriptors that the settings name.
pub(super) fn memory_plan(limits: &LimitSettings) -> MemoryPlan {
    let memory_mb = (limits.memory_mb > 0).then_some(u64::from(limits.memory_mb));
    MemoryPlan::new(
        memory_mb.map(|memory_mb| memory_mb * BYTES_PER_MB),
        u64::from(limits.max_descriptors),
        u64::from(limits.max_connections),
    )
}

/// Starts the task that owns the memory.
pub(super) fn start_memory(plan: MemoryPlan, clock: Clock, metrics: Metrics) -> Memory {
    let lines = LineLimit { clock, second: Cell::new((0, 0)) };
    let limits = BudgetLimits { held_bytes: plan.held_bytes };
    Memory::start(limits, clock, move |memory_event| match memory_event {
        MemoryEvent::Held { bytes } => {
            metrics.held_bytes.set(i64::try_from(bytes).unwrap_or(i64::MAX));
        }
        MemoryEvent::Refused { .. } => metrics.memory_refusals.inc(),
        MemoryEvent::Evicted { party, bytes } => {
            metrics.closed_callers.with_label_values(&["memory"]).inc();
            if lines.has_room() {
                let Party { address, workspace } = party;
                let workspace = workspace.as_deref().unwrap_or("");
                event!(
                    Event::CallerClosed,
                    caller = address,
                    workspace = workspace,
                    cause = "memory",
                    held_bytes = bytes
                );
            }
        }
        MemoryEvent::Closed { address, cause } => {
            metrics.closed_callers.with_label_values(&[cause.name()]).inc();
            if lines.has_room() {
                event!(Event::CallerClosed, caller = address, cause = cause.name());
            }
        }
    })
}

/// Bounds the rate of log lines.
struct LineLimit {
    clock: Clock,
    /// The current second and the lines written in it.
    second: Cell<(u64, u32)>,
}

impl LineLimit {
    fn has_room(&self) -> bool {
        let now_s = self.clock.now_ms() / 1_000;
        let (second, lines) = self.second.get();
        let lines = if second == now_s { lines } else { 0 };
        self.second.set((now_s, lines + 1));
        lines < MAX_LINES_PER_S
    }
}
