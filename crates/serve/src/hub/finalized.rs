//! Finalized usage windows: those that this instance and the other reader of the store know, so that
//! a restore of the store loses none that was reported.

use cowslip_codec::{start_counts_from_proto, start_window_to_proto};
use cowslip_name::Name;
use cowslip_proto as proto;
use cowslip_task::send_reply;
use cowslip_usage::StartWindows;

use super::message::ReplySender;
use super::{Hub, LinkState};
use crate::platform::Platform;

/// Finalized windows that are kept.
pub(crate) const KEPT_FINALIZED_WINDOWS: usize = 24; // two minutes with windows of 5 s

/// A task that waits until the other reader has received all windows up to a version.
#[derive(Debug)]
pub(super) struct Confirmation {
    version: u64,
    reply: ReplySender<()>,
}

impl<P> Hub<P>
where
    P: Platform,
{
    /// Remembers windows that are finalized in the store.
    pub(super) fn on_windows_finalized(&mut self, windows: StartWindows) {
        for (window, counts) in windows {
            self.finalized.set_stored(window, counts);
        }
        self.forget_finalized();
    }

    /// Remembers windows that peers know or that were finalized in earlier eras.
    pub(super) fn on_known_windows(&mut self, windows: StartWindows) {
        for (window, counts) in windows {
            self.finalized.insert(window, counts);
        }
        self.forget_finalized();
    }

    fn forget_finalized(&mut self) {
        let newest = self.window_times.window_of(self.cluster_ms());
        let kept = u64::try_from(KEPT_FINALIZED_WINDOWS).unwrap_or(u64::MAX);
        self.finalized.forget_before(newest.saturating_sub(kept));
    }

    /// Returns the windows that a peer lacks, and the version up to which it then has all.
    pub(super) fn finalized_for_peer(
        &self,
        peer: &Name,
        link: &LinkState,
    ) -> (Vec<proto::RequestStartWindow>, u64) {
        if !self.feed_topology.is_reader(peer) {
            return (Vec::new(), link.sent_finalized);
        }
        let changed = self.finalized.changed_since(link.sent_finalized);
        let windows = changed.map(|(window, counts)| start_window_to_proto(window, counts));
        (windows.collect(), self.finalized.version())
    }

    pub(super) fn on_finalized_of_peer(&mut self, windows: Vec<proto::RequestStartWindow>) {
        let windows = windows.into_iter().map(|row| (row.window, start_counts_from_proto(row)));
        self.on_known_windows(windows.collect());
    }

    /// Replies once a peer that reads the store has all finalized windows, at once without such a
    /// peer.
    pub(super) fn confirm_finalized(&mut self, reply: ReplySender<()>) {
        let has_reader =
            self.feed_peers.iter().any(|peer| self.feed_topology.is_reader(&peer.name));
        if has_reader {
            self.confirmations.retain(|confirmation| !confirmation.reply.is_closed());
            let version = self.finalized.version();
            self.confirmations.push(Confirmation { version, reply });
        } else {
            send_reply(&reply, ());
        }
    }

    /// Records that a peer has received all windows up to `version`.
    pub(super) fn on_finalized_received(&mut self, peer: &Name, version: u64) {
        if !self.feed_topology.is_reader(peer) {
            return;
        }
        for confirmation in self.confirmations.extract_if(.., |row| row.version <= version) {
            send_reply(&confirmation.reply, ());
        }
    }
}
