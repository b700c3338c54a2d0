//! Starts the tasks, and stops them in order.

use std::time::Duration;

use async_channel::Receiver;
use compio::net::TcpListener;
use cowslip_net::bind;
use cowslip_proto as proto;
use futures_util::future::{FutureExt, select};
use snafu::ResultExt;
use std::pin::pin;

use crate::caller::{Shared, run_caller_server, run_operator_server};
use crate::config::Config;
use crate::error::{Error, ListenSnafu, RuntimeSnafu};
use crate::events::Event;
use crate::hub::{Hub, HubMessage, Outlets};
use crate::metrics::Metrics;
use crate::tasks::{
    HubHandle, Platform, run_errands, run_links, run_list, run_log_reader, run_log_writer,
    run_peer_server, run_ticker,
};
use cowslip_clock::Clock;

/// Messages that may wait for the hub; when full, the sender waits.
const HUB_INBOX: usize = 4_096;
/// Records that may wait for the log; when full, a record is refused.
const RECORD_QUEUE: usize = 4_096;
/// Errands that may wait; when full, the errand is offered again.
const ERRAND_QUEUE: usize = 64;
/// Commands that may wait for the links; when full, a newer one follows soon.
const LINK_QUEUE: usize = 16;
/// Longest wait for usage and the release of the term to reach the log at shutdown.
const SETTLE_TIME: Duration = Duration::from_secs(5);
const SETTLE_POLL: Duration = Duration::from_millis(100);

/// Runs an instance until it is told to stop.
///
/// # Errors
/// Returns an error when the instance cannot start.
pub fn run(config: Config) -> Result<(), Error> {
    let runtime = compio::runtime::Runtime::new().context(RuntimeSnafu)?;
    runtime.block_on(run_tasks(config))
}

struct Listeners {
    caller: TcpListener,
    peer: TcpListener,
    operator: TcpListener,
}

async fn listen(config: &Config) -> Result<Listeners, Error> {
    Ok(Listeners {
        caller: bind(config.caller_address).await.context(ListenSnafu)?,
        peer: bind(config.peer_address).await.context(ListenSnafu)?,
        operator: bind(config.operator_address).await.context(ListenSnafu)?,
    })
}

async fn run_tasks(config: Config) -> Result<(), Error> {
    let listeners = listen(&config).await?;
    let me = config.settings.instance.name.clone();
    let metrics = Metrics::new(me.as_str(), &config.settings.metrics.statsd_address)?;
    let clock = Clock::new();
    let (inbox, messages) = async_channel::bounded(HUB_INBOX);
    let hub = HubHandle::new(inbox);
    spawn_control(&config, clock, &metrics, &hub, messages);
    let (stop, stopped) = async_channel::bounded::<()>(1);
    let peers = run_peer_server(me.clone(), listeners.peer, hub.clone(), stopped.clone());
    compio::runtime::spawn(peers).detach();
    let operators = run_operator_server(listeners.operator, hub.clone(), stopped.clone());
    compio::runtime::spawn(operators).detach();
    let shared = Shared::new(&config, clock, metrics, hub.clone());
    let callers =
        compio::runtime::spawn(run_caller_server(shared, listeners.caller, stopped.clone()));
    Event::Started.emit(&me, format_args!("callers at {}", config.caller_address));
    wait_for_signal().await;
    Event::Stopping.emit(&me, format_args!("signal"));
    hub.ask(|reply| HubMessage::Stop { reply }).await;
    drop(stop);
    let grace = Duration::from_millis(config.settings.limits.shutdown_grace_ms);
    let _ = compio::time::timeout(grace, callers).await;
    settle(&hub).await;
    Event::Stopped.emit(&me, format_args!("all requests are finished"));
    Ok(())
}

fn spawn_control(
    config: &Config,
    clock: Clock,
    metrics: &Metrics,
    hub: &HubHandle,
    messages: Receiver<HubMessage>,
) {
    let settings = &config.settings;
    let me = settings.instance.name.clone();
    let timeout_ms = settings.platform.request_timeout_ms;
    let platform = || Platform::new(config.platform_address, Duration::from_millis(timeout_ms));
    let heartbeat = Duration::from_millis(settings.config.heartbeat_ms);
    let list_poll = Duration::from_millis(settings.platform.list_poll_ms);
    let group_commit = Duration::from_millis(settings.platform.group_commit_ms);
    let (records, record_jobs) = async_channel::bounded(RECORD_QUEUE);
    let (errands, errand_jobs) = async_channel::bounded(ERRAND_QUEUE);
    let (links, link_commands) = async_channel::bounded(LINK_QUEUE);
    let outlets = Outlets { records, errands, links };
    let own_row = proto::ListedInstance {
        name: me.clone(),
        peer_address: settings.instance.peer_address.clone(),
        failure_domain: settings.instance.failure_domain.clone(),
        leaving: false,
    };
    let state = Hub::new(config.clone(), clock, outlets, metrics.clone());
    let tasks = [
        state.run(messages).boxed_local(),
        run_ticker(hub.clone()).boxed_local(),
        run_log_reader(me.clone(), platform(), hub.clone(), clock).boxed_local(),
        run_log_writer(me.clone(), platform(), clock, group_commit, timeout_ms, record_jobs)
            .boxed_local(),
        run_list(own_row, platform(), hub.clone(), list_poll).boxed_local(),
        run_links(me.clone(), hub.clone(), clock, heartbeat, link_commands).boxed_local(),
        run_errands(me, hub.clone(), errand_jobs).boxed_local(),
    ];
    for task in tasks {
        compio::runtime::spawn(task).detach();
    }
}

/// Waits until the usage of the last requests is in the log.
async fn settle(hub: &HubHandle) {
    let work = async {
        loop {
            compio::time::sleep(SETTLE_POLL).await;
            if hub.ask(|reply| HubMessage::Settle { reply }).await != Some(false) {
                return;
            }
        }
    };
    // When the log is down for longer, what is not in it is lost.
    let _ = compio::time::timeout(SETTLE_TIME, work).await;
}

async fn wait_for_signal() {
    let terminate = pin!(compio::signal::unix::signal(SIGTERM));
    let interrupt = pin!(compio::signal::unix::signal(SIGINT));
    select(terminate, interrupt).await;
}

const SIGINT: i32 = 2;
const SIGTERM: i32 = 15;
