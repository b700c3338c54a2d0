//! Requests that wait, after the loss of an upstream, until the other instances know of it.

use std::collections::BTreeMap;

use cowslip_name::Name;

use super::requests::Running;
use super::{Begun, Ending, Hub, LinkCommand, ReplySender};

/// Longest wait for the other instances.
const SHARE_TIMEOUT_MS: u64 = 1_000;

#[derive(Debug)]
struct Parked {
    loss: u64,
    deadline_ms: u64,
    running: Running,
    reply: ReplySender<Begun>,
}

/// What the other instances know of this one's losses.
#[derive(Debug, Default)]
pub(super) struct Sharing {
    newest_loss: u64,
    known: BTreeMap<Name, u64>,
    parked: Vec<Parked>,
}

impl Sharing {
    /// Number of the newest loss.
    pub(super) fn newest_loss(&self) -> u64 {
        self.newest_loss
    }
}

impl Hub {
    /// Holds a request back until its loss is known elsewhere, so that its caller cannot be
    /// quicker at another instance.
    pub(super) fn park(&mut self, running: Running, reply: ReplySender<Begun>) {
        self.sharing.newest_loss += 1;
        let loss = self.sharing.newest_loss;
        let deadline_ms = self.clock.now_ms() + SHARE_TIMEOUT_MS;
        self.sharing.parked.push(Parked { loss, deadline_ms, running, reply });
        // When the channel is full the links are about to beat anyway.
        let _ = self.outlets.links.try_send(LinkCommand::Nudge);
        self.tick_sharing(self.clock.now_ms());
    }

    /// Another instance has been told of all losses up to `loss`.
    pub(super) fn on_told(&mut self, instance: &Name, loss: u64) {
        self.sharing.known.insert(instance.clone(), loss);
        self.tick_sharing(self.clock.now_ms());
    }

    pub(super) fn tick_sharing(&mut self, now_ms: u64) {
        if self.sharing.parked.is_empty() {
            return;
        }
        let known_everywhere = self
            .members
            .live(now_ms)
            .map(|(name, ..)| self.sharing.known.get(name).copied().unwrap_or(0))
            .min()
            .unwrap_or(u64::MAX);
        let (due, parked) = std::mem::take(&mut self.sharing.parked)
            .into_iter()
            .partition(|parked| parked.loss <= known_everywhere || now_ms >= parked.deadline_ms);
        self.sharing.parked = parked;
        for Parked { running, reply, .. } in due {
            self.finish_move(running, Ending::Lost, reply);
        }
    }
}
