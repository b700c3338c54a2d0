//! Serving of the stand-ins.

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

/// Answers with JSON.
pub(crate) fn json<T>(message: &T) -> Response<Body>
where
    T: serde::Serialize,
{
    text(StatusCode::OK, to_json(message))
}

/// Answers with a body of JSON text.
pub(crate) fn text(status: StatusCode, body: String) -> Response<Body> {
    Response::builder()
        .status(status)
        .header("content-type", "application/json")
        .body(full_body(body))
        .expect("constants form a response")
}

/// Answers with nothing but a status.
pub(crate) fn status(status: StatusCode) -> Response<Body> {
    text(status, "{}".to_owned())
}

/// Reads a body whole, empty if it breaks off.
pub(crate) async fn body(request: Request<Incoming>) -> Bytes {
    read_body(request.into_body(), MAX_BODY_BYTES).await.unwrap_or_default()
}

/// Hands the faults of a control request to the owner of the state.
pub(crate) async fn set_faults<M, T, F>(
    inbox: &Sender<M>,
    request: Request<Incoming>,
    message: F,
) -> Response<Body>
where
    T: DeserializeOwned,
    F: FnOnce(T) -> M,
{
    let Ok(faults) = from_json(&body(request).await) else {
        return status(StatusCode::BAD_REQUEST);
    };
    // The owner lives as long as the process.
    let _ = inbox.send(message(faults)).await;
    status(StatusCode::OK)
}

/// Serves one address until the process ends.
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
    let limits =
        ServerLimits { max_connections: 16_384, max_header_bytes: 65_536, idle_timeout: idle };
    let (_running, stop) = async_channel::bounded(1);
    serve_http(listener, limits, stop, handler).await;
    Ok(())
}
