//! One link to each instance that this one exchanges with.

use std::collections::BTreeMap;
use std::time::Duration;

use async_channel::Receiver;
use bytes::Bytes;
use compio::runtime::JoinHandle;
use cowslip_codec::{MAX_PEER_MESSAGE_BYTES, decode_peer_message, encode_peer_message};
use cowslip_name::Name;
use cowslip_net::PeerConnection;
use cowslip_proto as proto;

use super::HubHandle;
use super::peer_server::FEED_PATH;
use crate::events::{Event, event};
use crate::hub::{HubMessage, LinkCommand, LinkState, Peer};

/// Longest wait for an answer: instances in one region answer within milliseconds, in others
/// within some dozen; a slow one must not hold the link for long.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);
/// Most failures in a row that lengthen the pause.
const MAX_BACKOFF: u32 = 3;

/// A running link; dropping it ends the link.
struct Running {
    peer: Peer,
    _task: JoinHandle<()>,
}

/// Keeps a link to each listed instance until the process ends.
pub(crate) async fn run_links(hub: HubHandle, every: Duration, commands: Receiver<LinkCommand>) {
    let mut links: BTreeMap<Name, Running> = BTreeMap::new();
    while let Ok(LinkCommand { peers }) = commands.recv().await {
        links.retain(|_, link| peers.contains(&link.peer));
        for peer in peers {
            links.entry(peer.name.clone()).or_insert_with(|| {
                let link = Link {
                    peer: peer.clone(),
                    hub: hub.clone(),
                    every,
                    client: None,
                    state: LinkState::default(),
                    failures: 0,
                };
                Running { peer, _task: compio::runtime::spawn(link.run()) }
            });
        }
    }
}

struct Link {
    peer: Peer,
    hub: HubHandle,
    every: Duration,
    client: Option<PeerConnection>,
    state: LinkState,
    failures: u32,
}

impl Link {
    async fn run(mut self) {
        loop {
            match self.exchange().await {
                Ok(()) => {
                    if self.failures > 0 {
                        event!(Event::PeerBack, peer = self.peer.name, failures = self.failures);
                    }
                    self.failures = 0;
                }
                Err(why) => {
                    self.client = None;
                    if self.failures == 0 {
                        event!(Event::PeerLost, peer = self.peer.name, why = why);
                    }
                    self.failures += 1;
                }
            }
            let pause = self.every * (1 << self.failures.min(MAX_BACKOFF));
            compio::time::sleep(pause).await;
        }
    }

    async fn exchange(&mut self) -> Result<(), String> {
        let link = self.state.clone();
        let feed = self.hub.ask(|reply| HubMessage::OwnFeed { link, reply }).await;
        let (feed, mut state) = feed.ok_or("the hub has ended")?;
        let body = encode_peer_message(&feed).map_err(|error| error.to_string())?;
        let client = match self.client.take() {
            Some(client) => client,
            None => PeerConnection::connect(self.peer.address, ANSWER_TIMEOUT)
                .await
                .map_err(|error| error.to_string())?,
        };
        let answer = client
            .call(FEED_PATH, Bytes::from(body), MAX_PEER_MESSAGE_BYTES)
            .await
            .map_err(|error| error.to_string())?;
        self.client = Some(client);
        let answer: proto::FeedReply =
            decode_peer_message(&answer).map_err(|error| error.to_string())?;
        let place = answer.place.clone();
        if state.seen.is_some_and(|seen| seen.incarnation != place.incarnation) {
            // Another life of it knows nothing of what the one before was told.
            state = LinkState::default();
        }
        self.state = LinkState { seen: Some(place), ..state };
        let from = self.peer.name.clone();
        self.hub.tell(HubMessage::FeedAnswer { from, answer: Box::new(answer) }).await;
        Ok(())
    }
}
