//! The callers' HTTP server.

use std::rc::Rc;
use std::time::Duration;

use async_channel::Receiver;
use compio::net::TcpListener;
use cowslip_clock::Clock;
use cowslip_fleet::RetrySafety;
use cowslip_ingress::{Defect, check_head, exposes_key};
use cowslip_net::{
    Body, Caller, Client, ClientOptions, Error, Memory, ServerLimits, read_request_body,
    serve_callers,
};
use cowslip_task::{Expiry, ServiceEnd};
use http::{Request, Response};
use hyper::body::Incoming;

use super::in_flight_request::InFlightRequest;
use super::memory::{memory_plan, start_memory};
use super::shared::Shared;
use super::{buffered, stream};
use crate::config::Config;
use crate::events::{Event, event};
use crate::hub::{Assignment, HubMessage, Rejection, RouteQuery, UnplacedRequest};
use crate::metrics::Metrics;
use crate::platform::{CallerRequest, ErrorResponse, Platform};
use crate::tasks::HubHandle;

/// Connect timeout: some round trips between regions. TCP retransmits a lost SYN only after a
/// second, so another upstream is quicker.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Time that sent bytes may stay unacknowledged before a connection counts as broken
/// (`TCP_USER_TIMEOUT`).
const TCP_USER_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Longest idle time of a connection that released an unused prompt, as for the connections of
/// upstreams that state no keep-alive time.
const MAX_RELEASE_IDLE: Duration = Duration::from_millis(1_200);
/// Idle time after which a caller's connection is closed: several times the idle time that is
/// configured at callers, so that no caller sends a request while the server closes.
const IDLE_TIMEOUT: Duration = Duration::from_mins(2);
/// Timeout of a request whose caller states none.
const DEFAULT_TIMEOUT_MS: u64 = 60_000;

/// The callers' server, with the limits of its connections and the context of its handlers.
#[derive(Clone, Debug)]
pub(crate) struct CallerServer<P> {
    shared: Shared<P>,
    limits: Rc<ServerLimits>,
    memory: Memory,
}

impl<P> CallerServer<P>
where
    P: Platform,
{
    /// Returns a server whose requests in flight end with `service_end`.
    pub(crate) fn new(
        platform: P,
        config: &Config,
        clock: Clock,
        metrics: Metrics,
        hub: HubHandle,
        service_end: ServiceEnd,
    ) -> Self {
        let options = ClientOptions {
            connect_timeout: CONNECT_TIMEOUT,
            user_timeout: TCP_USER_TIMEOUT,
            max_idle: MAX_RELEASE_IDLE,
        };
        let limits = &config.settings.limits;
        let plan = memory_plan(limits);
        let limits = ServerLimits {
            max_connections: plan.connections,
            max_header_bytes: limits.max_header_bytes as usize,
            idle_timeout: IDLE_TIMEOUT,
            unread_timeout: Duration::from_millis(limits.unread_timeout_ms),
        };
        let memory = start_memory(plan, clock, metrics.clone());
        let client = Client::new(options);
        let shared = Shared::new(platform, hub, client, clock, metrics, service_end);
        Self { shared, limits: Rc::new(limits), memory }
    }

    async fn handle(self, request: Request<Incoming>, caller: Caller) -> Response<Body> {
        let platform = self.shared.platform.clone();
        match self.serve(request, &caller).await {
            Ok(response) => response,
            Err(error_response) => platform.error_response(&error_response),
        }
    }

    async fn serve(
        self,
        request: Request<Incoming>,
        caller: &Caller,
    ) -> Result<Response<Body>, ErrorResponse> {
        let started_ms = self.shared.clock.now_ms();
        let (parts, body) = request.into_parts();
        check_head(&parts)
            .map_err(|defect| self.reject("", ErrorResponse::bad_head(defect.code())))?;
        let head = self
            .shared
            .platform
            .decode_request_head(&parts)
            .map_err(|why| self.reject("", ErrorResponse::bad_head(why)))?;
        let path = parts.uri.path_and_query().map_or("/", |path| path.as_str()).to_owned();
        let query =
            RouteQuery { host: head.host.clone(), path: path.clone(), key: head.api_key.clone() };
        let authorized_request = self
            .shared
            .hub
            .request(|reply| HubMessage::Authorize { query, reply })
            .await
            .unwrap_or(Err(Rejection::NotReady))
            .map_err(|rejection| self.deny(&head.attempt_id, rejection))?;
        let authorized = authorized_request.authorized;
        let timeout_ms =
            head.timeout_ms.unwrap_or(DEFAULT_TIMEOUT_MS).min(authorized.route.timeout_ms);
        let deadline_ms = started_ms + timeout_ms;
        let account = caller.account(authorized.workspace.clone());
        let reading = read_request_body(body, authorized_request.max_body_bytes, &account);
        let timeout = Duration::from_millis(timeout_ms);
        let body = match self.shared.service_end.within(timeout, reading).await {
            Ok(Ok(body)) => Ok(body),
            Ok(Err(Error::TooLarge { .. })) => Err(ErrorResponse::TOO_LARGE),
            Ok(Err(Error::NoMemory)) => Err(ErrorResponse::NO_MEMORY),
            Ok(Err(_)) => Err(ErrorResponse::INCOMPLETE_BODY),
            Err(Expiry::Deadline) => Err(ErrorResponse::LATE_BODY),
            Err(Expiry::ServiceEnd) => Err(ErrorResponse::from_rejection(Rejection::Stopping)),
        };
        let body = body.map_err(|response| self.reject(&head.attempt_id, response))?;
        caller.body_arrived();
        let is_exposed = |key: &String| exposes_key(key, &parts.uri, &parts.headers, &body);
        if head.api_key.as_ref().is_some_and(is_exposed) {
            let error_response = ErrorResponse::bad_head(Defect::ExposedKey.code());
            return Err(self.reject(&head.attempt_id, error_response));
        }
        let caller_request = CallerRequest {
            head,
            method: parts.method,
            path,
            headers: parts.headers,
            body,
            account,
        };
        let prompt = caller_request.head.prompt.as_ref();
        let guard = self.shared.reserve_assignment();
        let unplaced = UnplacedRequest {
            id: guard.id(),
            attempt_id: caller_request.head.attempt_id.clone(),
            authorized: authorized.clone(),
            prompt: prompt.filter(|prompt| prompt.tokens > 0).cloned(),
            stated_tokens: prompt
                .map(|prompt| prompt.tokens.saturating_add(prompt.max_output_tokens))
                .filter(|tokens| *tokens > 0),
            shared_segments: prompt
                .map(|prompt| prompt.shared_segment_ids().collect())
                .unwrap_or_default(),
            malformed_segments: caller_request.head.malformed_segments,
            request_digest: request_digest(&caller_request, authorized.workspace.as_deref()),
            deadline_ms,
        };
        let assignment = self
            .shared
            .hub
            .request(|reply| HubMessage::Place { request: Box::new(unplaced), reply })
            .await
            .unwrap_or(Err(Rejection::NotReady))
            .map_err(|rejection| {
                let error_response = ErrorResponse::from_rejection(rejection);
                self.reject(&caller_request.head.attempt_id, error_response)
            })?;
        let retry_safety = authorized.route.retry_safety;
        let request = InFlightRequest::new(
            self.shared,
            caller_request,
            authorized,
            started_ms,
            deadline_ms,
            guard,
        );
        Ok(match retry_safety {
            RetrySafety::Stream { .. } => {
                let Assignment { prefill_upstream, upstream, hedge_after_ms } = assignment;
                stream::serve(request, prefill_upstream, upstream, hedge_after_ms).await
            }
            RetrySafety::Idempotent | RetrySafety::AtMostOnce => {
                buffered::serve(request, assignment.upstream, assignment.hedge_after_ms).await
            }
        })
    }

    /// Logs and counts a request that the configuration does not allow, with its version.
    fn deny(&self, attempt_id: &str, rejection: Rejection) -> ErrorResponse {
        let error_response = ErrorResponse::from_rejection(rejection);
        let (Rejection::NoRoute { version } | Rejection::BadKey { version }) = rejection else {
            return self.reject(attempt_id, error_response);
        };
        event!(
            Event::RequestRefused,
            request = attempt_id,
            reason = error_response.reason,
            status = error_response.status.as_u16(),
            version = version
        );
        self.count_refusal();
        error_response
    }

    /// Logs and counts a request that ends before it is placed.
    fn reject(&self, attempt_id: &str, error_response: ErrorResponse) -> ErrorResponse {
        event!(
            Event::RequestRefused,
            request = attempt_id,
            reason = error_response.reason,
            status = error_response.status.as_u16()
        );
        self.count_refusal();
        error_response
    }

    fn count_refusal(&self) {
        self.shared.metrics.requests.with_label_values(&["refused"]).inc();
    }
}

/// Hashes the caller's workspace, method, path and body; equal requests have the same digest at all
/// instances.
fn request_digest(caller_request: &CallerRequest, workspace: Option<&str>) -> [u8; 32] {
    let mut hasher = blake3::Hasher::new();
    for part in [workspace.unwrap_or(""), caller_request.method.as_str(), &caller_request.path] {
        hasher.update(part.as_bytes());
        hasher.update(&[0]);
    }
    hasher.update(&caller_request.body);
    *hasher.finalize().as_bytes()
}

/// Serves callers until `stop` closes and all requests in flight have ended.
pub(crate) async fn run_caller_server<P>(
    server: CallerServer<P>,
    listener: TcpListener,
    stop: Receiver<()>,
) where
    P: Platform,
{
    let (limits, memory) = (*server.limits, server.memory.clone());
    let handler = move |request, caller| server.clone().handle(request, caller);
    serve_callers(listener, limits, memory, stop, handler).await;
}
