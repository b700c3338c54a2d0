//! One link to each other instance: heartbeats, and entries when the other is ahead.

use std::collections::BTreeMap;
use std::time::Duration;

use async_channel::{Receiver, Sender};
use bytes::Bytes;
use compio::runtime::JoinHandle;
use cowslip_codec::{MAX_PEER_MESSAGE_BYTES, decode_peer_message, encode_peer_message};
use cowslip_membership::ListedMember;
use cowslip_name::Name;
use cowslip_net::PeerConnection;
use cowslip_proto as proto;

use super::HubHandle;
use super::peer_server::PEER_PATH;
use crate::events::Event;
use crate::hub::{HubMessage, LinkCommand};
use cowslip_clock::Clock;

/// A running link; dropping it ends the link.
struct Running {
    other: ListedMember,
    /// Holds one nudge; a full channel already means an early beat.
    nudge: Sender<()>,
    _task: JoinHandle<()>,
}

/// Keeps a link to each listed instance until the process ends.
pub(crate) async fn run_links(
    me: Name,
    hub: HubHandle,
    clock: Clock,
    every: Duration,
    commands: Receiver<LinkCommand>,
) {
    let mut links: BTreeMap<Name, Running> = BTreeMap::new();
    while let Ok(command) = commands.recv().await {
        match command {
            LinkCommand::Nudge => {
                for link in links.values() {
                    let _ = link.nudge.try_send(());
                }
            }
            LinkCommand::List(rows) => {
                links.retain(|_, link| rows.iter().any(|row| is_same(row, &link.other)));
                for other in rows {
                    links.entry(other.name.clone()).or_insert_with(|| {
                        let (nudge, nudges) = async_channel::bounded(1);
                        let link = Link {
                            me: me.clone(),
                            other: other.clone(),
                            hub: hub.clone(),
                            clock,
                            every,
                            nudges,
                            client: None,
                            is_reachable: true,
                        };
                        Running { other, nudge, _task: compio::runtime::spawn(link.run()) }
                    });
                }
            }
        }
    }
}

fn is_same(row: &ListedMember, other: &ListedMember) -> bool {
    row.name == other.name && row.peer_address == other.peer_address
}

struct Link {
    me: Name,
    other: ListedMember,
    hub: HubHandle,
    clock: Clock,
    every: Duration,
    nudges: Receiver<()>,
    client: Option<PeerConnection>,
    is_reachable: bool,
}

impl Link {
    async fn run(mut self) {
        loop {
            let reached = self.beat().await;
            if reached.is_none() {
                self.client = None;
            }
            self.note(reached.is_some());
            // Either the time is over or a nudge came.
            let _ = compio::time::timeout(self.every, self.nudges.recv()).await;
        }
    }

    fn note(&mut self, is_reachable: bool) {
        if is_reachable == self.is_reachable {
            return;
        }
        self.is_reachable = is_reachable;
        let event = if is_reachable { Event::PeerReachable } else { Event::PeerUnreachable };
        event.emit(&self.me, format_args!("{}", self.other.name));
    }

    /// Exchanges heartbeats, then entries if the other instance is ahead.
    async fn beat(&mut self) -> Option<()> {
        let (heartbeat, told_loss) =
            self.hub.ask(|reply| HubMessage::OwnHeartbeat { reply }).await?;
        let sent_at_ms = self.clock.now_ms();
        let answer = self.call(&proto::PeerRequest::Heartbeat(heartbeat)).await?;
        let proto::PeerReply::Heartbeat(heartbeat) = answer else { return None };
        let read_from = self
            .hub
            .ask(|reply| HubMessage::HeartbeatAnswer { sent_at_ms, told_loss, heartbeat, reply })
            .await?;
        if let Some(from_offset) = read_from {
            let tail = proto::PeerRequest::Tail(proto::LogTailRequest { from_offset });
            if let proto::PeerReply::Entries(page) = self.call(&tail).await? {
                self.hub.tell(HubMessage::PeerEntries(page.entries)).await;
            }
        }
        Some(())
    }

    async fn call(&mut self, request: &proto::PeerRequest) -> Option<proto::PeerReply> {
        if self.client.is_none() {
            let timeout = self.every * 2;
            self.client = PeerConnection::connect(self.other.peer_address, timeout).await.ok();
        }
        let client = self.client.as_ref()?;
        let body = Bytes::from(encode_peer_message(request).ok()?);
        let answer = client.call(PEER_PATH, body, MAX_PEER_MESSAGE_BYTES).await.ok()?;
        match decode_peer_message(&answer) {
            Ok(reply) => Some(reply),
            Err(error) => {
                Event::PeerBad.emit(&self.me, format_args!("{}: {error}", self.other.name));
                None
            }
        }
    }
}
