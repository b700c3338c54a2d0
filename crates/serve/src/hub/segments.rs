//! Prompt segments that may crash upstreams: their quarantine, and what peers exchange about them.

use std::collections::BTreeSet;

use cowslip_codec::from_json;
use cowslip_poison::{LostUpstream, RequestDigest, SegmentId, SegmentLimits, SegmentReport};
use cowslip_proto as proto;

use super::Hub;
use crate::events::{Event, event};
use crate::platform::Platform;

/// Shortest time between the first and the last loss that quarantine a segment.
const MIN_LOSS_SPAN_MS: u64 = 500; // a failing host or link breaks all of its connections within this time
/// Time from the newest loss to the end of a quarantine; one further loss starts it again.
const QUARANTINE_MS: u64 = 600_000;
/// Time from the newest loss to the first probe with a quarantined segment, longer than an outage of
/// all engines usually takes.
const PROBE_AFTER_MS: u64 = 30_000;
/// Most prompt segments that are remembered as suspects.
const MAX_SUSPECT_SEGMENTS: usize = 1_024;
/// Most suspect segments, and cleared ones, in one message.
const MAX_SEGMENTS_PER_MESSAGE: usize = 256;

/// Key of the quarantined segments among the entries of instances. No instance has this name.
pub(crate) const QUARANTINE_KEY: &str = "quarantine/segments";

/// Returns the limits with a quarantine after `losses` lost upstreams.
pub(super) fn limits(losses: usize) -> SegmentLimits {
    SegmentLimits {
        losses,
        min_span_ms: MIN_LOSS_SPAN_MS,
        hold_ms: QUARANTINE_MS,
        probe_after_ms: PROBE_AFTER_MS,
        capacity: MAX_SUSPECT_SEGMENTS,
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
    /// Returns whether upstreams were lost too often with this request or with one of its shared
    /// segments.
    pub(super) fn is_quarantined(&self, digest: &RequestDigest, segments: &[SegmentId]) -> bool {
        let now_ms = self.clock.now_ms();
        self.suspects.is_quarantined(digest)
            || self.segment_suspects.quarantined_segment(now_ms, segments).is_some()
    }

    /// Returns whether a quarantined request may be sent as a probe of its segments. Only the lease
    /// holder probes.
    pub(super) fn try_probe(
        &mut self,
        attempt_id: &str,
        digest: &RequestDigest,
        segments: &[SegmentId],
    ) -> bool {
        let now_ms = self.clock.now_ms();
        let is_probe = self.fence().is_some()
            && !self.suspects.is_quarantined(digest)
            && self.segment_suspects.try_probe(now_ms, segments);
        if is_probe {
            let segments = format_segments(segments);
            event!(Event::SegmentProbed, request = attempt_id, segments = segments);
        }
        is_probe
    }

    /// Logs which segments are quarantined since the last call and which no longer are.
    pub(super) fn update_quarantined_segments(&mut self) {
        let quarantined: BTreeSet<SegmentId> = self.segment_suspects.quarantined().collect();
        if quarantined == self.quarantined_segments {
            return;
        }
        for segment in quarantined.difference(&self.quarantined_segments) {
            event!(Event::SegmentQuarantined, segment = format_segments(&[*segment]));
        }
        for segment in self.quarantined_segments.difference(&quarantined) {
            event!(Event::SegmentReleased, segment = format_segments(&[*segment]));
        }
        let count = i64::try_from(quarantined.len()).unwrap_or(i64::MAX);
        self.metrics.quarantined_segments.set(count);
        self.quarantined_segments = quarantined;
    }

    pub(super) fn segments_since(&self, now_ms: u64, version: u64) -> proto::SegmentChanges {
        let suspects = self.segment_suspects.changed_since(now_ms, version);
        let cleared = self.segment_suspects.cleared_since(now_ms, version);
        proto::SegmentChanges {
            suspects: suspects.into_iter().take(MAX_SEGMENTS_PER_MESSAGE).map(to_proto).collect(),
            cleared: cleared
                .take(MAX_SEGMENTS_PER_MESSAGE)
                .map(|(segment, age_ms)| proto::ClearedSegment { segment, age_ms })
                .collect(),
        }
    }

    /// Takes the quarantined segments if they differ from those in the store. Only instances that read
    /// the store write them.
    pub(super) fn take_quarantine(&mut self) -> Option<proto::QuarantineEntry> {
        let now_ms = self.clock.now_ms();
        let is_stored = self.stored_quarantine.as_ref() == Some(&self.quarantined_segments);
        if is_stored || !self.feed_topology.must_read_store(now_ms) {
            return None;
        }
        self.stored_quarantine = Some(self.quarantined_segments.clone());
        let reports = self.segment_suspects.changed_since(now_ms, 0);
        let quarantined = reports
            .into_iter()
            .filter(|report| self.quarantined_segments.contains(&report.segment));
        Some(proto::QuarantineEntry {
            segments: quarantined.take(MAX_SEGMENTS_PER_MESSAGE).map(to_proto).collect(),
            written_at_ms: self.cluster_ms(),
        })
    }

    /// Applies the quarantined segments that an instance wrote to the store.
    pub(super) fn on_stored_quarantine(&mut self, value: &[u8]) {
        let entry: proto::QuarantineEntry = match from_json(value) {
            Ok(entry) => entry,
            Err(error) => {
                event!(Event::RecordMalformed, topic = "Instances", why = error);
                return;
            }
        };
        let now_ms = self.clock.now_ms();
        let entry_age_ms = self.cluster_ms().saturating_sub(entry.written_at_ms);
        self.stored_quarantine =
            Some(entry.segments.iter().map(|suspect| suspect.segment).collect());
        let reports = entry.segments.iter().map(from_proto).map(|mut report| {
            for (_, age_ms) in &mut report.losses {
                *age_ms = age_ms.saturating_add(entry_age_ms);
            }
            report
        });
        self.segment_suspects.on_reports(now_ms, reports);
        self.update_quarantined_segments();
    }

    pub(super) fn on_segments(&mut self, now_ms: u64, changes: &proto::SegmentChanges) {
        for cleared in &changes.cleared {
            self.segment_suspects.on_success(now_ms, &[cleared.segment], cleared.age_ms);
        }
        self.segment_suspects.on_reports(now_ms, changes.suspects.iter().map(from_proto));
        self.update_quarantined_segments();
    }
}

fn to_proto(report: SegmentReport) -> proto::SuspectSegment {
    let losses = report.losses.into_iter().map(|(upstream, age_ms)| proto::SegmentLoss {
        upstream: upstream.name,
        started_at_ms: upstream.started_at_ms,
        age_ms,
    });
    proto::SuspectSegment {
        segment: report.segment,
        position: report.position,
        losses: losses.collect(),
    }
}

fn from_proto(suspect: &proto::SuspectSegment) -> SegmentReport {
    let losses = suspect.losses.iter().map(|loss| {
        let name = loss.upstream.clone();
        (LostUpstream { name, started_at_ms: loss.started_at_ms }, loss.age_ms)
    });
    SegmentReport { segment: suspect.segment, position: suspect.position, losses: losses.collect() }
}
