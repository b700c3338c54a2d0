//! Streams up to their first byte: the prompt is read, then an engine answers.

use std::sync::Arc;

use cowslip_fleet::{SendOutcome, Upstream};
use cowslip_net::{Body, Client, body_channel, read_body};
use http::Response;

use super::exchange::{Failure, Reply, exchange, read_whole};
use super::job::Job;
use super::relay::Relay;
use super::whole::answered;
use crate::events::{Event, event};
use crate::platform::{ErrorResponse, Operation, Platform, PrefilledPrompt};

/// Time for an engine to free a prompt that nobody takes.
const FREE_TIMEOUT: std::time::Duration = std::time::Duration::from_secs(1);
/// Largest answer to a prompt that was read, in bytes.
const MAX_PREPARED_BYTES: usize = 65_536;

/// Serves a stream.
pub(super) async fn serve<E>(
    job: Job<E>,
    reader: Option<Arc<Upstream>>,
    answerer: Arc<Upstream>,
) -> Response<Body>
where
    E: Platform,
{
    let opening = open(&job, reader, answerer);
    let opened = compio::time::timeout(job.left(), opening).await;
    match opened.unwrap_or_else(|_| Err(job.out_of_time())) {
        Ok((upstream, reply)) if reply.parts.status.is_success() => {
            let (parts, incoming, connection) = reply.split();
            let head = job.shared.platform.caller_response_head(parts);
            let (sender, body) = body_channel();
            let refusal = job.shared.platform.clone();
            let relay = Relay::new(job, upstream, connection, sender);
            compio::runtime::spawn(relay.run(incoming)).detach();
            head.body(body)
                .unwrap_or_else(|_| refusal.error_response(&ErrorResponse::OUTCOME_UNKNOWN))
        }
        Ok((upstream, reply)) => {
            let client = &job.shared.client;
            match read_whole(&job.call, &upstream, client, reply).await {
                Ok((parts, body, _)) => answered(&job, parts, body),
                Err(_) => refuse(&job, &ErrorResponse::OUTCOME_UNKNOWN),
            }
        }
        Err(refused) => refuse(&job, &refused),
    }
}

fn refuse<E>(job: &Job<E>, refused: &ErrorResponse) -> Response<Body>
where
    E: Platform,
{
    job.on_refused(refused);
    job.shared.platform.error_response(refused)
}

/// Has the prompt read, if that is apart, and sends the request until an engine answers.
async fn open<E>(
    job: &Job<E>,
    reader: Option<Arc<Upstream>>,
    mut upstream: Arc<Upstream>,
) -> Result<(Arc<Upstream>, Reply), ErrorResponse>
where
    E: Platform,
{
    let mut prefilled = None;
    let mut refusals = 0;
    if let Some(reader) = reader {
        let read = read_prompt(job, &reader).await;
        upstream = job.answerer_after_read().await?;
        match read {
            Ok(kept) => prefilled = Some(kept),
            Err(failure) => job.after_unread(failure).await?,
        }
    }
    loop {
        let ran_before = job.may_have_run();
        job.on_sending();
        let operation = Operation::Serve {
            prefilled: prefilled.as_ref().map(|kept| &kept.prefilled),
            after_event: None,
        };
        let (platform, client) = (&job.shared.platform, &job.shared.client);
        let sent =
            exchange(platform, client, &job.call, &job.upstream_request(&upstream, operation))
                .await;
        let failure = match sent {
            Ok(reply) => {
                if let Some(kept) = &mut prefilled {
                    kept.is_taken = true;
                }
                return Ok((upstream, reply));
            }
            Err(failure) => failure,
        };
        job.on_failure(&upstream, failure, ran_before).await;
        let is_kept = match failure {
            Failure::NotArrived => true,
            // An engine that is full or changes its role has not taken the prompt; but if a second
            // one refuses, the prompt itself may be gone.
            Failure::NotRun | Failure::Misdirected => {
                refusals += 1;
                refusals < 2
            }
            Failure::Broken | Failure::Spoilt => false,
        };
        if !is_kept {
            prefilled = None;
        }
        upstream = job.again(failure).await.map_err(|refusal| job.out_of_upstreams(refusal))?;
    }
}

/// A prompt that was read; freed when dropped, unless an engine has taken it.
struct Kept<E>
where
    E: Platform,
{
    prefilled: PrefilledPrompt,
    is_taken: bool,
    platform: E,
    client: Client,
}

impl<E> Drop for Kept<E>
where
    E: Platform,
{
    fn drop(&mut self) {
        if self.is_taken {
            return;
        }
        let request = self.platform.release_prefilled(&self.prefilled);
        let (client, address) = (self.client.clone(), self.prefilled.address);
        compio::runtime::spawn(async move {
            let freeing = async {
                if let Ok(response) = client.send(address, request).await {
                    // The connection is used again only after its answer was read.
                    let _ = read_body(response.into_body(), MAX_PREPARED_BYTES).await;
                }
            };
            // What is not freed lapses by itself.
            let _ = compio::time::timeout(FREE_TIMEOUT, freeing).await;
        })
        .detach();
    }
}

/// Has an engine read the prompt.
async fn read_prompt<E>(job: &Job<E>, reader: &Upstream) -> Result<Kept<E>, Failure>
where
    E: Platform,
{
    let (platform, client) = (&job.shared.platform, &job.shared.client);
    let outgoing = job.upstream_request(reader, Operation::Prefill);
    let reading = async {
        let reply = exchange(platform, client, &job.call, &outgoing).await?;
        read_whole(&job.call, reader, client, reply).await
    };
    let began_ms = job.shared.clock.now_ms();
    let read = reading.await.and_then(|(parts, body, kept_for)| {
        let prefilled = parts.status.is_success().then(|| platform.decode_prefilled(reader, &body));
        let prefilled = prefilled.flatten().ok_or(Failure::Spoilt)?;
        Ok((prefilled, kept_for))
    });
    let took_ms = job.shared.clock.now_ms().saturating_sub(began_ms);
    event!(
        Event::PromptRead,
        request = job.call.head.attempt_id,
        upstream = reader.id,
        took_ms = took_ms,
        tokens = job.call.head.prompt.as_ref().map_or(0, |prompt| prompt.tokens),
        outcome = format_args!("{:?}", read.as_ref().err())
    );
    match read {
        Ok((prefilled, kept_for)) => {
            job.on_outcome(reader, SendOutcome::Answered, kept_for).await;
            let (platform, client) = (platform.clone(), client.clone());
            Ok(Kept { prefilled, is_taken: false, platform, client })
        }
        Err(failure) => {
            job.note_failure(reader, failure).await;
            Err(failure)
        }
    }
}
