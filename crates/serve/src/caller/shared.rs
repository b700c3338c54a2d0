//! Context that all request handlers share.

use cowslip_clock::Clock;
use cowslip_net::Client;
use cowslip_task::ServiceEnd;

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
}
