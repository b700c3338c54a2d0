//! Links to the brokers at which this instance reserves the cost of requests.

use std::collections::BTreeMap;
use std::time::Duration;

use async_channel::{Receiver, Sender};
use bytes::Bytes;
use compio::runtime::JoinHandle;
use cowslip_codec::{MAX_PEER_MESSAGE_BYTES, decode_peer_message, encode_peer_message};
use cowslip_name::Name;
use cowslip_net::PeerConnection;
use cowslip_proto as proto;

use super::HubHandle;
use super::peer_server::RESERVATION_PATH;
use crate::hub::{HubMessage, Peer, ReservationCall};

/// Timeout of a call with its connection attempts; a reservation is void after twice the time.
const CALL_TIMEOUT: Duration = Duration::from_millis(250);

/// The task of a link; dropping it stops the link.
struct LinkTask {
    broker: Peer,
    calls: Sender<proto::ReservationRequest>,
    _task: JoinHandle<()>,
}

/// Passes calls to the link of their broker until the process ends.
pub(crate) async fn run_reservations(hub: HubHandle, calls: Receiver<ReservationCall>) {
    let mut links: BTreeMap<Name, LinkTask> = BTreeMap::new();
    while let Ok(ReservationCall { broker, request }) = calls.recv().await {
        // A broker that has restarted may have another address.
        links.retain(|_, link| link.broker.name != broker.name || link.broker == broker);
        let link = links.entry(broker.name.clone()).or_insert_with(|| {
            let (calls, requests) = async_channel::bounded(1);
            let link = Link { broker: broker.clone(), hub: hub.clone(), connection: None };
            LinkTask { broker, calls, _task: compio::runtime::spawn(link.run(requests)) }
        });
        // The hub sends the next call once it has the reply to the last one.
        let _ = link.calls.send(request).await;
    }
}

struct Link {
    broker: Peer,
    hub: HubHandle,
    connection: Option<PeerConnection>,
}

impl Link {
    async fn run(mut self, requests: Receiver<proto::ReservationRequest>) {
        while let Ok(request) = requests.recv().await {
            let call = compio::time::timeout(CALL_TIMEOUT, self.call(request));
            let reply = call.await.ok().flatten();
            let broker = self.broker.name.clone();
            self.hub.send(HubMessage::Reserved { broker, reply }).await;
        }
    }

    async fn call(
        &mut self,
        mut request: proto::ReservationRequest,
    ) -> Option<proto::ReservationReply> {
        // The broker closes idle connections, so a kept one may fail at once.
        if let Some(connection) = self.connection.take() {
            let reply = self.exchange(connection, &request).await;
            if reply.is_some() {
                return reply;
            }
            // The broker may have handled the request. To reserve twice is safe; to put back twice
            // is not.
            request.put_back.clear();
        }
        let connection = PeerConnection::connect(self.broker.address, CALL_TIMEOUT).await.ok()?;
        self.exchange(connection, &request).await
    }

    async fn exchange(
        &mut self,
        connection: PeerConnection,
        request: &proto::ReservationRequest,
    ) -> Option<proto::ReservationReply> {
        let body = Bytes::from(encode_peer_message(request).ok()?);
        let reply = connection.call(RESERVATION_PATH, body, MAX_PEER_MESSAGE_BYTES).await.ok()?;
        self.connection = Some(connection);
        decode_peer_message(&reply).ok()
    }
}
