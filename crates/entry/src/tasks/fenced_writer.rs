//! Sends fenced writes (orders and usage reports) one at a time, each over a new connection.

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
use crate::hub::{FencedWrite, FencedWriteKind, HubMessage};

/// Largest response to a read of a target's state, in bytes.
const MAX_STATE_BYTES: usize = 65_536;
/// Longest time for the connection, the read of the state and the write, each.
const STEP_TIMEOUT: Duration = Duration::from_secs(2);

/// Sends fenced writes until all senders are dropped.
pub(crate) async fn run_fenced_writer(
    instance_name: Name,
    hub: HubHandle,
    requests: Receiver<FencedWrite>,
) {
    let options = ClientOptions {
        connect_timeout: STEP_TIMEOUT,
        user_timeout: STEP_TIMEOUT,
        max_idle: STEP_TIMEOUT,
    };
    let client = Client::new(options);
    while let Ok(write) = requests.recv().await {
        let is_done = match run_write(&instance_name, &client, &hub, &write).await {
            Ok(is_done) => is_done,
            Err(reason) => {
                let to = recipient(&write);
                Event::FencedWriteAbandoned.emit(&instance_name, format_args!("{to}: {reason}"));
                false
            }
        };
        hub.send(HubMessage::FencedWriteEnded { write, is_done }).await;
    }
}

fn recipient(write: &FencedWrite) -> &str {
    match &write.kind {
        FencedWriteKind::Order { target, .. } => target.upstream.as_str(),
        FencedWriteKind::Report { .. } => "platform",
    }
}

/// Sends a fenced write; returns whether the target's state showed it as already applied.
async fn run_write(
    instance_name: &Name,
    client: &Client,
    hub: &HubHandle,
    write: &FencedWrite,
) -> Result<bool, &'static str> {
    let checked = write.clone();
    match hub.request(|reply| HubMessage::BeforeConnect { write: checked, reply }).await {
        Some(OrderGuardStep::ReadState) => {}
        // The hub queues the write again at its next tick.
        Some(OrderGuardStep::WaitUntil(_)) => return Ok(false),
        _ => return Err("the term has ended"),
    }
    let mut connection =
        client.connect(write.address).await.map_err(|_| "the target cannot be reached")?;
    let target_state = read_target_state(&mut connection, write).await?;
    let checked = write.clone();
    match hub.request(|reply| HubMessage::BeforeWrite { write: checked, target_state, reply }).await
    {
        Some(OrderGuardStep::Write) => {
            post(instance_name, &mut connection, write).await?;
            // The write counts as done once the target's state shows it, not by this response.
            Ok(false)
        }
        Some(OrderGuardStep::AlreadyDone) => Ok(true),
        _ => Err("the term has ended"),
    }
}

/// Reads the target's state over the connection that the write will use.
async fn read_target_state(
    connection: &mut Connection,
    write: &FencedWrite,
) -> Result<TargetState, &'static str> {
    match &write.kind {
        FencedWriteKind::Order { target, .. } => {
            let state: proto::EngineState = get(connection, "/state").await?;
            if state.name != target.upstream {
                return Err("another upstream responds at this address");
            }
            if state.in_flight > 0 && state.sequence < write.sequence {
                return Err("the upstream still has requests in flight");
            }
            Ok(TargetState { fence: state.fence, sequence: state.sequence })
        }
        FencedWriteKind::Report { .. } => {
            let state: proto::LastReportedWindow = get(connection, "/usage/state").await?;
            let sequence = state.last_window.map_or(0, |window| window + 1);
            Ok(TargetState { fence: 0, sequence })
        }
    }
}

async fn get<T>(connection: &mut Connection, path: &str) -> Result<T, &'static str>
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
    compio::time::timeout(STEP_TIMEOUT, work)
        .await
        .map_err(|_| "the read of the state timed out")?
}

async fn post(
    instance_name: &Name,
    connection: &mut Connection,
    write: &FencedWrite,
) -> Result<(), &'static str> {
    let (path, body) = match &write.kind {
        FencedWriteKind::Order { action, .. } => {
            ("/orders", to_json(&engine_order_to_proto(write.term, write.sequence, *action)))
        }
        FencedWriteKind::Report { rows } => {
            let report = proto::UsageReport { window: write.sequence - 1, rows: rows.clone() };
            ("/usage", to_json(&report))
        }
    };
    let request = Request::post(path)
        .header("host", "target")
        .body(full_body(body))
        .expect("constants form a request");
    let (term, sequence) = (write.term, write.sequence);
    Event::FencedWriteSent
        .emit(instance_name, format_args!("{} term {term} order {sequence}", recipient(write)));
    let send = compio::time::timeout(STEP_TIMEOUT, connection.send(request));
    let response =
        send.await.map_err(|_| "the write timed out")?.map_err(|_| "the connection was lost")?;
    if response.status().is_success() { Ok(()) } else { Err("the target refused the write") }
}
