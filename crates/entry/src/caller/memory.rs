//! The memory that is held for callers: its size, its metrics and its log.

use std::cell::Cell;

use cowslip_budget::{BudgetLimits, MemoryPlan};
use cowslip_net::{Memory, MemoryEvent};
use cowslip_proto::LimitSettings;

use super::context::HandlerContext;
use crate::events::Event;
use crate::metrics::Counter;

const BYTES_PER_MB: u64 = 1_000_000;
/// Least time between two log lines about callers that were closed; the metrics count all of them.
const LINE_INTERVAL_MS: u64 = 100;

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
pub(super) fn start_memory(context: &HandlerContext, plan: MemoryPlan) -> Memory {
    let (clock, metrics) = (context.clock, context.metrics.clone());
    let instance_name = context.instance_name.clone();
    let next_line_ms = Cell::new(0);
    let limits = BudgetLimits { held_bytes: plan.held_bytes };
    Memory::start(limits, clock, move |memory_event| {
        let (address, cause) = match memory_event {
            MemoryEvent::Held { bytes } => return metrics.set_held_bytes(bytes),
            MemoryEvent::Refused { .. } => return metrics.increment(Counter::MemoryRefused),
            MemoryEvent::Evicted { party, .. } => (party.address, "memory"),
            MemoryEvent::Closed { address, cause } => (address, cause.name()),
        };
        metrics.increment(Counter::CallerClosed);
        if clock.now_ms() >= next_line_ms.get() {
            next_line_ms.set(clock.now_ms() + LINE_INTERVAL_MS);
            Event::CallerClosed.emit(&instance_name, format_args!("{address}: {cause}"));
        }
    })
}
