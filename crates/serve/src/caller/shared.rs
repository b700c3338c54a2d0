//! What the handlers of requests share.

use cowslip_clock::Clock;
use cowslip_net::Client;

use crate::metrics::Metrics;
use crate::tasks::HubHandle;

/// The ways out of a handler, and what it counts.
#[derive(Clone, Debug)]
pub(super) struct Shared<E> {
    pub(super) platform: E,
    pub(super) hub: HubHandle,
    pub(super) client: Client,
    pub(super) clock: Clock,
    pub(super) metrics: Metrics,
}
