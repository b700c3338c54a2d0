//! Sends orders and usage reports, one at a time, each over a connection of its own.

use std::time::Duration;

use async_channel::Receiver;
use cowslip_authority::{OrderGuardStep, TargetState};
use cowslip_codec::{engine_order_to_proto, from_json, to_json};
use cowslip_name::Name;
use cowslip_net::{Client, ClientOptions, Connection, empty_body, full_body, read_body};
use cowslip_proto as proto;
use http::Request;
use serde::de::DeserializeOwned;

use super::HubHandle;
use crate::events::Event;
use crate::hub::{Errand, ErrandTask, HubMessage};

const MAX_STATE_BYTES: usize = 65_536;
const STEP_TIMEOUT: Duration = Duration::from_secs(2);

/// Sends until all senders of errands are gone.
pub(crate) async fn run_errands(me: Name, hub: HubHandle, errands: Receiver<Errand>) {
    let options = ClientOptions { connect_timeout: STEP_TIMEOUT, user_timeout: STEP_TIMEOUT };
    let client = Client::new(options);
    while let Ok(errand) = errands.recv().await {
        let is_done = match send(&me, &client, &hub, &errand).await {
            Ok(is_done) => is_done,
            Err(reason) => {
                let to = recipient(&errand);
                Event::OrderAbandoned.emit(&me, format_args!("{to}: {reason}"));
                false
            }
        };
        hub.tell(HubMessage::ErrandEnded { errand, is_done }).await;
    }
}

fn recipient(errand: &Errand) -> &str {
    match &errand.task {
        ErrandTask::Order { target, .. } => target.upstream.as_str(),
        ErrandTask::Report { .. } => "platform",
    }
}

/// Returns whether the target's state showed the errand as carried out.
async fn send(
    me: &Name,
    client: &Client,
    hub: &HubHandle,
    errand: &Errand,
) -> Result<bool, &'static str> {
    let asked = errand.clone();
    match hub.ask(|reply| HubMessage::BeforeConnect { errand: asked, reply }).await {
        Some(OrderGuardStep::ReadState) => {}
        // The hub offers the errand again with its next tick.
        Some(OrderGuardStep::WaitUntil(_)) => return Ok(false),
        _ => return Err("the term has ended"),
    }
    let mut connection =
        client.connect(errand.address).await.map_err(|_| "the target cannot be reached")?;
    let view = read_view(&mut connection, errand).await?;
    let asked = errand.clone();
    match hub.ask(|reply| HubMessage::BeforeWrite { errand: asked, view, reply }).await {
        Some(OrderGuardStep::Write) => {
            write(me, &mut connection, errand).await?;
            // The target's own later report decides, not the answer to the errand.
            Ok(false)
        }
        Some(OrderGuardStep::AlreadyDone) => Ok(true),
        _ => Err("the term has ended"),
    }
}

/// Reads the target's state over the connection that the errand will use.
async fn read_view(
    connection: &mut Connection,
    errand: &Errand,
) -> Result<TargetState, &'static str> {
    match &errand.task {
        ErrandTask::Order { target, .. } => {
            let state: proto::EngineState = read(connection, "/state").await?;
            if state.name != target.upstream {
                return Err("another upstream answers at this address");
            }
            if state.in_flight > 0 && state.sequence < errand.sequence {
                return Err("the upstream still has work");
            }
            Ok(TargetState { fence: state.fence, sequence: state.sequence })
        }
        ErrandTask::Report { .. } => {
            let state: proto::LastReportedWindow = read(connection, "/usage/state").await?;
            let sequence = state.last_window.map_or(0, |window| window + 1);
            Ok(TargetState { fence: 0, sequence })
        }
    }
}

async fn read<T>(connection: &mut Connection, path: &str) -> Result<T, &'static str>
where
    T: DeserializeOwned,
{
    let request = Request::get(path)
        .header("host", "target")
        .body(empty_body())
        .expect("constants form a request");
    let work = async {
        let response = connection.send(request).await.map_err(|_| "the state cannot be read")?;
        let body = read_body(response.into_body(), MAX_STATE_BYTES);
        let body = body.await.map_err(|_| "the state cannot be read")?;
        from_json(&body).map_err(|_| "the state is malformed")
    };
    compio::time::timeout(STEP_TIMEOUT, work).await.map_err(|_| "the state came too late")?
}

async fn write(
    me: &Name,
    connection: &mut Connection,
    errand: &Errand,
) -> Result<(), &'static str> {
    let (path, body) = match &errand.task {
        ErrandTask::Order { action, .. } => {
            ("/orders", to_json(&engine_order_to_proto(errand.term, errand.sequence, *action)))
        }
        ErrandTask::Report { rows } => {
            let report = proto::UsageReport { window: errand.sequence - 1, rows: rows.clone() };
            ("/usage", to_json(&report))
        }
    };
    let request = Request::post(path)
        .header("host", "target")
        .body(full_body(body))
        .expect("constants form a request");
    let (term, sequence) = (errand.term, errand.sequence);
    Event::OrderSent.emit(me, format_args!("{} term {term} order {sequence}", recipient(errand)));
    let sent = compio::time::timeout(STEP_TIMEOUT, connection.send(request));
    let response =
        sent.await.map_err(|_| "the answer came too late")?.map_err(|_| "the connection broke")?;
    if response.status().is_success() { Ok(()) } else { Err("the target refused") }
}
