//! The callers' HTTP server.

use std::rc::Rc;
use std::time::Duration;

use async_channel::Receiver;
use compio::net::TcpListener;
use cowslip_clock::Clock;
use cowslip_fleet::{Prompt, RetrySafety};
use cowslip_net::{Body, Client, ClientOptions, Error, ServerLimits, read_body, serve_http};
use http::{Request, Response};
use hyper::body::Incoming;

use super::job::Job;
use super::shared::Shared;
use super::{stream, whole};
use crate::config::Config;
use crate::events::{Event, event};
use crate::hub::{HubMessage, Question, Refusal, Wanted};
use crate::metrics::Metrics;
use crate::platform::{CallerRequest, ErrorResponse, Platform};
use crate::tasks::HubHandle;

/// Longest wait for a connection to an upstream: some round trips between regions. A lost opening
/// packet is repeated only after a second, so another upstream is quicker.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// How long sent bytes may stay unacknowledged before a connection counts as broken.
const USER_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Idle time after which a caller's connection is closed: several times what configurations allow
/// callers, so that no close crosses a request.
const IDLE_TIMEOUT: Duration = Duration::from_mins(2);
/// Longest wait for a request whose caller does not say how long it waits.
const DEFAULT_WAIT_MS: u64 = 60_000;

/// The server and what its handlers share.
#[derive(Clone, Debug)]
pub(crate) struct CallerServer<E> {
    shared: Shared<E>,
    limits: Rc<ServerLimits>,
}

impl<E> CallerServer<E>
where
    E: Platform,
{
    pub(crate) fn new(
        platform: E,
        config: &Config,
        clock: Clock,
        metrics: Metrics,
        hub: HubHandle,
    ) -> Self {
        let options =
            ClientOptions { connect_timeout: CONNECT_TIMEOUT, user_timeout: USER_TIMEOUT };
        let limits = &config.settings.limits;
        let limits = ServerLimits {
            max_connections: limits.max_connections as usize,
            max_header_bytes: limits.max_header_bytes as usize,
            idle_timeout: IDLE_TIMEOUT,
        };
        let client = Client::new(options);
        let shared = Shared { platform, hub, client, clock, metrics };
        Self { shared, limits: Rc::new(limits) }
    }

    async fn handle(self, request: Request<Incoming>) -> Response<Body> {
        let platform = self.shared.platform.clone();
        match self.serve(request).await {
            Ok(response) => response,
            Err(refused) => platform.error_response(&refused),
        }
    }

    async fn serve(self, request: Request<Incoming>) -> Result<Response<Body>, ErrorResponse> {
        let started_ms = self.shared.clock.now_ms();
        let (parts, body) = request.into_parts();
        let head = self.shared.platform.decode_request_head(&parts).map_err(|why| {
            event!(Event::RequestRefused, request = "", reason = why, status = 400);
            ErrorResponse::bad_head(why)
        })?;
        let path = parts.uri.path_and_query().map_or("/", |path| path.as_str()).to_owned();
        let question =
            Question { host: head.host.clone(), path: path.clone(), key: head.api_key.clone() };
        let admitted = self
            .shared
            .hub
            .ask(|reply| HubMessage::Admit { question, reply })
            .await
            .unwrap_or(Err(Refusal::NotReady))
            .map_err(|refusal| self.refuse(&head.attempt_id, refusal))?;
        let allowed = admitted.allowed;
        let wait_ms = head.timeout_ms.unwrap_or(DEFAULT_WAIT_MS).min(allowed.route.timeout_ms);
        let deadline_ms = started_ms + wait_ms;
        let reading = read_body(body, admitted.max_body_bytes);
        let body = match compio::time::timeout(Duration::from_millis(wait_ms), reading).await {
            Ok(Ok(body)) => body,
            Ok(Err(Error::TooLarge { .. })) => return Err(ErrorResponse::TOO_LARGE),
            Ok(Err(_)) => return Err(ErrorResponse::BROKEN_BODY),
            Err(_) => return Err(ErrorResponse::SLOW_BODY),
        };
        let call = CallerRequest { head, method: parts.method, path, headers: parts.headers, body };
        let wanted = Wanted {
            attempt_id: call.head.attempt_id.clone(),
            allowed: allowed.clone(),
            prompt: call.head.prompt.clone().filter(is_known),
            request_digest: request_digest(&call, allowed.workspace.as_deref()),
        };
        let grant = self
            .shared
            .hub
            .ask(|reply| HubMessage::Begin { wanted: Box::new(wanted), reply })
            .await
            .unwrap_or(Err(Refusal::NotReady))
            .map_err(|refusal| self.refuse(&call.head.attempt_id, refusal))?;
        let kind = allowed.route.kind;
        let job = Job::new(self.shared, call, allowed, started_ms, deadline_ms, grant.id);
        Ok(match kind {
            RetrySafety::Stream { .. } => {
                stream::serve(job, grant.prefill_upstream, grant.upstream).await
            }
            RetrySafety::Idempotent | RetrySafety::AtMostOnce => {
                whole::serve(job, grant.upstream).await
            }
        })
    }

    fn refuse(&self, attempt_id: &str, refusal: Refusal) -> ErrorResponse {
        let refused = ErrorResponse::from_refusal(refusal);
        event!(
            Event::RequestRefused,
            request = attempt_id,
            reason = refused.reason,
            status = refused.status.as_u16()
        );
        self.shared.metrics.requests.with_label_values(&["refused"]).inc();
        refused
    }
}

fn is_known(prompt: &Prompt) -> bool {
    prompt.tokens > 0
}

/// What tells a request that comes again, at whatever instance: its caller's workspace, method,
/// path and body.
fn request_digest(call: &CallerRequest, workspace: Option<&str>) -> [u8; 32] {
    let mut hasher = blake3::Hasher::new();
    for part in [workspace.unwrap_or(""), call.method.as_str(), &call.path] {
        hasher.update(part.as_bytes());
        hasher.update(&[0]);
    }
    hasher.update(&call.body);
    *hasher.finalize().as_bytes()
}

/// Serves callers until `stop` closes and all open requests are finished.
pub(crate) async fn run_caller_server<E>(
    server: CallerServer<E>,
    listener: TcpListener,
    stop: Receiver<()>,
) where
    E: Platform,
{
    let limits = *server.limits;
    serve_http(listener, limits, stop, move |request| server.clone().handle(request)).await;
}
