//! HTTP server for callers: one handler per path.

use std::time::Duration;

use async_channel::Receiver;
use compio::net::TcpListener;
use cowslip_net::{Body, Caller, ServerLimits, serve_callers};
use cowslip_task::Expiry;
use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use serde_json::json;

use super::context::HandlerContext;
use super::error::{CallerError, json_response};
use super::memory::{memory_plan, start_memory};
use super::request::CallerRequest;
use super::{model, service};
use crate::hub::{AdmissionError, HubMessage, RequestedRoute};
use crate::metrics::Counter;

/// Longest idle time of a connection before it is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Longest time in which the body of a request must arrive.
const BODY_TIMEOUT: Duration = Duration::from_secs(30);
/// Path prefix of services.
const SERVICE_PREFIX: &str = "/services/";

impl HandlerContext {
    async fn handle(self, request: Request<Incoming>, caller: Caller) -> Response<Body> {
        let started_ms = self.clock.now_ms();
        let response = match Box::pin(self.route(request, &caller)).await {
            Ok(response) => response,
            Err(error) => {
                if !error.is_not_run {
                    self.metrics.increment(Counter::OutcomeUnknown);
                }
                error.response()
            }
        };
        self.metrics.record_latency(self.clock.now_ms().saturating_sub(started_ms));
        response
    }

    async fn route(
        &self,
        request: Request<Incoming>,
        caller: &Caller,
    ) -> Result<Response<Body>, CallerError> {
        let path = request.uri().path().to_owned();
        match (request.method(), path.as_str()) {
            (&Method::GET, "/healthz") => {
                return Ok(json_response(StatusCode::OK, "{}".to_owned()));
            }
            (&Method::GET, "/readyz") => return Ok(self.ready().await),
            _ => {}
        }
        let limit_bytes = usize::try_from(self.limits.max_body_bytes).unwrap_or(usize::MAX);
        let reading = CallerRequest::read(request, limit_bytes, caller.account(None));
        let read = self.service_end.within(BODY_TIMEOUT, reading).await;
        let (request, bearer) = read.unwrap_or_else(|expiry| match expiry {
            Expiry::Deadline => Err(CallerError::LATE_BODY),
            Expiry::ServiceEnd => Err(CallerError::from_admission_error(AdmissionError::NotReady)),
        })?;
        caller.body_arrived();
        match (&request.method, path.as_str()) {
            (&Method::GET, "/v1/models") => self.models(bearer).await,
            (&Method::POST, "/v1/chat/completions" | "/v1/completions") => {
                Box::pin(model::complete(self, request, bearer)).await
            }
            _ => {
                if let Some(rest) = path.strip_prefix(SERVICE_PREFIX) {
                    Box::pin(service::call(self, request, bearer, rest)).await
                } else {
                    let method = request.method.to_string();
                    let route = RequestedRoute::Open { method, path };
                    service::call_route(self, request, bearer, route).await
                }
            }
        }
    }

    async fn models(&self, bearer: Option<String>) -> Result<Response<Body>, CallerError> {
        let models = self.hub.request(|reply| HubMessage::Models { bearer, reply }).await;
        let models = models
            .unwrap_or(Err(AdmissionError::NotReady))
            .map_err(CallerError::from_admission_error)?;
        let rows: Vec<_> = models
            .iter()
            .map(
                |name| json!({ "id": name.as_str(), "object": "model", "owned_by": "cowslipvale" }),
            )
            .collect();
        let body = json!({ "object": "list", "data": rows }).to_string();
        Ok(json_response(StatusCode::OK, body))
    }

    /// Responds to a load balancer's readiness check.
    async fn ready(&self) -> Response<Body> {
        match self.hub.request(|reply| HubMessage::Ready { reply }).await {
            Some(Ok(())) => json_response(StatusCode::OK, "{}".to_owned()),
            Some(Err(reason)) => {
                let body = json!({ "reason": reason }).to_string();
                json_response(StatusCode::SERVICE_UNAVAILABLE, body)
            }
            None => json_response(StatusCode::SERVICE_UNAVAILABLE, "{}".to_owned()),
        }
    }
}

/// Serves callers until `stop` closes and all open requests are finished.
pub(crate) async fn run_caller_server(
    context: HandlerContext,
    listener: TcpListener,
    stop: Receiver<()>,
) {
    let plan = memory_plan(&context.limits);
    let limits = ServerLimits {
        max_connections: plan.connections,
        max_header_bytes: context.limits.max_header_bytes as usize,
        idle_timeout: IDLE_TIMEOUT,
        unread_timeout: Duration::from_millis(context.limits.unread_timeout_ms),
    };
    let memory = start_memory(&context, plan);
    let handler = move |request, caller| context.clone().handle(request, caller);
    serve_callers(listener, limits, memory, stop, handler).await;
}
