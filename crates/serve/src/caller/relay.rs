//! Streams from their first byte on: events are passed on whole, and go on elsewhere if they may.

use std::pin::pin;
use std::sync::Arc;

use cowslip_fleet::{SendOutcome, Upstream};
use cowslip_net::ChunkSender;
use futures_util::future::{Either, select};
use http_body_util::BodyExt;
use hyper::body::Incoming;

use super::exchange::{Failure, UpstreamConnection, exchange};
use super::job::Job;
use super::sse::EventCutter;
use crate::events::{Event, event};
use crate::hub::HubMessage;
use crate::platform::{Operation, Platform};

/// Largest unfinished event, in bytes.
const MAX_EVENT_BYTES: usize = 1_048_576; // some thousand times the size of a usual event

/// A stream under way.
pub(super) struct Relay<E>
where
    E: Platform,
{
    job: Job<E>,
    upstream: Arc<Upstream>,
    connection: Option<UpstreamConnection>,
    sender: ChunkSender,
    events: EventCutter,
    has_begun: bool,
}

/// How a stream ended.
enum End {
    /// The upstream sent all of it.
    Whole,
    /// The upstream broke off.
    Broken(String),
    /// The caller left.
    Left,
}

impl<E> Relay<E>
where
    E: Platform,
{
    pub(super) fn new(
        job: Job<E>,
        upstream: Arc<Upstream>,
        connection: UpstreamConnection,
        sender: ChunkSender,
    ) -> Self {
        let events = EventCutter::default();
        Self { job, upstream, connection: Some(connection), sender, events, has_begun: false }
    }

    /// Passes the stream on until it ends, its time is over, or the caller leaves.
    pub(super) async fn run(mut self, incoming: Incoming) {
        let end = self.run_to_end(incoming).await;
        let requests = &self.job.shared.metrics.requests;
        match end {
            End::Whole => requests.with_label_values(&["answered"]).inc(),
            End::Left => requests.with_label_values(&["left"]).inc(),
            End::Broken(why) => {
                event!(
                    Event::RequestFailed,
                    request = self.job.call.head.attempt_id,
                    upstream = self.upstream.id,
                    reason = why,
                    after_event = self.events.last_id().unwrap_or("")
                );
                requests.with_label_values(&["failed"]).inc();
                self.sender.abort().await;
            }
        }
    }

    async fn run_to_end(&mut self, incoming: Incoming) -> End {
        let left = self.job.left();
        let sender = self.sender.clone();
        let passing = pin!(compio::time::timeout(left, self.pass_all(incoming)));
        let closed = pin!(sender.closed());
        match select(passing, closed).await {
            Either::Left((Ok(end), _)) => end,
            Either::Left((Err(_), _)) => End::Broken("its time is over".to_owned()),
            Either::Right(_) => End::Left,
        }
    }

    async fn pass_all(&mut self, mut incoming: Incoming) -> End {
        loop {
            let why = match self.pass(incoming).await {
                End::Broken(why) => why,
                end => return end,
            };
            self.connection = None;
            self.events.cut();
            self.job.on_failure(&self.upstream, Failure::Broken, true).await;
            match self.resume().await {
                Some(next) => incoming = next,
                None => return End::Broken(why),
            }
        }
    }

    /// Passes one upstream's events on.
    async fn pass(&mut self, mut incoming: Incoming) -> End {
        while let Some(frame) = incoming.frame().await {
            let chunk = match frame.map(hyper::body::Frame::into_data) {
                Ok(Ok(chunk)) => chunk,
                // Trailers carry nothing here.
                Ok(Err(_)) => continue,
                Err(error) => return End::Broken(error.to_string()),
            };
            if let Some(whole) = self.events.push(&chunk) {
                self.on_event().await;
                if !self.sender.send(whole).await {
                    return End::Left;
                }
            }
            if self.events.len_bytes() > MAX_EVENT_BYTES {
                return End::Broken("an event is too long".to_owned());
            }
        }
        if self.events.is_torn() {
            return End::Broken("the last event is unfinished".to_owned());
        }
        let client = &self.job.shared.client;
        let kept_for = self.connection.take().and_then(|connection| connection.keep(client));
        self.job.on_outcome(&self.upstream, SendOutcome::Answered, kept_for).await;
        self.job.tell(HubMessage::Answered { grant: self.job.grant }).await;
        End::Whole
    }

    async fn on_event(&mut self) {
        if std::mem::replace(&mut self.has_begun, true) {
            return;
        }
        let job = &self.job;
        job.tell(HubMessage::Started { grant: job.grant }).await;
        let elapsed_ms = job.shared.clock.now_ms().saturating_sub(job.started_ms);
        job.shared.metrics.first_event_s.observe(elapsed_ms as f64 / 1_000.0);
        event!(
            Event::StreamBegun,
            request = job.call.head.attempt_id,
            upstream = self.upstream.id,
            elapsed_ms = elapsed_ms,
            objective_ms = job.allowed.route.slo_ms
        );
    }

    /// Lets another upstream go on after the newest whole event.
    async fn resume(&mut self) -> Option<Incoming> {
        let mut failure = Failure::Broken;
        loop {
            self.upstream = self.job.again(failure).await.ok()?;
            let operation =
                Operation::Serve { prefilled: None, after_event: self.events.last_id() };
            let outgoing = self.job.upstream_request(&self.upstream, operation);
            let shared = &self.job.shared;
            match exchange(&shared.platform, &shared.client, &self.job.call, &outgoing).await {
                Ok(reply) if reply.parts.status.is_success() => {
                    let (_, incoming, connection) = reply.split();
                    self.connection = Some(connection);
                    return Some(incoming);
                }
                Ok(_) => return None,
                Err(other) => {
                    self.job.on_failure(&self.upstream, other, true).await;
                    failure = other;
                }
            }
        }
    }
}
