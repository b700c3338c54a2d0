//! Requests whose answer is given whole.

use std::sync::Arc;

use bytes::Bytes;
use cowslip_fleet::{RetrySafety, SendOutcome, Upstream};
use cowslip_net::{Body, full_body};
use http::Response;
use http::response::Parts;

use super::exchange::{Failure, Whole, exchange, read_whole};
use super::job::Job;
use crate::hub::HubMessage;
use crate::platform::{ErrorResponse, Operation, Platform};

/// Sends the request until an upstream answers it or no further send is allowed.
pub(super) async fn serve<E>(job: Job<E>, answerer: Arc<Upstream>) -> Response<Body>
where
    E: Platform,
{
    let sending = send_until_answered(&job, answerer);
    let ended = compio::time::timeout(job.left(), sending).await;
    match ended.unwrap_or_else(|_| Err(job.out_of_time())) {
        Ok((parts, body)) => answered(&job, parts, body),
        Err(refused) => {
            job.on_refused(&refused);
            job.shared.platform.error_response(&refused)
        }
    }
}

async fn send_until_answered<E>(
    job: &Job<E>,
    mut upstream: Arc<Upstream>,
) -> Result<(Parts, Bytes), ErrorResponse>
where
    E: Platform,
{
    let mut failed_answer = None;
    loop {
        let failure = match send(job, &upstream).await {
            Ok((parts, body, kept_for)) => {
                job.tell(HubMessage::Started { grant: job.grant }).await;
                let is_failure = parts.status.is_server_error();
                let outcome = if is_failure { SendOutcome::Failed } else { SendOutcome::Answered };
                job.on_outcome(&upstream, outcome, kept_for).await;
                if !is_failure {
                    job.tell(HubMessage::Answered { grant: job.grant }).await;
                }
                if !is_failure || job.allowed.route.kind != RetrySafety::Idempotent {
                    return Ok((parts, body));
                }
                failed_answer = Some((parts, body));
                Failure::Spoilt
            }
            Err(failure) => failure,
        };
        match job.again(failure).await {
            Ok(next) => upstream = next,
            Err(refusal) => return failed_answer.ok_or_else(|| job.out_of_upstreams(refusal)),
        }
    }
}

async fn send<E>(job: &Job<E>, upstream: &Upstream) -> Result<Whole, Failure>
where
    E: Platform,
{
    let ran_before = job.may_have_run();
    job.on_sending();
    let (platform, client) = (&job.shared.platform, &job.shared.client);
    let operation = Operation::Serve { prefilled: None, after_event: None };
    let reply =
        exchange(platform, client, &job.call, &job.upstream_request(upstream, operation)).await;
    let answer = match reply {
        Ok(reply) => read_whole(&job.call, upstream, client, reply).await,
        Err(failure) => Err(failure),
    };
    if let Err(failure) = answer {
        job.on_failure(upstream, failure, ran_before).await;
    }
    answer
}

/// Hands an upstream's whole answer to the caller.
pub(super) fn answered<E>(job: &Job<E>, parts: Parts, body: Bytes) -> Response<Body>
where
    E: Platform,
{
    let elapsed_ms = job.shared.clock.now_ms().saturating_sub(job.started_ms);
    job.shared.metrics.answer_s.observe(elapsed_ms as f64 / 1_000.0);
    job.shared.metrics.requests.with_label_values(&["answered"]).inc();
    let platform = &job.shared.platform;
    platform
        .caller_response_head(parts)
        .body(full_body(body))
        .unwrap_or_else(|_| platform.error_response(&ErrorResponse::OUTCOME_UNKNOWN))
}
