//! Ends of streams that a crash of their upstream may have caused.

use std::sync::Arc;
use std::time::Duration;

use cowslip_fleet::{MAX_CLOCK_ERROR_MS, Upstream};
use cowslip_name::Name;
use cowslip_poison::{Accused, LostUpstream, SettledEnd, UnprovenEnd};

use super::Hub;
use super::quarantine::format_segments;
use crate::events::{Event, event};
use crate::platform::Platform;

impl<P> Hub<P>
where
    P: Platform,
{
    pub(super) fn on_stream_end_unproven(&mut self, id: u64, upstream: &Upstream) {
        self.observe_time(id);
        let Some(request) = self.in_flight.get(&id) else { return };
        let Ok(name) = Name::new(&upstream.id) else { return };
        let end = UnprovenEnd {
            at_ms: self.clock.now_ms(),
            attempt_id: request.attempt_id.clone(),
            request: request.request_digest,
            segments: request.shared_segments.clone(),
            upstream: LostUpstream { name, started_at_ms: upstream.started_at_ms },
        };
        let settled = self.unproven_ends.on_end(end);
        self.on_settled_ends(settled);
    }

    /// Records that an upstream responds on a connection of this age.
    pub(super) fn on_accepted(&mut self, upstream: &Arc<str>, connection_age: Option<Duration>) {
        let Some(age) = connection_age else { return };
        let age_ms = u64::try_from(age.as_millis()).unwrap_or(u64::MAX);
        let accepted_ms = self.clock.now_ms().saturating_sub(age_ms);
        self.unproven_ends.on_accepted(upstream, accepted_ms);
    }

    /// Settles the ends at an upstream that was replaced by its next incarnation.
    pub(super) fn settle_ends_of_predecessor(&mut self, id: &str) {
        let Some(next) = self.registry.get(id) else { return };
        let since_start_ms = self.cluster_ms().saturating_sub(next.started_at_ms);
        let started_ms = self.clock.now_ms().saturating_sub(since_start_ms);
        let settled =
            self.unproven_ends.on_restarted(id, started_ms.saturating_sub(MAX_CLOCK_ERROR_MS));
        self.on_settled_ends(settled);
    }

    pub(super) fn on_settled_ends<I>(&mut self, settled: I)
    where
        I: IntoIterator<Item = SettledEnd>,
    {
        let mut has_settled = false;
        for SettledEnd { end, is_lost } in settled {
            has_settled = true;
            let accused = Accused { request: end.request, segments: &end.segments };
            if !is_lost {
                self.quarantine.on_success(end.at_ms, &accused);
                continue;
            }
            event!(
                Event::RequestSuspected,
                request = end.attempt_id,
                upstream = end.upstream.name,
                phase = "ended",
                segments = format_segments(&end.segments)
            );
            self.quarantine.on_upstream_lost(end.at_ms, &accused, &end.upstream);
        }
        if has_settled {
            self.log_refusals();
        }
    }
}
