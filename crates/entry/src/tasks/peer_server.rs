//! HTTP/2 server for peers.

use async_channel::Receiver;
use bytes::Bytes;
use compio::net::TcpListener;
use cowslip_codec::{MAX_PEER_MESSAGE_BYTES, decode_peer_message, encode_peer_message};
use cowslip_name::Name;
use cowslip_net::serve_peers;
use cowslip_proto as proto;
use http::StatusCode;

use super::HubHandle;
use crate::events::Event;
use crate::hub::HubMessage;

/// Path of requests between instances, with the version of the messages.
pub(crate) const PEER_PATH: &str = "/peer/v1";

/// Serves peers until `stop` closes.
pub(crate) async fn run_peer_server(
    instance_name: Name,
    listener: TcpListener,
    hub: HubHandle,
    stop: Receiver<()>,
) {
    let handler = move |path: String, body: Bytes| {
        let (instance_name, hub) = (instance_name.clone(), hub.clone());
        async move { handle(&instance_name, &hub, &path, &body).await }
    };
    serve_peers(listener, MAX_PEER_MESSAGE_BYTES, stop, handler).await;
}

async fn handle(
    instance_name: &Name,
    hub: &HubHandle,
    path: &str,
    body: &[u8],
) -> Result<Bytes, StatusCode> {
    if path != PEER_PATH {
        return Err(StatusCode::NOT_FOUND);
    }
    let request = decode_peer_message(body).map_err(|error| {
        Event::PeerMessageMalformed.emit(instance_name, format_args!("{error}"));
        StatusCode::BAD_REQUEST
    })?;
    let reply = match request {
        proto::PeerRequest::Heartbeat(heartbeat) => hub
            .request(|reply| HubMessage::Heartbeat { heartbeat, reply })
            .await
            .map(proto::PeerReply::Heartbeat),
        proto::PeerRequest::Tail(tail) => hub
            .request(|reply| HubMessage::Tail { from_offset: tail.from_offset, reply })
            .await
            .map(|entries| proto::PeerReply::Entries(proto::LogTailReply { entries })),
    };
    let reply = reply.ok_or(StatusCode::SERVICE_UNAVAILABLE)?;
    encode_peer_message(&reply).map(Bytes::from).map_err(|_| StatusCode::INTERNAL_SERVER_ERROR)
}
