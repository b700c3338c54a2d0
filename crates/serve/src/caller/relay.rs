//! Streams from their first byte on: relays complete events, and resumes on another upstream where
//! the route allows it.

use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use cowslip_fleet::{
    Failure, Framing, Interruption, Progress, ResponseKind, SendOutcome, Upstream, check_end,
};
use cowslip_net::{ChunkSender, Error};
use cowslip_task::Expiry;
use futures_util::future::{Either, select};
use http_body_util::BodyExt;

use super::exchange::{EMPTY_UNTIL_CLOSE, UpstreamBody, exchange, interruption, log_failure};
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
    Interrupted(Failure, String),
    /// The stream was given up.
    Expired(Expiry),
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
        sender: ChunkSender,
    ) -> Self {
        let events = SseFramer::default();
        Self { request, upstream, sender, events, has_started: false }
    }

    /// Relays the stream until it ends, its deadline passes, or the caller disconnects.
    pub(super) async fn run(mut self, body: UpstreamBody) {
        let end = self.run_to_end(body).await;
        let requests = &self.request.shared.metrics.requests;
        let why = match end {
            StreamEnd::Complete => {
                requests.with_label_values(&["answered"]).inc();
                return;
            }
            StreamEnd::CallerDisconnected => {
                requests.with_label_values(&["left"]).inc();
                return;
            }
            StreamEnd::Interrupted(_, why) => why,
            StreamEnd::Expired(Expiry::Deadline) => "the deadline has passed".to_owned(),
            StreamEnd::Expired(Expiry::ServiceEnd) => "this instance stops".to_owned(),
        };
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

    async fn run_to_end(&mut self, body: UpstreamBody) -> StreamEnd {
        let remaining = self.request.remaining();
        let sender = self.sender.clone();
        let service_end = self.request.shared.service_end.clone();
        let relaying = pin!(service_end.within(remaining, self.relay_all(body)));
        let closed = pin!(sender.closed());
        match select(relaying, closed).await {
            Either::Left((result, _)) => result.unwrap_or_else(StreamEnd::Expired),
            Either::Right(_) => StreamEnd::CallerDisconnected,
        }
    }

    async fn relay_all(&mut self, mut body: UpstreamBody) -> StreamEnd {
        loop {
            let (failure, why) = match self.relay_upstream(body).await {
                StreamEnd::Interrupted(failure, why) => (failure, why),
                end => return end,
            };
            log_failure(&self.request.caller_request, &self.upstream, failure, &why);
            self.events.discard_partial();
            self.request.on_failure(&self.upstream, failure).await;
            match self.resume(failure).await {
                Some(next) => body = next,
                None => return StreamEnd::Interrupted(failure, why),
            }
        }
    }

    /// Relays the events of one upstream.
    async fn relay_upstream(&mut self, body: UpstreamBody) -> StreamEnd {
        let UpstreamBody { mut incoming, framing, connection } = body;
        let mut progress = Progress::Empty;
        while let Some(frame) = incoming.frame().await {
            let chunk = match frame.map(hyper::body::Frame::into_data) {
                Ok(Ok(chunk)) => chunk,
                // Trailers are ignored.
                Ok(Err(_)) => continue,
                Err(error) => {
                    let error = Error::Http { source: error };
                    let failure = Failure::of_interruption(true, interruption(&error));
                    return StreamEnd::Interrupted(failure, error.to_string());
                }
            };
            if let Some(events) = self.events.push(&chunk) {
                self.record_first_event(connection.age()).await;
                if !self.sender.send(events).await {
                    return StreamEnd::CallerDisconnected;
                }
            }
            if self.events.buffered_bytes() > MAX_EVENT_BYTES {
                let failure = Failure::of_interruption(true, Interruption::Malformed);
                return StreamEnd::Interrupted(failure, "an event exceeds the size limit".into());
            }
            progress = if self.events.has_partial_event() {
                Progress::Inside
            } else {
                Progress::BetweenEvents
            };
        }
        if let Err(failure) = check_end(ResponseKind::Stream, framing, progress) {
            let why = match progress {
                Progress::Empty => EMPTY_UNTIL_CLOSE,
                Progress::Inside | Progress::BetweenEvents => "the last event is incomplete",
            };
            return StreamEnd::Interrupted(failure, why.to_owned());
        }
        let keep_alive = connection.return_to_pool(&self.request.shared.client);
        self.request.report_outcome(&self.upstream, SendOutcome::Responded, keep_alive).await;
        let id = self.request.assignment_id();
        match (progress, framing) {
            (Progress::BetweenEvents, Framing::ConnectionEnd) => {
                let upstream = self.upstream.clone();
                self.request.send(HubMessage::StreamEndUnproven { id, upstream }).await;
            }
            (Progress::BetweenEvents, Framing::Length | Framing::Chunked) => {
                self.request.send(HubMessage::RequestSucceeded { id }).await;
            }
            (Progress::Empty | Progress::Inside, _) => {}
        }
        StreamEnd::Complete
    }

    /// Reports the start of the request and its latency, once.
    async fn record_first_event(&mut self, connection_age: Duration) {
        if std::mem::replace(&mut self.has_started, true) {
            return;
        }
        let request = &self.request;
        let (id, upstream) = (request.assignment_id(), self.upstream.id.clone());
        let connection_age = Some(connection_age);
        request.send(HubMessage::RequestStarted { id, upstream, connection_age }).await;
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
    async fn resume(&mut self, mut failure: Failure) -> Option<UpstreamBody> {
        loop {
            self.upstream = self.request.retry(failure).await.ok()?;
            let operation =
                Operation::Serve { prefilled: None, after_event: self.events.last_id() };
            let upstream_request = self.request.upstream_request(&self.upstream, operation);
            self.request.mark_may_have_run();
            let shared = &self.request.shared;
            match exchange(shared, &self.request.caller_request, &upstream_request).await {
                Ok(response) if response.parts.status.is_success() => {
                    return Some(response.split().1);
                }
                Ok(_) => return None,
                Err(next_failure) => {
                    self.request.on_failure(&self.upstream, next_failure).await;
                    failure = next_failure;
                }
            }
        }
    }
}
