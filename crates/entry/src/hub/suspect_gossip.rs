//! Holds retries after the loss of an upstream until all peers know of the suspect request.

use std::collections::BTreeMap;

use cowslip_name::Name;

use super::requests::InFlightRequest;
use super::{AcquireResult, Hub, PeerCommand, ReplySender, UpstreamOutcome};

/// Longest time that a retry is held until all peers know of the upstream loss that caused it.
const GOSSIP_TIMEOUT_MS: u64 = 1_000;

/// A retry that is held until all peers know of the upstream loss that caused it.
#[derive(Debug)]
struct HeldRetry {
    loss: u64,
    deadline_ms: u64,
    in_flight: InFlightRequest,
    reply: ReplySender<AcquireResult>,
}

/// Numbers of the newest upstream loss of this instance and of the newest one that each peer knows
/// of, and the held retries.
#[derive(Debug, Default)]
pub(super) struct SuspectGossip {
    newest_loss: u64,
    acked: BTreeMap<Name, u64>,
    held_retries: Vec<HeldRetry>,
}

impl SuspectGossip {
    /// Returns the number of the newest upstream loss.
    pub(super) fn newest_loss(&self) -> u64 {
        self.newest_loss
    }
}

impl Hub {
    /// Holds a retry until all peers know of the upstream loss that caused it. Otherwise the caller
    /// could send the request to a peer that does not suspect it yet.
    pub(super) fn hold_until_gossiped(
        &mut self,
        in_flight: InFlightRequest,
        reply: ReplySender<AcquireResult>,
    ) {
        self.suspect_gossip.newest_loss += 1;
        let loss = self.suspect_gossip.newest_loss;
        let deadline_ms = self.clock.now_ms() + GOSSIP_TIMEOUT_MS;
        self.suspect_gossip.held_retries.push(HeldRetry { loss, deadline_ms, in_flight, reply });
        // The channel may be full: heartbeats are sent periodically anyway.
        let _ = self.outbound.peers.try_send(PeerCommand::HeartbeatNow);
        self.tick_suspect_gossip(self.clock.now_ms());
    }

    /// Records that a peer knows of all upstream losses up to number `loss`.
    pub(super) fn on_loss_acked(&mut self, instance: &Name, loss: u64) {
        self.suspect_gossip.acked.insert(instance.clone(), loss);
        self.tick_suspect_gossip(self.clock.now_ms());
    }

    pub(super) fn tick_suspect_gossip(&mut self, now_ms: u64) {
        if self.suspect_gossip.held_retries.is_empty() {
            return;
        }
        let acked_by_all = self
            .members
            .live(now_ms)
            .map(|(name, ..)| self.suspect_gossip.acked.get(name).copied().unwrap_or(0))
            .min()
            .unwrap_or(u64::MAX);
        let (due, held_retries) = std::mem::take(&mut self.suspect_gossip.held_retries)
            .into_iter()
            .partition(|retry| retry.loss <= acked_by_all || now_ms >= retry.deadline_ms);
        self.suspect_gossip.held_retries = held_retries;
        for HeldRetry { in_flight, reply, .. } in due {
            self.finish_reassign(in_flight, UpstreamOutcome::Lost, reply);
        }
    }
}
