//! Heartbeats and log entries between instances.

use std::collections::BTreeMap;

use cowslip_codec::{heartbeat_from_proto, holder_to_proto, suspect_to_proto};
use cowslip_membership::ListedMember;
use cowslip_name::Name;
use cowslip_proto as proto;

use super::{Hub, PeerCommand, ReplayMode};

/// Most log entries in one reply to a peer.
const MAX_TAIL_ENTRIES: usize = 256;
/// Largest size of the log entries in one reply to a peer, in bytes.
const MAX_TAIL_BYTES: usize = 2_097_152;
/// Most suspects in one heartbeat.
const MAX_REPORTED_SUSPECTS: usize = 64;

impl Hub {
    pub(super) fn on_instance_list(&mut self, rows: Vec<ListedMember>) {
        self.members.set_list(rows);
        let peers = self.members.peers().cloned().collect();
        // The channel may be full: the next poll sends the list again.
        let _ = self.outbound.peers.try_send(PeerCommand::SetPeers(peers));
    }

    pub(super) fn own_heartbeat(&self) -> proto::Heartbeat {
        let now_ms = self.clock.now_ms();
        let loads: BTreeMap<&Name, u32> = self.requests.loads();
        let suspects = self.quarantine.gravest_reports(now_ms, MAX_REPORTED_SUSPECTS);
        proto::Heartbeat {
            from: holder_to_proto(&self.own_id),
            failure_domain: self.config.settings.instance.failure_domain.clone(),
            next_offset: self.next_offset,
            fresh_age_ms: self.freshness.age_ms(now_ms),
            in_flight: u32::try_from(self.requests.in_flight()).unwrap_or(u32::MAX),
            draining: self.drained_targets(),
            suspects: suspects.into_iter().map(suspect_to_proto).collect(),
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
        let count = heartbeat.suspects.len().min(MAX_REPORTED_SUSPECTS);
        self.on_suspects(&heartbeat.suspects[..count]);
    }

    /// Handles the reply to a heartbeat; returns the offset to read from if the peer is ahead.
    pub(super) fn on_heartbeat_reply(
        &mut self,
        sent_at_ms: u64,
        heartbeat: &proto::Heartbeat,
    ) -> Option<u64> {
        self.on_heartbeat(heartbeat);
        if heartbeat.next_offset > self.next_offset {
            return Some(self.next_offset);
        }
        if let (ReplayMode::Replaying, Some(age_ms)) = (&self.replay_mode, heartbeat.fresh_age_ms) {
            self.freshness.on_peer_reply(sent_at_ms, age_ms);
        }
        None
    }

    /// Returns entries from `from_offset` on, or none if they are no longer kept.
    pub(super) fn tail(&self, from_offset: u64) -> Vec<proto::RawLogEntry> {
        let first_kept = self.recent_entries.front().map(|entry| entry.offset);
        if first_kept.is_none_or(|first_kept| first_kept > from_offset) {
            return Vec::new();
        }
        let mut size_bytes = 0;
        self.recent_entries
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

    /// Applies entries from a peer. They do not update the freshness, as the log may hold newer
    /// entries.
    pub(super) fn on_peer_entries(&mut self, entries: Vec<proto::RawLogEntry>) {
        for entry in entries {
            self.on_entry(entry);
        }
    }
}
