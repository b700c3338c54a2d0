//! Context that all request handlers share.

use cowslip_clock::Clock;
use cowslip_net::Client;

use crate::metrics::Metrics;
use crate::tasks::HubHandle;

/// Handles to the hub, the upstream client, the clock and the metrics.
#[derive(Clone, Debug)]
pub(super) struct Shared<P> {
    pub(super) platform: P,
    pub(super) hub: HubHandle,
    pub(super) client: Client,
    pub(super) clock: Clock,
    pub(super) metrics: Metrics,
}
