//! Starts the tasks, and stops them in order.

use std::sync::Arc;
use std::time::Duration;

use async_channel::{Receiver, Sender};
use compio::net::TcpListener;
use cowslip_authority::Holder;
use cowslip_clock::Clock;
use cowslip_fleet::StopSchedule;
use cowslip_net::{Body, ServerLimits, bind, full_body, serve_http};
use cowslip_proto as proto;
use cowslip_task::{ServiceEnd, Signal, finish_requests, watch_signals};
use futures_util::future::FutureExt;
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use snafu::ResultExt;

use crate::caller::{CallerServer, run_caller_server};
use crate::config::{Config, SettingsSource};
use crate::error::{Error, ListenSnafu, RuntimeSnafu, SignalsSnafu};
use crate::events::{Event, event};
use crate::hub::{Hub, HubMessage};
use crate::metrics::Metrics;
use crate::platform::{Platform, Topic};
use crate::tasks::{
    HubHandle, LeaseMessage, PollSchedule, StoreClient, deregister, run_duties, run_lease,
    run_links, run_peer_server, run_quarantine, run_registration, run_reservations, run_starts,
    run_ticker, run_topic_reader, watch_restores, write_starts,
};

/// Most queued messages to the hub; senders wait while the queue is full.
const HUB_INBOX_MESSAGES: usize = 4_096;
/// Most queued messages to the lease task; senders wait while the queue is full.
const LEASE_INBOX_MESSAGES: usize = 16;
/// Most queued lists of peers for the links; while the queue is full, the hub sends its list later.
const LINK_INBOX_MESSAGES: usize = 4;
/// Time that the store holds a read of the declaration: changes arrive at once, and an unchanged
/// topic costs few calls.
const DECLARATION_WAIT_MS: u64 = 2_000;
/// Time that the store holds a read of the instances' entries: changes arrive at once, so an
/// instance knows its peers before it needs them.
const INSTANCES_WAIT_MS: u64 = 4_000;
/// Delay before the first read of the instances' entries, so that most instances that start together
/// find each other in it.
const INSTANCES_FIRST_DELAY: Duration = Duration::from_millis(100);
/// Shortest delay between two reads of the instances' entries, so that entries written together
/// arrive in one read.
const INSTANCES_MIN_DELAY: Duration = Duration::from_secs(1);
/// Longest delay between two reads of the instances' entries: a new instance finds the others by its
/// own first read, so these only need to learn of it in time to replace a feeder.
const INSTANCES_MAX_DELAY: Duration = Duration::from_secs(8);
/// Most connections at each of the addresses for the balancer and for operators.
const CONTROL_CONNECTIONS: usize = 64;
/// Idle time after which such a connection is closed.
const CONTROL_IDLE: Duration = Duration::from_secs(30);
/// Longest wait for the release of the lease at shutdown.
const STEP_DOWN_TIMEOUT: Duration = Duration::from_millis(700);
/// Calls to brokers that wait for their links; there is at most one for each broker.
const RESERVATION_CALLS: usize = 64;
/// Longest time for the last writes to the store.
const FINAL_WRITES: Duration = Duration::from_millis(350);

/// Runs an instance until it receives SIGTERM or SIGINT.
///
/// # Errors
/// Returns an error when the instance cannot start.
pub fn run<P>(platform: P, config: Config, source: &SettingsSource) -> Result<(), Error>
where
    P: Platform,
{
    let runtime = compio::runtime::Runtime::new().context(RuntimeSnafu)?;
    runtime.block_on(run_tasks(platform, config, source))
}

struct Listeners {
    caller: TcpListener,
    ready: TcpListener,
    peer: TcpListener,
    operator: TcpListener,
}

async fn listen(config: &Config) -> Result<Listeners, Error> {
    Ok(Listeners {
        caller: bind(config.caller_address).await.context(ListenSnafu)?,
        ready: bind(config.ready_address).await.context(ListenSnafu)?,
        peer: bind(config.peer_address).await.context(ListenSnafu)?,
        operator: bind(config.operator_address).await.context(ListenSnafu)?,
    })
}

async fn run_tasks<P>(platform: P, config: Config, source: &SettingsSource) -> Result<(), Error>
where
    P: Platform,
{
    let signals = watch_signals().context(SignalsSnafu)?;
    let listeners = listen(&config).await?;
    let metrics = Metrics::new()?;
    let clock = Clock::new();
    let instance = config.settings.instance.name.clone();
    let identity = Holder { instance: instance.clone(), incarnation: fastrand::u64(..) };
    let (inbox, messages) = async_channel::bounded(HUB_INBOX_MESSAGES);
    let hub = HubHandle::new(inbox);
    let (lease, lease_messages) = async_channel::bounded(LEASE_INBOX_MESSAGES);
    let control = ControlTasks {
        platform: &platform,
        config: &config,
        clock,
        identity: &identity,
        metrics: &metrics,
    };
    control.spawn(&hub, messages, &lease, lease_messages);
    let (stop, stopped) = async_channel::bounded::<()>(1);
    let peers = run_peer_server(listeners.peer, hub.clone(), metrics.clone(), stopped.clone());
    compio::runtime::spawn(peers).detach();
    spawn_control_server(listeners.ready, hub.clone(), metrics.clone());
    spawn_control_server(listeners.operator, hub.clone(), metrics.clone());
    let (end_service, service_end) = async_channel::bounded::<()>(1);
    let service_end = ServiceEnd::new(service_end);
    let server =
        CallerServer::new(platform.clone(), &config, clock, metrics, hub.clone(), service_end);
    let callers = compio::runtime::spawn(run_caller_server(server, listeners.caller, stopped));
    event!(
        Event::Started,
        version = env!("CARGO_PKG_VERSION"),
        callers = config.caller_address,
        domain = config.locality.failure_domain,
        incarnation = identity.incarnation
    );
    wait_for_stop(&signals, source).await;
    let stop_after_ms = u64::try_from(config.stop_after().as_millis()).unwrap_or(u64::MAX);
    event!(Event::Stopping, grace_ms = stop_after_ms);
    let schedule = StopSchedule::new(clock.now_ms(), stop_after_ms);
    hub.send(HubMessage::Stop { schedule }).await;
    step_down(&lease).await;
    sleep_until(clock, schedule.accept_until_ms).await;
    drop(stop);
    let serving = time_until(clock, schedule.serve_until_ms);
    let is_finished = finish_requests(callers, serving, end_service).await;
    let client = StoreClient::new(platform, hub.clone());
    let final_writes = async {
        if let Some(Err(error)) = write_starts(&client, &hub).await {
            event!(Event::AppendFailed, topic = "Starts", why = format_args!("{error:?}"));
        }
        deregister(&client, instance.as_str()).await;
    };
    // The platform kills the process when the time for the shutdown is over.
    let _ = compio::time::timeout(FINAL_WRITES, final_writes).await;
    event!(Event::Stopped, is_finished = is_finished);
    // The log thread needs a moment to write the last lines.
    compio::time::sleep(Duration::from_millis(20)).await;
    Ok(())
}

/// Context of the tasks other than the HTTP servers.
struct ControlTasks<'a, P> {
    platform: &'a P,
    config: &'a Config,
    clock: Clock,
    identity: &'a Holder,
    metrics: &'a Metrics,
}

impl<P> ControlTasks<'_, P>
where
    P: Platform,
{
    fn spawn(
        &self,
        hub: &HubHandle,
        messages: Receiver<HubMessage>,
        lease: &Sender<LeaseMessage>,
        lease_messages: Receiver<LeaseMessage>,
    ) {
        let Self { platform, config, clock, identity, metrics } = self;
        let (links, link_commands) = async_channel::bounded(LINK_INBOX_MESSAGES);
        let (reservations, reservation_calls) = async_channel::bounded(RESERVATION_CALLS);
        let (platform, clock) = ((*platform).clone(), *clock);
        let hub_task = Hub::new(
            platform.clone(),
            (*config).clone(),
            clock,
            (*identity).clone(),
            (*metrics).clone(),
            links,
            reservations,
        );
        let client = StoreClient::new(platform.clone(), hub.clone());
        let read_topic = |topic: Topic, schedule: PollSchedule| {
            let (client, hub, metrics) = (client.clone(), hub.clone(), (*metrics).clone());
            async move {
                let restores = watch_restores(&hub).await;
                run_topic_reader(client, hub, metrics, topic, schedule, restores).await;
            }
            .boxed_local()
        };
        let entry = proto::InstanceEntry {
            holder: proto::Holder {
                instance: identity.instance.clone(),
                incarnation: identity.incarnation,
            },
            peer_address: config.peer_address.to_string(),
            failure_domain: config.settings.instance.failure_domain.clone(),
            written_at_ms: 0,
        };
        let name: Arc<str> = Arc::from(identity.instance.as_str());
        let tasks = [
            hub_task.run(messages).boxed_local(),
            run_ticker(hub.clone()).boxed_local(),
            read_topic(
                Topic::Declaration,
                PollSchedule::regular(Duration::ZERO, DECLARATION_WAIT_MS),
            ),
            read_topic(Topic::Roster, PollSchedule::regular(config.follow_every(), 0)),
            read_topic(
                Topic::Instances,
                PollSchedule {
                    first_delay: INSTANCES_FIRST_DELAY,
                    min_delay: INSTANCES_MIN_DELAY,
                    max_delay: INSTANCES_MAX_DELAY,
                    wait_ms: INSTANCES_WAIT_MS,
                },
            ),
            run_links(hub.clone(), (*metrics).clone(), config.feed_every(), link_commands)
                .boxed_local(),
            run_reservations(hub.clone(), reservation_calls).boxed_local(),
            {
                let (client, hub) = (client.clone(), hub.clone());
                async move {
                    let restores = watch_restores(&hub).await;
                    run_registration(client, hub, entry, restores).await;
                }
                .boxed_local()
            },
            run_starts(client.clone(), hub.clone()).boxed_local(),
            run_quarantine(client.clone(), hub.clone()).boxed_local(),
            run_lease(
                client.clone(),
                hub.clone(),
                clock,
                (*identity).clone(),
                config.lease_times(),
                config.window_times(),
                lease_messages,
            )
            .boxed_local(),
            run_duties(
                platform.clone(),
                hub.clone(),
                clock,
                (*metrics).clone(),
                name,
                config.window_times(),
                lease.clone(),
            )
            .boxed_local(),
        ];
        for task in tasks {
            compio::runtime::spawn(task).detach();
        }
    }
}

/// Returns the time until `at_ms` by the local clock.
fn time_until(clock: Clock, at_ms: u64) -> Duration {
    Duration::from_millis(at_ms.saturating_sub(clock.now_ms()))
}

async fn sleep_until(clock: Clock, at_ms: u64) {
    compio::time::sleep(time_until(clock, at_ms)).await;
}

async fn step_down(lease: &Sender<LeaseMessage>) {
    let (reply, stepped_down) = async_channel::bounded(1);
    // The lease task replies after its last write, unless it has ended.
    if lease.send(LeaseMessage::StepDown { reply }).await.is_ok() {
        let _ = compio::time::timeout(STEP_DOWN_TIMEOUT, stepped_down.recv()).await;
    }
}

/// Serves readiness and liveness for the balancer, and metrics, until the process ends.
fn spawn_control_server(listener: TcpListener, hub: HubHandle, metrics: Metrics) {
    let limits = ServerLimits {
        max_connections: CONTROL_CONNECTIONS,
        max_header_bytes: 16_384,
        idle_timeout: CONTROL_IDLE,
        unread_timeout: CONTROL_IDLE,
    };
    let handler = move |request: Request<Incoming>| {
        let (hub, metrics) = (hub.clone(), metrics.clone());
        async move {
            let (status, text) = match request.uri().path() {
                "/metrics" => (StatusCode::OK, metrics.text()),
                "/healthz" => (StatusCode::OK, String::new()),
                "/readyz" => {
                    let is_ready = hub.request(|reply| HubMessage::Ready { reply }).await;
                    match is_ready {
                        Some(true) => (StatusCode::OK, String::new()),
                        _ => (StatusCode::SERVICE_UNAVAILABLE, String::new()),
                    }
                }
                _ => (StatusCode::NOT_FOUND, String::new()),
            };
            respond(status, text)
        }
    };
    compio::runtime::spawn(async move {
        // The sender is kept as long as this task, so the server runs until the process ends.
        let (_stop, stopped) = async_channel::bounded(1);
        serve_http(listener, limits, stopped, handler).await;
    })
    .detach();
}

fn respond(status: StatusCode, text: String) -> Response<Body> {
    Response::builder()
        .status(status)
        .header("content-type", "text/plain; version=0.0.4")
        .body(full_body(text))
        .expect("constants form a response")
}

/// Waits for the signal to stop. Checks the settings on each SIGHUP, which the platform sends
/// when the file has changed; changes take effect at the next start.
async fn wait_for_stop(signals: &Receiver<Signal>, source: &SettingsSource) {
    while let Ok(Signal::Reload) = signals.recv().await {
        match Config::load(source) {
            Ok(_) => event!(Event::Reloaded, holds = "from the next start"),
            Err(error) => event!(Event::Reloaded, why = error),
        }
    }
}
