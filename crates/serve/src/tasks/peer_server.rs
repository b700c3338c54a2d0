//! Serves the requests of peers.

use async_channel::Receiver;
use bytes::Bytes;
use compio::net::TcpListener;
use cowslip_codec::{CodecError, MAX_PEER_MESSAGE_BYTES, decode_peer_message, encode_peer_message};
use cowslip_net::serve_peers;
use http::StatusCode;

use super::HubHandle;
use super::feed_codec::FeedCodec;
use crate::events::{Event, event};
use crate::hub::HubMessage;
use crate::metrics::Metrics;

/// Path of feed requests; it names the version of the messages.
pub(super) const FEED_PATH: &str = "/feed/v6";

/// Path of reservations at a broker of allowances.
pub(super) const RESERVATION_PATH: &str = "/reservations/v1";

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
        async move { handle(&hub, &codec, &path, &body).await }
    };
    serve_peers(listener, MAX_PEER_MESSAGE_BYTES, stop, handler).await;
}

async fn handle(
    hub: &HubHandle,
    codec: &FeedCodec,
    path: &str,
    body: &[u8],
) -> Result<Bytes, StatusCode> {
    match path {
        FEED_PATH => {
            let feed =
                Box::new(codec.decode_request(body).map_err(|error| refuse_malformed(&error))?);
            let reply = hub.request(|reply| HubMessage::HandleFeed { feed, reply }).await;
            let reply = reply.ok_or(StatusCode::SERVICE_UNAVAILABLE)?;
            codec.encode_reply(&reply).map_err(|_| StatusCode::INTERNAL_SERVER_ERROR)
        }
        RESERVATION_PATH => {
            let request = decode_peer_message(body).map_err(|error| refuse_malformed(&error))?;
            let reply = hub.request(|reply| HubMessage::Reserve { request, reply }).await;
            let reply = reply.ok_or(StatusCode::SERVICE_UNAVAILABLE)?;
            let body = encode_peer_message(&reply);
            body.map(Bytes::from).map_err(|_| StatusCode::INTERNAL_SERVER_ERROR)
        }
        _ => Err(StatusCode::NOT_FOUND),
    }
}

fn refuse_malformed(error: &CodecError) -> StatusCode {
    event!(Event::PeerMessageMalformed, why = error);
    StatusCode::BAD_REQUEST
}
