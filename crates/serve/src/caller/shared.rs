//! Context that all request handlers share.

use std::cell::Cell;
use std::rc::Rc;

use cowslip_clock::Clock;
use cowslip_net::Client;
use cowslip_task::ServiceEnd;

use super::assignment_guard::AssignmentGuard;
use crate::metrics::Metrics;
use crate::tasks::HubHandle;

/// Handles to the hub, the upstream client, the clock and the metrics, and the end of service.
#[derive(Clone, Debug)]
pub(super) struct Shared<P> {
    pub(super) platform: P,
    pub(super) hub: HubHandle,
    pub(super) client: Client,
    pub(super) clock: Clock,
    pub(super) metrics: Metrics,
    pub(super) service_end: ServiceEnd,
    /// Number of assignments so far.
    assignments: Rc<Cell<u64>>,
}

impl<P> Shared<P> {
    pub(super) fn new(
        platform: P,
        hub: HubHandle,
        client: Client,
        clock: Clock,
        metrics: Metrics,
        service_end: ServiceEnd,
    ) -> Self {
        Self { platform, hub, client, clock, metrics, service_end, assignments: Rc::default() }
    }

    /// Reserves the id of an assignment.
    pub(super) fn reserve_assignment(&self) -> AssignmentGuard {
        let id = self.assignments.get() + 1;
        self.assignments.set(id);
        AssignmentGuard::new(self.hub.clone(), id)
    }
}
