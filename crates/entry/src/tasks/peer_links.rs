//! One link to each peer: exchanges heartbeats, and reads log entries from a peer that is ahead.

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
use crate::hub::{HubMessage, PeerCommand};
use cowslip_clock::Clock;

/// Handle of a link's task; dropping it ends the link.
struct LinkHandle {
    peer: ListedMember,
    /// Channel for the signal to send a heartbeat now; it holds one, as more would have no effect.
    heartbeat_now: Sender<()>,
    _task: JoinHandle<()>,
}

/// Keeps a link to each listed peer until the process ends.
pub(crate) async fn run_peer_links(
    instance_name: Name,
    hub: HubHandle,
    clock: Clock,
    interval: Duration,
    commands: Receiver<PeerCommand>,
) {
    let mut links: BTreeMap<Name, LinkHandle> = BTreeMap::new();
    while let Ok(command) = commands.recv().await {
        match command {
            PeerCommand::HeartbeatNow => {
                for link in links.values() {
                    let _ = link.heartbeat_now.try_send(());
                }
            }
            PeerCommand::SetPeers(peers) => {
                links.retain(|_, link| peers.iter().any(|listed| is_same_peer(listed, &link.peer)));
                for peer in peers {
                    links.entry(peer.name.clone()).or_insert_with(|| {
                        let (heartbeat_now, heartbeat_signals) = async_channel::bounded(1);
                        let link = PeerLink {
                            instance_name: instance_name.clone(),
                            peer: peer.clone(),
                            hub: hub.clone(),
                            clock,
                            interval,
                            heartbeat_signals,
                            connection: None,
                            is_reachable: true,
                        };
                        LinkHandle {
                            peer,
                            heartbeat_now,
                            _task: compio::runtime::spawn(link.run()),
                        }
                    });
                }
            }
        }
    }
}

fn is_same_peer(listed: &ListedMember, peer: &ListedMember) -> bool {
    listed.name == peer.name && listed.peer_address == peer.peer_address
}

struct PeerLink {
    instance_name: Name,
    peer: ListedMember,
    hub: HubHandle,
    clock: Clock,
    interval: Duration,
    heartbeat_signals: Receiver<()>,
    connection: Option<PeerConnection>,
    is_reachable: bool,
}

impl PeerLink {
    async fn run(mut self) {
        loop {
            let reached = self.exchange_heartbeats().await;
            if reached.is_none() {
                self.connection = None;
            }
            self.report_reachability(reached.is_some());
            // The next heartbeat is sent at the next interval or at a signal, whichever is first.
            let _ = compio::time::timeout(self.interval, self.heartbeat_signals.recv()).await;
        }
    }

    fn report_reachability(&mut self, is_reachable: bool) {
        if is_reachable == self.is_reachable {
            return;
        }
        self.is_reachable = is_reachable;
        let event = if is_reachable { Event::PeerReachable } else { Event::PeerUnreachable };
        event.emit(&self.instance_name, format_args!("{}", self.peer.name));
    }

    /// Exchanges heartbeats, then reads entries if the peer is ahead.
    async fn exchange_heartbeats(&mut self) -> Option<()> {
        let (heartbeat, acked_loss) =
            self.hub.request(|reply| HubMessage::OwnHeartbeat { reply }).await?;
        let sent_at_ms = self.clock.now_ms();
        let reply = self.call(&proto::PeerRequest::Heartbeat(heartbeat)).await?;
        let proto::PeerReply::Heartbeat(heartbeat) = reply else { return None };
        let read_from = self
            .hub
            .request(|reply| HubMessage::HeartbeatReply {
                sent_at_ms,
                acked_loss,
                heartbeat,
                reply,
            })
            .await?;
        if let Some(from_offset) = read_from {
            let tail = proto::PeerRequest::Tail(proto::LogTailRequest { from_offset });
            if let proto::PeerReply::Entries(page) = self.call(&tail).await? {
                self.hub.send(HubMessage::PeerEntries(page.entries)).await;
            }
        }
        Some(())
    }

    async fn call(&mut self, request: &proto::PeerRequest) -> Option<proto::PeerReply> {
        if self.connection.is_none() {
            let timeout = self.interval * 2;
            self.connection = PeerConnection::connect(self.peer.peer_address, timeout).await.ok();
        }
        let connection = self.connection.as_ref()?;
        let body = Bytes::from(encode_peer_message(request).ok()?);
        let reply = connection.call(PEER_PATH, body, MAX_PEER_MESSAGE_BYTES).await.ok()?;
        match decode_peer_message(&reply) {
            Ok(reply) => Some(reply),
            Err(error) => {
                Event::PeerMessageMalformed
                    .emit(&self.instance_name, format_args!("{}: {error}", self.peer.name));
                None
            }
        }
    }
}
