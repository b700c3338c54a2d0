//! Streams from their first byte on: relays complete events, and resumes on another upstream where
//! the route allows it.

use std::pin::pin;
use std::sync::Arc;

use cowslip_fleet::{SendOutcome, Upstream};
use cowslip_net::ChunkSender;
use cowslip_task::Expiry;
use futures_util::future::{Either, select};
use http_body_util::BodyExt;
use hyper::body::Incoming;

use super::exchange::{Failure, UpstreamConnection, exchange};
use super::in_flight_request::InFlightRequest;
use super::sse::SseFramer;
use crate::events::{Event, event};
use crate::hub::HubMessage;
use crate::platform::{Operation, Platform};

/// Largest incomplete event, in bytes.
const MAX_EVENT_BYTES: usize = 1_048_576; // about a thousand times the size of a usual event

/// A stream from an upstream to a caller.
pub(super) struct Relay<P>
where
    P: Platform,
{
    request: InFlightRequest<P>,
    upstream: Arc<Upstream>,
    connection: Option<UpstreamConnection>,
    sender: ChunkSender,
    events: SseFramer,
    /// Whether an event of the stream has arrived.
    has_started: bool,
}

/// How a stream ended.
enum StreamEnd {
    /// The upstream sent the stream to its end.
    Complete,
    /// The stream broke off, for the given reason.
    Interrupted(String),
    /// The caller closed its connection.
    CallerDisconnected,
}

impl<P> Relay<P>
where
    P: Platform,
{
    pub(super) fn new(
        request: InFlightRequest<P>,
        upstream: Arc<Upstream>,
        connection: UpstreamConnection,
        sender: ChunkSender,
    ) -> Self {
        let events = SseFramer::default();
        Self { request, upstream, connection: Some(connection), sender, events, has_started: false }
    }

    /// Relays the stream until it ends, its deadline passes, or the caller disconnects.
    pub(super) async fn run(mut self, incoming: Incoming) {
        let end = self.run_to_end(incoming).await;
        let requests = &self.request.shared.metrics.requests;
        match end {
            StreamEnd::Complete => requests.with_label_values(&["answered"]).inc(),
            StreamEnd::CallerDisconnected => requests.with_label_values(&["left"]).inc(),
            StreamEnd::Interrupted(why) => {
                event!(
                    Event::RequestFailed,
                    request = self.request.caller_request.head.attempt_id,
                    upstream = self.upstream.id,
                    reason = why,
                    after_event = self.events.last_id().unwrap_or("")
                );
                requests.with_label_values(&["failed"]).inc();
                self.sender.abort().await;
            }
        }
    }

    async fn run_to_end(&mut self, incoming: Incoming) -> StreamEnd {
        let remaining = self.request.remaining();
        let sender = self.sender.clone();
        let service_end = self.request.shared.service_end.clone();
        let relaying = pin!(service_end.within(remaining, self.relay_all(incoming)));
        let closed = pin!(sender.closed());
        match select(relaying, closed).await {
            Either::Left((Ok(end), _)) => end,
            Either::Left((Err(Expiry::Deadline), _)) => {
                StreamEnd::Interrupted("the deadline has passed".to_owned())
            }
            Either::Left((Err(Expiry::ServiceEnd), _)) => {
                StreamEnd::Interrupted("this instance stops".to_owned())
            }
            Either::Right(_) => StreamEnd::CallerDisconnected,
        }
    }

    async fn relay_all(&mut self, mut incoming: Incoming) -> StreamEnd {
        loop {
            let why = match self.relay_upstream(incoming).await {
                StreamEnd::Interrupted(why) => why,
                end => return end,
            };
            self.connection = None;
            self.events.discard_partial();
            self.request.on_failure(&self.upstream, Failure::Broken, true).await;
            match self.resume().await {
                Some(next) => incoming = next,
                None => return StreamEnd::Interrupted(why),
            }
        }
    }

    /// Relays the events of one upstream.
    async fn relay_upstream(&mut self, mut incoming: Incoming) -> StreamEnd {
        while let Some(frame) = incoming.frame().await {
            let chunk = match frame.map(hyper::body::Frame::into_data) {
                Ok(Ok(chunk)) => chunk,
                // Trailers are ignored.
                Ok(Err(_)) => continue,
                Err(error) => return StreamEnd::Interrupted(error.to_string()),
            };
            if let Some(events) = self.events.push(&chunk) {
                self.record_first_event().await;
                if !self.sender.send(events).await {
                    return StreamEnd::CallerDisconnected;
                }
            }
            if self.events.buffered_bytes() > MAX_EVENT_BYTES {
                return StreamEnd::Interrupted("an event exceeds the size limit".to_owned());
            }
        }
        if self.events.has_partial_event() {
            return StreamEnd::Interrupted("the last event is incomplete".to_owned());
        }
        let client = &self.request.shared.client;
        let keep_alive =
            self.connection.take().and_then(|connection| connection.return_to_pool(client));
        self.request.report_outcome(&self.upstream, SendOutcome::Responded, keep_alive).await;
        // A crash may close a stream without a length before its first event.
        if self.has_started {
            self.request
                .send(HubMessage::RequestSucceeded { id: self.request.assignment_id })
                .await;
        }
        StreamEnd::Complete
    }

    /// Reports the start of the request and its latency, once.
    async fn record_first_event(&mut self) {
        if std::mem::replace(&mut self.has_started, true) {
            return;
        }
        let request = &self.request;
        request.send(HubMessage::RequestStarted { id: request.assignment_id }).await;
        let elapsed_ms = request.shared.clock.now_ms().saturating_sub(request.started_ms);
        request.shared.metrics.first_event_s.observe(elapsed_ms as f64 / 1_000.0);
        event!(
            Event::StreamStarted,
            request = request.caller_request.head.attempt_id,
            upstream = self.upstream.id,
            elapsed_ms = elapsed_ms,
            objective_ms = request.authorized.route.slo_ms
        );
    }

    /// Resumes the stream on another upstream after the newest complete event.
    async fn resume(&mut self) -> Option<Incoming> {
        let mut failure = Failure::Broken;
        loop {
            self.upstream = self.request.retry(failure).await.ok()?;
            let operation =
                Operation::Serve { prefilled: None, after_event: self.events.last_id() };
            let upstream_request = self.request.upstream_request(&self.upstream, operation);
            let shared = &self.request.shared;
            match exchange(shared, &self.request.caller_request, &upstream_request).await {
                Ok(response) if response.parts.status.is_success() => {
                    let (_, incoming, connection) = response.split();
                    self.connection = Some(connection);
                    return Some(incoming);
                }
                Ok(_) => return None,
                Err(next_failure) => {
                    self.request.on_failure(&self.upstream, next_failure, true).await;
                    failure = next_failure;
                }
            }
        }
    }
}
