//! Ends of streams that do not prove whether the upstream had completed them or was lost.

use std::collections::BTreeMap;
use std::sync::Arc;

use cowslip_name::Name;

use crate::{LostUpstream, RequestDigest, SegmentId};

/// Time after which a stream counts as completed if its upstream is not found lost meanwhile: one that
/// restarts is known by its new entry within about two seconds.
const SETTLE_MS: u64 = 3_000;
/// Most ends that are kept; later ones count as completed at once.
const MAX_ENDS: usize = 4_096;

/// End of a stream whose connection ended with it, between two events.
#[derive(Clone, Debug)]
pub struct UnprovenEnd {
    /// Time of the end.
    pub at_ms: u64,
    /// Attempt id of the request, for logs.
    pub attempt_id: Arc<str>,
    /// Digest of the request.
    pub request: RequestDigest,
    /// Prompt segments that other requests may share.
    pub segments: Arc<[SegmentId]>,
    /// Incarnation of the upstream, as its entry was known.
    pub upstream: LostUpstream,
}

/// How an end was settled.
#[derive(Clone, Debug)]
pub struct SettledEnd {
    /// The end.
    pub end: UnprovenEnd,
    /// Whether the upstream was lost with the stream.
    pub is_lost: bool,
}

#[derive(Debug)]
struct OpenEnd {
    end: UnprovenEnd,
    /// Time at which the upstream first accepted a connection afterwards.
    accepted_ms: Option<u64>,
}

impl OpenEnd {
    fn settle(self, is_lost: bool) -> SettledEnd {
        SettledEnd { end: self.end, is_lost }
    }
}

/// Ends that are not settled yet.
///
/// The end of a connection looks the same whether the upstream has completed a stream or crashed. So
/// what the upstream does next decides: one that had accepted a connection since was alive, and one
/// that refuses connections or has restarted was lost.
#[derive(Debug, Default)]
pub struct UnprovenEnds {
    by_upstream: BTreeMap<Name, Vec<OpenEnd>>,
    count: usize,
}

impl UnprovenEnds {
    /// Records an end; returns it as settled if there is no room.
    pub fn on_end(&mut self, end: UnprovenEnd) -> Option<SettledEnd> {
        let open = OpenEnd { end, accepted_ms: None };
        if self.count >= MAX_ENDS {
            return Some(open.settle(false));
        }
        self.count += 1;
        self.by_upstream.entry(open.end.upstream.name.clone()).or_default().push(open);
        None
    }

    /// Records that the upstream has accepted a connection and responded on it.
    pub fn on_accepted(&mut self, upstream: &str, accepted_ms: u64) {
        let Some(ends) = self.by_upstream.get_mut(upstream) else { return };
        for open in ends.iter_mut().filter(|open| open.end.at_ms < accepted_ms) {
            let first_ms = open.accepted_ms.unwrap_or(accepted_ms);
            open.accepted_ms = Some(first_ms.min(accepted_ms));
        }
    }

    /// Settles the ends at an upstream that refuses connections.
    pub fn on_refused(&mut self, upstream: &str) -> Vec<SettledEnd> {
        self.settle(upstream, |open| open.accepted_ms.is_none())
    }

    /// Settles the ends at an upstream of which a later incarnation has started at `started_ms`.
    pub fn on_restarted(&mut self, upstream: &str, started_ms: u64) -> Vec<SettledEnd> {
        self.settle(upstream, |open| open.accepted_ms.is_none_or(|at_ms| at_ms >= started_ms))
    }

    fn settle<F>(&mut self, upstream: &str, is_lost: F) -> Vec<SettledEnd>
    where
        F: Fn(&OpenEnd) -> bool,
    {
        let ends = self.by_upstream.remove(upstream).unwrap_or_default();
        self.count -= ends.len();
        ends.into_iter()
            .map(|open| {
                let is_lost = is_lost(&open);
                open.settle(is_lost)
            })
            .collect()
    }

    /// Settles the ends whose upstreams were not found lost in time.
    pub fn on_tick(&mut self, now_ms: u64) -> Vec<SettledEnd> {
        let mut settled = Vec::new();
        self.by_upstream.retain(|_, ends| {
            let is_due = |open: &mut OpenEnd| open.end.at_ms + SETTLE_MS <= now_ms;
            settled.extend(ends.extract_if(.., is_due).map(|open| open.settle(false)));
            !ends.is_empty()
        });
        self.count -= settled.len();
        settled
    }
}
