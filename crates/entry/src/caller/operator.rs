//! The operators' HTTP server.

use std::time::Duration;

use async_channel::Receiver;
use compio::net::TcpListener;
use cowslip_codec::{from_json, parse_ticket, to_json};
use cowslip_net::{Body, ServerLimits, read_body, serve_http};
use cowslip_proto as proto;
use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use serde_json::json;

use super::refusal::json_response;
use crate::hub::HubMessage;
use crate::tasks::HubHandle;

const MAX_TICKET_BYTES: usize = 4_194_304;
const LIMITS: ServerLimits = ServerLimits {
    max_connections: 64,
    max_header_bytes: 16_384,
    idle_timeout: Duration::from_secs(30),
};

/// Serves operators until `stop` closes.
pub(crate) async fn run_operator_server(listener: TcpListener, hub: HubHandle, stop: Receiver<()>) {
    serve_http(listener, LIMITS, stop, move |request| handle(hub.clone(), request)).await;
}

async fn handle(hub: HubHandle, request: Request<Incoming>) -> Response<Body> {
    let path = request.uri().path().to_owned();
    match (request.method().clone(), path.as_str()) {
        (Method::GET, "/status") => found(hub.ask(|reply| HubMessage::Status { reply }).await),
        (Method::GET, "/audit") => found(hub.ask(|reply| HubMessage::Audit { reply }).await),
        (Method::POST, "/objects") => object(&hub, request).await,
        (Method::POST, "/tickets") => ticket(&hub, request, false).await,
        (Method::POST, "/plans") => ticket(&hub, request, true).await,
        _ => problem(StatusCode::NOT_FOUND, "there is no such path"),
    }
}

fn found<T>(answer: Option<T>) -> Response<Body>
where
    T: serde::Serialize,
{
    match answer {
        Some(answer) => json_response(StatusCode::OK, to_json(&answer)),
        None => problem(StatusCode::SERVICE_UNAVAILABLE, "the instance is stopping"),
    }
}

fn problem(status: StatusCode, reason: &str) -> Response<Body> {
    json_response(status, json!({ "error": reason }).to_string())
}

async fn object(hub: &HubHandle, request: Request<Incoming>) -> Response<Body> {
    let Ok(body) = read_body(request.into_body(), MAX_TICKET_BYTES).await else {
        return problem(StatusCode::BAD_REQUEST, "the body cannot be read");
    };
    match from_json::<proto::ObjectKey>(&body) {
        Ok(key) => match hub.ask(|reply| HubMessage::Object { key, reply }).await.flatten() {
            Some(object) => found(Some(object)),
            None => problem(StatusCode::NOT_FOUND, "there is no such object"),
        },
        Err(error) => problem(StatusCode::BAD_REQUEST, &error.to_string()),
    }
}

async fn ticket(hub: &HubHandle, request: Request<Incoming>, dry_run: bool) -> Response<Body> {
    let Ok(body) = read_body(request.into_body(), MAX_TICKET_BYTES).await else {
        return problem(StatusCode::BAD_REQUEST, "the body cannot be read");
    };
    match parse_ticket(&body) {
        Ok(ticket) => {
            let ticket = Box::new(ticket);
            found(hub.ask(|reply| HubMessage::Ticket { ticket, dry_run, reply }).await)
        }
        Err(error) => problem(StatusCode::BAD_REQUEST, &error.to_string()),
    }
}
