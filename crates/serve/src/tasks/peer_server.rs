//! Serves feed requests of peers.

use async_channel::Receiver;
use bytes::Bytes;
use compio::net::TcpListener;
use cowslip_codec::MAX_PEER_MESSAGE_BYTES;
use cowslip_net::serve_peers;
use http::StatusCode;

use super::HubHandle;
use super::feed_codec::FeedCodec;
use crate::events::{Event, event};
use crate::hub::HubMessage;
use crate::metrics::Metrics;

/// Path of feed requests; it names the version of the messages.
pub(super) const FEED_PATH: &str = "/feed/v5";

/// Serves peers until `stop` closes.
pub(crate) async fn run_peer_server(
    listener: TcpListener,
    hub: HubHandle,
    metrics: Metrics,
    stop: Receiver<()>,
) {
    let codec = FeedCodec::new(metrics);
    let handler = move |path: String, body: Bytes| {
        let (hub, codec) = (hub.clone(), codec.clone());
        async move { handle_feed(&hub, &codec, &path, &body).await }
    };
    serve_peers(listener, MAX_PEER_MESSAGE_BYTES, stop, handler).await;
}

async fn handle_feed(
    hub: &HubHandle,
    codec: &FeedCodec,
    path: &str,
    body: &[u8],
) -> Result<Bytes, StatusCode> {
    if path != FEED_PATH {
        return Err(StatusCode::NOT_FOUND);
    }
    let feed = codec.decode_request(body).map_err(|error| {
        event!(Event::PeerMessageMalformed, why = error);
        StatusCode::BAD_REQUEST
    })?;
    let reply = hub
        .request(|reply| HubMessage::HandleFeed { feed: Box::new(feed), reply })
        .await
        .ok_or(StatusCode::SERVICE_UNAVAILABLE)?;
    codec.encode_reply(&reply).map_err(|_| StatusCode::INTERNAL_SERVER_ERROR)
}
