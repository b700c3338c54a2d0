//! Links to the peers that this instance exchanges feeds with.

use std::collections::BTreeMap;
use std::time::Duration;

use async_channel::Receiver;
use compio::runtime::JoinHandle;
use cowslip_codec::MAX_PEER_MESSAGE_BYTES;
use cowslip_name::Name;
use cowslip_net::PeerConnection;

use super::HubHandle;
use super::feed_codec::FeedCodec;
use super::peer_server::FEED_PATH;
use crate::events::{Event, event};
use crate::hub::{HubMessage, LinkState, Peer, SetPeers};
use crate::metrics::Metrics;

/// Timeout of a feed exchange. Peers in the same region reply within milliseconds, in other regions
/// within some dozen milliseconds; a slow peer must not hold the link for long.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(1);
/// Exchanges in an interval while neither side knows the configuration, so that instances that start
/// together are ready as soon as a reader has read it.
const STARTING_EXCHANGES: u32 = 10;
/// Most consecutive failures that double the delay of the next exchange.
const MAX_BACKOFF_DOUBLINGS: u32 = 3;

/// The task of a link; dropping it stops the link.
struct LinkTask {
    peer: Peer,
    _task: JoinHandle<()>,
}

/// Keeps a link to each listed peer until the process ends.
pub(crate) async fn run_links(
    hub: HubHandle,
    metrics: Metrics,
    interval: Duration,
    commands: Receiver<SetPeers>,
) {
    let codec = FeedCodec::new(metrics);
    let mut links: BTreeMap<Name, LinkTask> = BTreeMap::new();
    while let Ok(SetPeers { peers }) = commands.recv().await {
        links.retain(|_, link| peers.contains(&link.peer));
        for peer in peers {
            links.entry(peer.name.clone()).or_insert_with(|| {
                let link = Link {
                    peer: peer.clone(),
                    hub: hub.clone(),
                    codec: codec.clone(),
                    interval,
                    connection: None,
                    state: LinkState::default(),
                    failures: 0,
                    pace: Pace::Regular,
                };
                LinkTask { peer, _task: compio::runtime::spawn(link.run()) }
            });
        }
    }
}

struct Link {
    peer: Peer,
    hub: HubHandle,
    codec: FeedCodec,
    interval: Duration,
    connection: Option<PeerConnection>,
    state: LinkState,
    /// Consecutive failures.
    failures: u32,
    /// What the next exchange waits for.
    pace: Pace,
}

/// When a link exchanges feeds again after a successful exchange.
#[derive(Clone, Copy, Debug)]
enum Pace {
    /// At once, since records did not fit into the last reply.
    Continue,
    /// Soon, since neither side knows the configuration yet.
    Starting,
    /// After the usual interval.
    Regular,
}

impl Link {
    async fn run(mut self) {
        loop {
            match self.exchange_feed().await {
                Ok(pace) => {
                    self.pace = pace;
                    if self.failures > 0 {
                        event!(
                            Event::PeerReachable,
                            peer = self.peer.name,
                            failures = self.failures
                        );
                    }
                    self.failures = 0;
                }
                Err(why) => {
                    self.connection = None;
                    self.hub.send(HubMessage::FeedFailed { peer: self.peer.name.clone() }).await;
                    if self.failures == 0 {
                        event!(Event::PeerUnreachable, peer = self.peer.name, why = why);
                    }
                    self.failures += 1;
                }
            }
            compio::time::sleep(self.delay()).await;
        }
    }

    /// Returns the delay of the next exchange.
    fn delay(&self) -> Duration {
        match (self.failures, self.pace) {
            (0, Pace::Continue) => Duration::ZERO,
            (0, Pace::Starting) => self.interval / STARTING_EXCHANGES,
            (failures, _) => self.interval * (1 << failures.min(MAX_BACKOFF_DOUBLINGS)),
        }
    }

    /// Exchanges feeds once.
    async fn exchange_feed(&mut self) -> Result<Pace, String> {
        let (link, to) = (self.state.clone(), self.peer.name.clone());
        let request = self.hub.request(|reply| HubMessage::BuildFeed { to, link, reply }).await;
        let (request, mut state) = request.ok_or("the hub task has ended")?;
        let body = self.codec.encode_request(&request).map_err(|error| error.to_string())?;
        let connection = match self.connection.take() {
            Some(connection) => connection,
            None => PeerConnection::connect(self.peer.address, EXCHANGE_TIMEOUT)
                .await
                .map_err(|error| error.to_string())?,
        };
        let reply = connection
            .call(FEED_PATH, body, MAX_PEER_MESSAGE_BYTES)
            .await
            .map_err(|error| error.to_string())?;
        self.connection = Some(connection);
        let feed = self.codec.decode_reply(&reply).map_err(|error| error.to_string())?;
        let pace = if request.wants_roster && feed.roster_has_more && !feed.roster.is_empty() {
            Pace::Continue
        } else if request.declaration_version.is_none() && feed.declaration.is_none() {
            Pace::Starting
        } else {
            Pace::Regular
        };
        let cursor = feed.place.clone();
        if state.received_cursor.is_some_and(|known| known.incarnation != cursor.incarnation) {
            // The peer has restarted and lost what was sent to its previous incarnation.
            state = LinkState::default();
        }
        let lacks_roster = feed.roster_has_more;
        let sent_finalized = state.sent_finalized;
        self.state = LinkState { received_cursor: Some(cursor), lacks_roster, ..state };
        let from = self.peer.name.clone();
        self.hub.send(HubMessage::ApplyFeed { from, feed: Box::new(feed), sent_finalized }).await;
        Ok(pace)
    }
}
