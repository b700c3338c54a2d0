//! Requests that may crash upstreams: their quarantine, and what instances exchange about them.

use std::collections::BTreeSet;
use std::sync::Arc;

use cowslip_codec::{
    encode_hex, from_json, suspect_from_proto, suspect_key_from_proto, suspect_key_to_proto,
    suspect_to_proto,
};
use cowslip_fleet::{Standing, Upstream};
use cowslip_poison::{Accused, Refusal, RequestDigest, SegmentId, SuspectKey, SuspectLimits};
use cowslip_proto as proto;

use super::{Hub, UnplacedRequest};
use crate::events::{Event, event};
use crate::platform::Platform;

/// Shortest time between the first and the last loss that quarantine a segment.
const MIN_LOSS_SPAN_MS: u64 = 500; // a failing host or link breaks all of its connections within this time
/// Time from the newest loss to the end of a quarantine; one further loss starts it again.
const QUARANTINE_MS: u64 = 600_000;
/// Time from the newest loss to the first probe of a quarantine, longer than an outage of all
/// upstreams usually takes.
const PROBE_AFTER_MS: u64 = 30_000;
/// Most requests and prompt segments that are remembered as suspects.
const MAX_SUSPECTS: usize = 4_096;
/// Most changes of suspects in one message; the others follow in the next ones.
const MAX_CHANGES_PER_MESSAGE: usize = 256;
/// Most suspects in the store.
const MAX_STORED_SUSPECTS: usize = 512;

/// Most workspaces whose malformed prompt segments are logged once.
const MAX_LOGGED_WORKSPACES: usize = 4_096;

/// Key of the quarantine among the entries of instances. No instance has this name.
pub(crate) const QUARANTINE_KEY: &str = "quarantine/suspects";

/// Returns the limits with a quarantine after `losses` lost upstreams.
pub(super) fn limits(losses: usize) -> SuspectLimits {
    SuspectLimits {
        losses,
        min_span_ms: MIN_LOSS_SPAN_MS,
        hold_ms: QUARANTINE_MS,
        probe_after_ms: PROBE_AFTER_MS,
        capacity: MAX_SUSPECTS,
    }
}

/// Formats segment ids in hex as callers send them, separated by commas.
pub(super) fn format_segments(segments: &[SegmentId]) -> String {
    let ids: Vec<String> = segments.iter().map(|id| format!("{id:x}")).collect();
    ids.join(",")
}

impl<P> Hub<P>
where
    P: Platform,
{
    /// Returns whether upstreams were lost too often with this request or with its shared segments.
    pub(super) fn is_quarantined(&self, accused: &Accused<'_>) -> bool {
        self.quarantine.refusal(self.clock.now_ms(), accused).is_some()
    }

    /// Counts malformed prompt segments, and logs the first ones of each workspace.
    pub(super) fn count_malformed_segments(&mut self, unplaced: &UnplacedRequest) {
        let count = unplaced.malformed_segments;
        if count == 0 {
            return;
        }
        self.metrics.malformed_segments.inc_by(count as u64);
        let workspace = unplaced.authorized.workspace.clone().unwrap_or_else(|| Arc::from(""));
        if self.logged_malformed.len() >= MAX_LOGGED_WORKSPACES {
            self.logged_malformed.clear();
        }
        if self.logged_malformed.insert(workspace.clone()) {
            event!(
                Event::SegmentsMalformed,
                request = unplaced.attempt_id,
                workspace = workspace,
                count = count
            );
        }
    }

    /// Returns how an upstream stands with the request that has this digest.
    pub(super) fn standing(
        &self,
        now_ms: u64,
        digest: RequestDigest,
        upstream: &Upstream,
    ) -> Standing {
        let was_lost = self.quarantine.lost_upstreams(digest).any(|lost| {
            lost.name.as_str() == &*upstream.id && lost.started_at_ms == upstream.started_at_ms
        });
        let is_backing_off = self.health.is_backing_off(now_ms, &upstream.id)
            || self.registry.is_refusing(now_ms, upstream);
        Standing::of(is_backing_off, was_lost)
    }

    /// Returns whether a quarantined request may be sent as a probe. Only the lease holder probes.
    pub(super) fn try_probe(&mut self, attempt_id: &str, accused: &Accused<'_>) -> bool {
        let now_ms = self.clock.now_ms();
        let is_probe = self.fence().is_some() && self.quarantine.try_probe(now_ms, accused);
        if is_probe {
            let segments = format_segments(accused.segments);
            event!(Event::QuarantineProbed, request = attempt_id, segments = segments);
        }
        is_probe
    }

    /// Logs what is quarantined since the last call and what no longer is.
    pub(super) fn log_refusals(&mut self) {
        let refusals = self.quarantine.refusals();
        if *refusals == self.logged_refusals {
            return;
        }
        for refusal in refusals.difference(&self.logged_refusals) {
            match refusal {
                Refusal::Request(digest) => {
                    event!(Event::RequestQuarantined, digest = encode_hex(digest));
                }
                Refusal::Segments(segments) => {
                    event!(Event::SegmentsQuarantined, segments = format_segments(segments));
                }
            }
        }
        for refusal in self.logged_refusals.difference(refusals) {
            match refusal {
                Refusal::Request(digest) => {
                    event!(Event::RequestReleased, digest = encode_hex(digest));
                }
                Refusal::Segments(segments) => {
                    event!(Event::SegmentsReleased, segments = format_segments(segments));
                }
            }
        }
        let is_request = |refusal: &&Refusal| matches!(refusal, Refusal::Request(_));
        let request_count = refusals.iter().filter(is_request).count();
        let segments_count = refusals.len() - request_count;
        self.metrics.quarantined_requests.set(i64::try_from(request_count).unwrap_or(i64::MAX));
        self.metrics.quarantined_segments.set(i64::try_from(segments_count).unwrap_or(i64::MAX));
        self.logged_refusals = refusals.clone();
    }

    /// Returns the changes of suspects that a peer lacks, and the version up to which they are
    /// complete.
    pub(super) fn suspects_since(&self, version: u64) -> (proto::SuspectChanges, u64) {
        let now_ms = self.clock.now_ms();
        let changes = self.quarantine.changes_since(now_ms, version, MAX_CHANGES_PER_MESSAGE);
        let cleared = changes
            .cleared
            .into_iter()
            .map(|(key, age_ms)| proto::ClearedSuspect { key: suspect_key_to_proto(key), age_ms });
        let message = proto::SuspectChanges {
            suspects: changes.reports.into_iter().map(suspect_to_proto).collect(),
            cleared: cleared.collect(),
        };
        (message, changes.version)
    }

    /// Takes the suspects of the quarantine if they differ from those in the store. Only instances
    /// that read the store write them.
    pub(super) fn take_quarantine(&mut self) -> Option<proto::QuarantineEntry> {
        let now_ms = self.clock.now_ms();
        let reports = self.quarantine.refusal_reports(now_ms);
        let keys = reports.iter().map(|report| report.key).collect();
        if self.stored_suspects.as_ref() == Some(&keys)
            || !self.feed_topology.must_read_store(now_ms)
            || !self.reads_store(now_ms)
        {
            return None;
        }
        self.stored_suspects = Some(keys);
        Some(proto::QuarantineEntry {
            suspects: reports.into_iter().take(MAX_STORED_SUSPECTS).map(suspect_to_proto).collect(),
            written_at_ms: self.cluster_ms(),
        })
    }

    /// Applies the quarantine that an instance wrote to the store.
    pub(super) fn on_stored_quarantine(&mut self, value: &[u8]) {
        let entry: proto::QuarantineEntry = match from_json(value) {
            Ok(entry) => entry,
            Err(error) => {
                event!(Event::RecordMalformed, topic = "Instances", why = error);
                return;
            }
        };
        let entry_age_ms = self.cluster_ms().saturating_sub(entry.written_at_ms);
        let keys = self.apply_suspects(&entry.suspects, entry_age_ms);
        self.stored_suspects = Some(keys);
    }

    pub(super) fn on_suspects(&mut self, changes: &proto::SuspectChanges) {
        let now_ms = self.clock.now_ms();
        for cleared in &changes.cleared {
            match suspect_key_from_proto(&cleared.key) {
                Ok(key) => self.quarantine.on_success_of(now_ms, key, cleared.age_ms),
                Err(error) => event!(Event::PeerMessageMalformed, why = error),
            }
        }
        self.apply_suspects(&changes.suspects, 0);
    }

    /// Applies the suspects that are well-formed, and returns their keys.
    fn apply_suspects(
        &mut self,
        suspects: &[proto::Suspect],
        extra_age_ms: u64,
    ) -> BTreeSet<SuspectKey> {
        let mut reports = Vec::with_capacity(suspects.len());
        for suspect in suspects {
            match suspect_from_proto(suspect, extra_age_ms) {
                Ok(report) => reports.push(report),
                Err(error) => event!(Event::PeerMessageMalformed, why = error),
            }
        }
        let keys = reports.iter().map(|report| report.key).collect();
        self.quarantine.on_reports(self.clock.now_ms(), reports);
        self.log_refusals();
        keys
    }
}
