//! HTTP server for operators.

use std::time::Duration;

use async_channel::Receiver;
use compio::net::TcpListener;
use cowslip_codec::{from_json, parse_ticket, to_json};
use cowslip_net::{Body, ServerLimits, read_body, serve_http};
use cowslip_proto as proto;
use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use serde_json::json;

use super::error::json_response;
use crate::hub::HubMessage;
use crate::tasks::HubHandle;

/// Largest body of an operator's request, in bytes.
const MAX_BODY_BYTES: usize = 4_194_304;
/// Limits of the operators' server.
const LIMITS: ServerLimits = ServerLimits {
    max_connections: 64,
    max_header_bytes: 16_384,
    idle_timeout: Duration::from_secs(30),
    unread_timeout: Duration::from_secs(30),
};

/// Serves operators until `stop` closes.
pub(crate) async fn run_operator_server(listener: TcpListener, hub: HubHandle, stop: Receiver<()>) {
    serve_http(listener, LIMITS, stop, move |request| handle(hub.clone(), request)).await;
}

async fn handle(hub: HubHandle, request: Request<Incoming>) -> Response<Body> {
    let path = request.uri().path().to_owned();
    match (request.method().clone(), path.as_str()) {
        (Method::GET, "/status") => {
            hub_response(hub.request(|reply| HubMessage::Status { reply }).await)
        }
        (Method::GET, "/audit") => {
            hub_response(hub.request(|reply| HubMessage::Audit { reply }).await)
        }
        (Method::POST, "/objects") => get_object(&hub, request).await,
        (Method::POST, "/tickets") => post_ticket(&hub, request, false).await,
        (Method::POST, "/plans") => post_ticket(&hub, request, true).await,
        _ => error_response(StatusCode::NOT_FOUND, "there is no such path"),
    }
}

fn hub_response<T>(reply: Option<T>) -> Response<Body>
where
    T: serde::Serialize,
{
    match reply {
        Some(reply) => json_response(StatusCode::OK, to_json(&reply)),
        None => error_response(StatusCode::SERVICE_UNAVAILABLE, "the instance is stopping"),
    }
}

fn error_response(status: StatusCode, reason: &str) -> Response<Body> {
    json_response(status, json!({ "error": reason }).to_string())
}

async fn get_object(hub: &HubHandle, request: Request<Incoming>) -> Response<Body> {
    let Ok(body) = read_body(request.into_body(), MAX_BODY_BYTES).await else {
        return error_response(StatusCode::BAD_REQUEST, "the body cannot be read");
    };
    match from_json::<proto::ObjectKey>(&body) {
        Ok(key) => match hub.request(|reply| HubMessage::Object { key, reply }).await.flatten() {
            Some(object) => hub_response(Some(object)),
            None => error_response(StatusCode::NOT_FOUND, "there is no such object"),
        },
        Err(error) => error_response(StatusCode::BAD_REQUEST, &error.to_string()),
    }
}

async fn post_ticket(hub: &HubHandle, request: Request<Incoming>, dry_run: bool) -> Response<Body> {
    let Ok(body) = read_body(request.into_body(), MAX_BODY_BYTES).await else {
        return error_response(StatusCode::BAD_REQUEST, "the body cannot be read");
    };
    match parse_ticket(&body) {
        Ok(ticket) => {
            let ticket = Box::new(ticket);
            hub_response(hub.request(|reply| HubMessage::Ticket { ticket, dry_run, reply }).await)
        }
        Err(error) => error_response(StatusCode::BAD_REQUEST, &error.to_string()),
    }
}
