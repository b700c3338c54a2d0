//! Heartbeats and entries between instances.

use std::collections::BTreeMap;

use cowslip_codec::{decode_digest_hex, encode_hex, heartbeat_from_proto, holder_to_proto};
use cowslip_membership::ListedMember;
use cowslip_name::Name;
use cowslip_proto as proto;

use super::{Hub, LinkCommand, Reading};

/// Entries in one answer to another instance.
const MAX_TAIL_ENTRIES: usize = 256;
/// Size of one answer to another instance, in bytes.
const MAX_TAIL_BYTES: usize = 2_097_152;
/// Suspicions in one heartbeat.
const MAX_SUSPECTS: usize = 64;

impl Hub {
    pub(super) fn on_list(&mut self, rows: Vec<ListedMember>) {
        self.members.set_list(rows);
        let others = self.members.peers().cloned().collect();
        // A full channel already holds a list; the next poll brings the newer one.
        let _ = self.outlets.links.try_send(LinkCommand::List(others));
    }

    pub(super) fn own_heartbeat(&self) -> proto::Heartbeat {
        let now_ms = self.clock.now_ms();
        let loads: BTreeMap<&Name, u32> = self.requests.loads();
        let suspects =
            self.suspects.changed_since(0).take(MAX_SUSPECTS).map(|(digest, upstreams)| {
                proto::SuspectRequest {
                    digest_hex: encode_hex(digest),
                    upstreams: upstreams.iter().cloned().collect(),
                }
            });
        proto::Heartbeat {
            from: holder_to_proto(&self.me),
            failure_domain: self.config.settings.instance.failure_domain.clone(),
            next_offset: self.next_offset,
            fresh_age_ms: self.freshness.age_ms(now_ms),
            in_flight: u32::try_from(self.requests.in_flight()).unwrap_or(u32::MAX),
            draining: self.drained_targets(),
            suspects: suspects.collect(),
            loads: loads
                .into_iter()
                .map(|(upstream, in_flight)| proto::UpstreamLoad {
                    upstream: upstream.clone(),
                    in_flight,
                })
                .collect(),
        }
    }

    pub(super) fn on_heartbeat(&mut self, heartbeat: &proto::Heartbeat) {
        let now_ms = self.clock.now_ms();
        self.members.on_heartbeat(
            now_ms,
            &heartbeat.from.instance,
            heartbeat_from_proto(heartbeat),
        );
        for suspect in heartbeat.suspects.iter().take(MAX_SUSPECTS) {
            let Ok(digest) = decode_digest_hex("digest_hex", &suspect.digest_hex) else { continue };
            for upstream in &suspect.upstreams {
                self.suspects.on_upstream_lost(digest, upstream.clone());
            }
        }
    }

    /// Takes an answer to a heartbeat; returns where to read on if the other instance is ahead.
    pub(super) fn on_heartbeat_answer(
        &mut self,
        sent_at_ms: u64,
        heartbeat: &proto::Heartbeat,
    ) -> Option<u64> {
        self.on_heartbeat(heartbeat);
        if heartbeat.next_offset > self.next_offset {
            return Some(self.next_offset);
        }
        if let (Reading::Folding, Some(age_ms)) = (&self.reading, heartbeat.fresh_age_ms) {
            self.freshness.on_peer(sent_at_ms, age_ms);
        }
        None
    }

    /// Entries from `from_offset` on, none if they are no longer kept here.
    pub(super) fn tail(&self, from_offset: u64) -> Vec<proto::RawLogEntry> {
        let first_kept = self.entries.front().map(|entry| entry.offset);
        if first_kept.is_none_or(|first_kept| first_kept > from_offset) {
            return Vec::new();
        }
        let mut size_bytes = 0;
        self.entries
            .iter()
            .skip_while(|entry| entry.offset < from_offset)
            .take(MAX_TAIL_ENTRIES)
            .take_while(|entry| {
                size_bytes += entry.body.len();
                size_bytes <= MAX_TAIL_BYTES
            })
            .cloned()
            .collect()
    }

    /// Entries from another instance tell nothing of what the log holds beyond them.
    pub(super) fn on_peer_entries(&mut self, entries: Vec<proto::RawLogEntry>) {
        for entry in entries {
            self.on_entry(entry);
        }
    }
}
