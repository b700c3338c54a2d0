//! HTTP server and response helpers of the stand-ins.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use async_channel::Sender;
use bytes::Bytes;
use cowslip_codec::{from_json, to_json};
use cowslip_net::{Body, ServerLimits, bind, full_body, read_body, serve_http};
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use serde::de::DeserializeOwned;

const MAX_BODY_BYTES: usize = 8_388_608;

/// Returns a response with status 200 and a message as JSON.
pub(crate) fn json_response<T>(message: &T) -> Response<Body>
where
    T: serde::Serialize,
{
    json_text_response(StatusCode::OK, to_json(message))
}

/// Returns a response whose body is the given JSON text.
pub(crate) fn json_text_response(status: StatusCode, body: String) -> Response<Body> {
    Response::builder()
        .status(status)
        .header("content-type", "application/json")
        .body(full_body(body))
        .expect("constant headers form a response")
}

/// Returns a response with a status and an empty JSON object.
pub(crate) fn status_response(status: StatusCode) -> Response<Body> {
    json_text_response(status, "{}".to_owned())
}

/// Reads a complete request body; returns an empty one if it is too large or incomplete.
pub(crate) async fn request_body(request: Request<Incoming>) -> Bytes {
    read_body(request.into_body(), MAX_BODY_BYTES).await.unwrap_or_default()
}

/// Parses the faults of a control request and sends them to the owner of the state.
pub(crate) async fn set_faults<M, T, F>(
    inbox: &Sender<M>,
    request: Request<Incoming>,
    message: F,
) -> Response<Body>
where
    T: DeserializeOwned,
    F: FnOnce(T) -> M,
{
    let Ok(faults) = from_json(&request_body(request).await) else {
        return status_response(StatusCode::BAD_REQUEST);
    };
    // Sending cannot fail: the owner runs until the process ends.
    let _ = inbox.send(message(faults)).await;
    status_response(StatusCode::OK)
}

/// Serves HTTP on one address until the process ends.
pub(crate) async fn serve_forever<H, F>(
    address: SocketAddr,
    idle: Duration,
    handler: H,
) -> io::Result<()>
where
    H: Fn(Request<Incoming>) -> F + Clone + 'static,
    F: Future<Output = Response<Body>> + 'static,
{
    let listener = bind(address).await.map_err(io::Error::other)?;
    let limits = ServerLimits {
        max_connections: 16_384,
        max_header_bytes: 65_536,
        idle_timeout: idle,
        unread_timeout: idle,
    };
    let (_stop_sender, stop) = async_channel::bounded(1);
    serve_http(listener, limits, stop, handler).await;
    Ok(())
}
