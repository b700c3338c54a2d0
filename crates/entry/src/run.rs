//! Starts the tasks of an instance and shuts them down in order.

use std::time::Duration;

use async_channel::Receiver;
use compio::net::TcpListener;
use cowslip_net::bind;
use cowslip_proto as proto;
use cowslip_task::{ServiceEnd, Signal, finish_requests, watch_signals};
use futures_util::future::FutureExt;
use snafu::ResultExt;

use crate::caller::{HandlerContext, run_caller_server, run_operator_server};
use crate::config::Config;
use crate::error::{Error, ListenSnafu, RuntimeSnafu, SignalsSnafu};
use crate::events::Event;
use crate::hub::{Hub, HubMessage, OutboundChannels};
use crate::metrics::Metrics;
use crate::tasks::{
    HubHandle, PlatformClient, run_discovery, run_fenced_writer, run_log_reader, run_log_writer,
    run_peer_links, run_peer_server, run_ticker,
};
use cowslip_clock::Clock;

/// Most messages queued for the hub; when the queue is full, the sender waits.
const HUB_INBOX_CAPACITY: usize = 4_096;
/// Most append requests queued for the log; when the queue is full, a record is refused.
const APPEND_QUEUE_CAPACITY: usize = 4_096;
/// Most fenced writes queued; when the queue is full, the hub queues the write at a later tick.
const FENCED_WRITE_QUEUE_CAPACITY: usize = 64;
/// Most commands queued for the peer links; when the queue is full, a command is dropped, since
/// a newer one follows soon.
const PEER_COMMAND_QUEUE_CAPACITY: usize = 16;
/// Longest wait at shutdown for usage to reach the log; a queued release of the lease is written in
/// this time too.
const USAGE_FLUSH_TIMEOUT: Duration = Duration::from_secs(5);
/// Interval between checks whether all usage is in the log.
const USAGE_FLUSH_POLL: Duration = Duration::from_millis(100);

/// Runs an instance until SIGTERM or SIGINT.
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
    let signals = watch_signals().context(SignalsSnafu)?;
    let listeners = listen(&config).await?;
    let instance_name = config.settings.instance.name.clone();
    let metrics = Metrics::new(instance_name.as_str(), &config.settings.metrics.statsd_address)?;
    let clock = Clock::new();
    let (inbox, messages) = async_channel::bounded(HUB_INBOX_CAPACITY);
    let hub = HubHandle::new(inbox);
    spawn_hub_tasks(&config, clock, &metrics, &hub, messages);
    let (stop, stopped) = async_channel::bounded::<()>(1);
    let peers =
        run_peer_server(instance_name.clone(), listeners.peer, hub.clone(), stopped.clone());
    compio::runtime::spawn(peers).detach();
    let operators = run_operator_server(listeners.operator, hub.clone(), stopped.clone());
    compio::runtime::spawn(operators).detach();
    let (end_service, service_end) = async_channel::bounded::<()>(1);
    let service_end = ServiceEnd::new(service_end);
    let context = HandlerContext::new(&config, clock, metrics, hub.clone(), service_end);
    let callers =
        compio::runtime::spawn(run_caller_server(context, listeners.caller, stopped.clone()));
    Event::Started.emit(&instance_name, format_args!("callers at {}", config.caller_address));
    wait_for_stop(&signals).await;
    Event::Stopping.emit(&instance_name, format_args!("signal"));
    hub.request(|reply| HubMessage::Stop { reply }).await;
    drop(stop);
    let grace = Duration::from_millis(config.settings.limits.shutdown_grace_ms);
    finish_requests(callers, grace, end_service).await;
    flush_usage(&hub).await;
    Event::Stopped.emit(&instance_name, format_args!("shutdown is complete"));
    Ok(())
}

fn spawn_hub_tasks(
    config: &Config,
    clock: Clock,
    metrics: &Metrics,
    hub: &HubHandle,
    messages: Receiver<HubMessage>,
) {
    let settings = &config.settings;
    let instance_name = settings.instance.name.clone();
    let timeout_ms = settings.platform.request_timeout_ms;
    let platform =
        || PlatformClient::new(config.platform_address, Duration::from_millis(timeout_ms));
    let heartbeat = Duration::from_millis(settings.config.heartbeat_ms);
    let list_poll = Duration::from_millis(settings.platform.list_poll_ms);
    let group_commit = Duration::from_millis(settings.platform.group_commit_ms);
    let (records, append_requests) = async_channel::bounded(APPEND_QUEUE_CAPACITY);
    let (fenced_writes, fenced_write_requests) =
        async_channel::bounded(FENCED_WRITE_QUEUE_CAPACITY);
    let (peers, peer_commands) = async_channel::bounded(PEER_COMMAND_QUEUE_CAPACITY);
    let outbound = OutboundChannels { records, fenced_writes, peers };
    let own_row = proto::ListedInstance {
        name: instance_name.clone(),
        peer_address: settings.instance.peer_address.clone(),
        failure_domain: settings.instance.failure_domain.clone(),
        leaving: false,
    };
    let hub_task = Hub::new(config.clone(), clock, outbound, metrics.clone());
    let tasks = [
        hub_task.run(messages).boxed_local(),
        run_ticker(hub.clone()).boxed_local(),
        run_log_reader(instance_name.clone(), platform(), hub.clone(), clock).boxed_local(),
        run_log_writer(
            instance_name.clone(),
            platform(),
            clock,
            group_commit,
            timeout_ms,
            append_requests,
        )
        .boxed_local(),
        run_discovery(own_row, platform(), hub.clone(), list_poll).boxed_local(),
        run_peer_links(instance_name.clone(), hub.clone(), clock, heartbeat, peer_commands)
            .boxed_local(),
        run_fenced_writer(instance_name, hub.clone(), fenced_write_requests).boxed_local(),
    ];
    for task in tasks {
        compio::runtime::spawn(task).detach();
    }
}

/// Waits until the usage of the last requests is in the log.
async fn flush_usage(hub: &HubHandle) {
    let work = async {
        loop {
            compio::time::sleep(USAGE_FLUSH_POLL).await;
            if hub.request(|reply| HubMessage::FlushUsage { reply }).await != Some(false) {
                return;
            }
        }
    };
    // If the log is down for longer, the usage that is not in it is lost.
    let _ = compio::time::timeout(USAGE_FLUSH_TIMEOUT, work).await;
}

/// Waits for the signal to stop. The settings are read only at the start, so a signal to read them
/// again changes nothing.
async fn wait_for_stop(signals: &Receiver<Signal>) {
    while let Ok(Signal::Reload) = signals.recv().await {}
}
