//! The caller's HTTP server: one handler per path.

use std::time::Duration;

use async_channel::Receiver;
use compio::net::TcpListener;
use cowslip_net::{Body, Client, ClientOptions, ServerLimits, full, serve};
use cowslip_proto::LimitSettings;
use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use serde_json::json;

use super::refusal::CallerError;
use super::request::CallerRequest;
use super::{model, service};
use crate::config::Config;
use crate::hub::{Begun, Ending, Goal, Grant, HubMessage, Spent, Wanted};
use crate::metrics::{Count, Metrics};
use crate::tasks::HubHandle;
use cowslip_clock::Clock;

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
const USER_TIMEOUT: Duration = Duration::from_secs(10);
/// Path of plain services.
const SERVICE_PREFIX: &str = "/services/";

/// What every request handler needs.
#[derive(Clone, Debug)]
pub(crate) struct CallerServer {
    pub(crate) hub: HubHandle,
    pub(crate) client: Client,
    pub(crate) limits: LimitSettings,
    pub(crate) clock: Clock,
    pub(crate) metrics: Metrics,
    pub(crate) me: cowslip_name::Name,
}

impl CallerServer {
    pub(crate) fn new(config: &Config, clock: Clock, metrics: Metrics, hub: HubHandle) -> Self {
        let options =
            ClientOptions { connect_timeout: CONNECT_TIMEOUT, user_timeout: USER_TIMEOUT };
        Self {
            hub,
            client: Client::new(options),
            limits: config.settings.limits.clone(),
            clock,
            metrics,
            me: config.settings.instance.name.clone(),
        }
    }

    /// Longest time of one request.
    pub(crate) fn deadline(&self) -> Duration {
        Duration::from_millis(self.limits.request_deadline_ms)
    }

    /// Asks for an upstream.
    pub(crate) async fn begin(&self, wanted: Wanted) -> Result<Lease, CallerError> {
        match self.hub.ask(|reply| HubMessage::Begin { wanted, reply }).await {
            Some(Begun::Granted(grant)) => Ok(Lease { server: self.clone(), grant: Some(grant) }),
            Some(Begun::Refused(refusal)) => Err(CallerError::from_refusal(refusal)),
            None => Err(CallerError::from_refusal(crate::hub::Refusal::NotReady)),
        }
    }

    async fn handle(self, request: Request<Incoming>) -> Response<Body> {
        let started_ms = self.clock.now_ms();
        let response = match self.route(request).await {
            Ok(response) => response,
            Err(error) => {
                if !error.is_not_run {
                    self.metrics.count(Count::OutcomeUnknown);
                }
                error.response()
            }
        };
        self.metrics.latency(self.clock.now_ms().saturating_sub(started_ms));
        response
    }

    async fn route(&self, request: Request<Incoming>) -> Result<Response<Body>, CallerError> {
        let path = request.uri().path().to_owned();
        match (request.method(), path.as_str()) {
            (&Method::GET, "/healthz") => {
                return Ok(json_response(StatusCode::OK, "{}".to_owned()));
            }
            (&Method::GET, "/readyz") => return Ok(self.ready().await),
            _ => {}
        }
        let limit_bytes = usize::try_from(self.limits.max_body_bytes).unwrap_or(usize::MAX);
        let (request, bearer) = CallerRequest::read(request, limit_bytes).await?;
        match (&request.method, path.as_str()) {
            (&Method::GET, "/v1/models") => self.models(bearer).await,
            (&Method::POST, "/v1/chat/completions" | "/v1/completions") => {
                model::complete(self, request, bearer).await
            }
            _ => {
                if let Some(rest) = path.strip_prefix(SERVICE_PREFIX) {
                    service::call(self, request, bearer, rest).await
                } else {
                    let method = request.method.to_string();
                    let goal = Goal::Open { method, path };
                    service::call_goal(self, request, bearer, goal).await
                }
            }
        }
    }

    async fn models(&self, bearer: Option<String>) -> Result<Response<Body>, CallerError> {
        let models = self.hub.ask(|reply| HubMessage::Models { bearer, reply }).await;
        let models = models
            .unwrap_or(Err(crate::hub::Refusal::NotReady))
            .map_err(CallerError::from_refusal)?;
        let rows: Vec<_> = models
            .iter()
            .map(
                |name| json!({ "id": name.as_str(), "object": "model", "owned_by": "cowslipvale" }),
            )
            .collect();
        let body = json!({ "object": "list", "data": rows }).to_string();
        Ok(json_response(StatusCode::OK, body))
    }

    /// Whether a balancer may send requests here.
    async fn ready(&self) -> Response<Body> {
        match self.hub.ask(|reply| HubMessage::Ready { reply }).await {
            Some(Ok(())) => json_response(StatusCode::OK, "{}".to_owned()),
            Some(Err(reason)) => {
                let body = json!({ "reason": reason }).to_string();
                json_response(StatusCode::SERVICE_UNAVAILABLE, body)
            }
            None => json_response(StatusCode::SERVICE_UNAVAILABLE, "{}".to_owned()),
        }
    }
}

pub(crate) fn json_response(status: StatusCode, body: String) -> Response<Body> {
    Response::builder()
        .status(status)
        .header("content-type", "application/json")
        .body(full(body))
        .expect("constants form a response")
}

/// The right to use an upstream, given back when dropped.
#[derive(Debug)]
pub(crate) struct Lease {
    server: CallerServer,
    grant: Option<Grant>,
}

impl Lease {
    /// The grant in force.
    pub(crate) fn grant(&self) -> &Grant {
        self.grant.as_ref().expect("a lease holds its grant until it is given back")
    }

    /// Gives the grant back with what became of the upstream and what was used.
    pub(crate) async fn end(mut self, ending: Ending, spent: Spent) {
        if let Some(grant) = self.grant.take() {
            self.server.hub.tell(HubMessage::End { grant: grant.id, ending, spent }).await;
        }
    }

    /// Exchanges the grant for one at another upstream.
    pub(crate) async fn move_on(mut self, ending: Ending) -> Result<Self, CallerError> {
        let grant = self.grant().id;
        self.grant = None;
        let hub = self.server.hub.clone();
        match hub.ask(|reply| HubMessage::Move { grant, ending, reply }).await {
            Some(Begun::Granted(grant)) => {
                self.grant = Some(grant);
                Ok(self)
            }
            Some(Begun::Refused(refusal)) => Err(CallerError::from_refusal(refusal)),
            None => Err(CallerError::from_refusal(crate::hub::Refusal::NotReady)),
        }
    }
}

impl Drop for Lease {
    /// The caller is gone: its handler was dropped in the middle.
    fn drop(&mut self) {
        if let Some(grant) = self.grant.take() {
            let hub = self.server.hub.clone();
            let spent = Spent::default();
            let message = HubMessage::End { grant: grant.id, ending: Ending::Finished, spent };
            compio::runtime::spawn(async move { hub.tell(message).await }).detach();
        }
    }
}

/// Serves callers until `stop` closes and all open requests are finished.
pub(crate) async fn run_caller_server(
    server: CallerServer,
    listener: TcpListener,
    stop: Receiver<()>,
) {
    let limits = ServerLimits {
        max_connections: server.limits.max_connections as usize,
        max_header_bytes: server.limits.max_header_bytes as usize,
        idle_timeout: IDLE_TIMEOUT,
    };
    serve(listener, limits, stop, move |request| server.clone().handle(request)).await;
}
