//! Serves feed requests of peers.

use async_channel::Receiver;
use bytes::Bytes;
use compio::net::TcpListener;
use cowslip_codec::{MAX_PEER_MESSAGE_BYTES, decode_peer_message, encode_peer_message};
use cowslip_net::serve_peers;
use http::StatusCode;

use super::HubHandle;
use crate::events::{Event, event};
use crate::hub::HubMessage;

/// Path of feed requests; it names the version of the messages.
pub(super) const FEED_PATH: &str = "/feed/v4";

/// Serves peers until `stop` closes.
pub(crate) async fn run_peer_server(listener: TcpListener, hub: HubHandle, stop: Receiver<()>) {
    let handler = move |path: String, body: Bytes| {
        let hub = hub.clone();
        async move { handle_feed(&hub, &path, &body).await }
    };
    serve_peers(listener, MAX_PEER_MESSAGE_BYTES, stop, handler).await;
}

async fn handle_feed(hub: &HubHandle, path: &str, body: &[u8]) -> Result<Bytes, StatusCode> {
    if path != FEED_PATH {
        return Err(StatusCode::NOT_FOUND);
    }
    let feed = decode_peer_message(body).map_err(|error| {
        event!(Event::PeerMessageMalformed, why = error);
        StatusCode::BAD_REQUEST
    })?;
    let reply = hub
        .request(|reply| HubMessage::HandleFeed { feed: Box::new(feed), reply })
        .await
        .ok_or(StatusCode::SERVICE_UNAVAILABLE)?;
    encode_peer_message(&reply).map(Bytes::from).map_err(|_| StatusCode::INTERNAL_SERVER_ERROR)
}
