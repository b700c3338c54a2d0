//! Sends orders to upstreams, one at a time, each over a connection of its own.

use std::time::Duration;

use async_channel::Receiver;
use cowslip_authority::{GuardStep, TargetView};
use cowslip_border::{from_json, order_to_proto, to_json};
use cowslip_name::Name;
use cowslip_net::{Client, ClientOptions, Exchange, collect, empty, full};
use cowslip_proto as proto;
use http::Request;

use super::HubHandle;
use crate::events::Event;
use crate::hub::{HubMessage, OrderJob};

const MAX_STATE_BYTES: usize = 65_536;
const STEP_TIMEOUT: Duration = Duration::from_secs(2);

/// Sends orders until all senders are gone.
pub(crate) async fn run_order_sender(me: Name, hub: HubHandle, jobs: Receiver<OrderJob>) {
    let options = ClientOptions { connect_timeout: STEP_TIMEOUT, user_timeout: STEP_TIMEOUT };
    let client = Client::new(options);
    while let Ok(job) = jobs.recv().await {
        let ended = send(&me, &client, &hub, &job).await;
        let is_done = match ended {
            Ok(is_done) => is_done,
            Err(reason) => {
                let upstream = &job.target.upstream;
                Event::OrderAbandoned.emit(&me, format_args!("{upstream}: {reason}"));
                false
            }
        };
        hub.tell(HubMessage::OrderEnded { job, is_done }).await;
    }
}

/// Returns whether the target's state showed the order as carried out.
async fn send(
    me: &Name,
    client: &Client,
    hub: &HubHandle,
    job: &OrderJob,
) -> Result<bool, &'static str> {
    let asked = job.clone();
    match hub.ask(|reply| HubMessage::BeforeConnect { job: asked, reply }).await {
        Some(GuardStep::ReadState) => {}
        // The hub offers the order again with its next tick.
        Some(GuardStep::WaitUntil(_)) => return Ok(false),
        _ => return Err("the term has ended"),
    }
    let mut exchange =
        client.connect(job.address).await.map_err(|_| "the upstream cannot be reached")?;
    let state = read_state(&mut exchange).await?;
    if state.name != job.target.upstream {
        return Err("another upstream answers at this address");
    }
    if state.in_flight > 0 && state.sequence < job.sequence {
        return Err("the upstream still has work");
    }
    let view = TargetView { fence: state.fence, sequence: state.sequence };
    let asked = job.clone();
    match hub.ask(|reply| HubMessage::BeforeWrite { job: asked, view, reply }).await {
        Some(GuardStep::Write) => {
            write(me, &mut exchange, job).await?;
            // The target's own later report decides, not the answer to the order.
            Ok(false)
        }
        Some(GuardStep::AlreadyDone) => Ok(true),
        _ => Err("the term has ended"),
    }
}

async fn read_state(exchange: &mut Exchange) -> Result<proto::EngineState, &'static str> {
    let request = Request::get("/state")
        .header("host", "upstream")
        .body(empty())
        .expect("constants form a request");
    let work = async {
        let response = exchange.send(request).await.map_err(|_| "the state cannot be read")?;
        let body = collect(response.into_body(), MAX_STATE_BYTES);
        let body = body.await.map_err(|_| "the state cannot be read")?;
        from_json(&body).map_err(|_| "the state is malformed")
    };
    compio::time::timeout(STEP_TIMEOUT, work).await.map_err(|_| "the state came too late")?
}

async fn write(me: &Name, exchange: &mut Exchange, job: &OrderJob) -> Result<(), &'static str> {
    let order = order_to_proto(job.term, job.sequence, job.action);
    let request = Request::post("/orders")
        .header("host", "upstream")
        .body(full(to_json(&order)))
        .expect("constants form a request");
    Event::OrderSent
        .emit(me, format_args!("{} term {} order {}", job.target.upstream, job.term, job.sequence));
    let sent = compio::time::timeout(STEP_TIMEOUT, exchange.send(request));
    let response =
        sent.await.map_err(|_| "the answer came too late")?.map_err(|_| "the connection broke")?;
    if response.status().is_success() { Ok(()) } else { Err("the upstream refused the order") }
}
