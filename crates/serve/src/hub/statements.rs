//! What upstreams state about themselves in their responses.

use cowslip_fleet::ResponseOrigin;

use super::{Hub, UpstreamRefusal, UpstreamStatement};
use crate::events::{Event, event};
use crate::platform::Platform;

/// Longest time for which an upstream gets no requests at its own wish.
const MAX_HOLD_MS: u64 = 3_600_000;

impl<P> Hub<P>
where
    P: Platform,
{
    /// Applies what a response states about its upstream.
    pub(super) fn on_stated(&mut self, statement: &UpstreamStatement) {
        let UpstreamStatement { upstream, connection_age, is_leaving, hold_ms, refusal } =
            statement;
        let id = &upstream.id;
        let now_ms = self.clock.now_ms();
        let age_ms = u64::try_from(connection_age.as_millis()).unwrap_or(u64::MAX);
        let origin = ResponseOrigin {
            known_started_at_ms: upstream.started_at_ms,
            connected_at_ms: self.cluster_ms().saturating_sub(age_ms),
            address: upstream.address,
        };
        if *is_leaving {
            let changes = self.registry.on_leaving(id, origin);
            self.on_upstream_changes(&changes, "response");
        }
        if let Some(hold_ms) = *hold_ms {
            event!(
                Event::UpstreamHeld,
                upstream = id,
                known_started_at_ms = origin.known_started_at_ms,
                connected_at_ms = origin.connected_at_ms,
                hold_ms = hold_ms
            );
            self.registry.on_hold(id, now_ms + hold_ms.min(MAX_HOLD_MS));
        }
        match refusal {
            Some(UpstreamRefusal::NotRun) => self.registry.on_refusal(now_ms, id, origin),
            Some(UpstreamRefusal::Misdirected) => {
                self.registry.on_refusal(now_ms, id, origin);
                self.registry.on_role_mismatch(now_ms, id, upstream.role, origin);
            }
            None => {}
        }
    }
}
