//! Starts the tasks, and stops them in order.

use std::path::{Path, PathBuf};
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use async_channel::{Receiver, Sender};
use compio::net::TcpListener;
use cowslip_authority::Holder;
use cowslip_clock::Clock;
use cowslip_net::{Body, ServerLimits, bind, full_body, serve_http};
use cowslip_proto as proto;
use futures_util::future::{FutureExt, select};
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use snafu::ResultExt;

use crate::caller::{CallerServer, run_caller_server};
use crate::config::Config;
use crate::error::{Error, ListenSnafu, RuntimeSnafu};
use crate::events::{Event, event};
use crate::hub::{Hub, HubMessage};
use crate::metrics::Metrics;
use crate::platform::{Platform, Topic};
use crate::tasks::{
    AuthorityJob, HubHandle, Pace, run_authority, run_duties, run_follower, run_links,
    run_peer_server, run_presence, run_starts, run_ticker, withdraw, write_starts,
};

/// Messages that may wait for the hub; when full, the sender waits.
const HUB_INBOX: usize = 4_096;
/// Jobs that may wait for the authority's task; when full, the sender waits.
const JOB_QUEUE: usize = 16;
/// Lists that may wait for the links; when full, a newer one follows.
const LINK_QUEUE: usize = 4;
/// How long a read of the declaration waits at the store: changes come at once, and a quiet topic
/// costs few calls.
const DECLARATION_WAIT_MS: u64 = 2_000;
/// The same for the instances' entries: an instance must know the others before it needs them.
const INSTANCES_WAIT_MS: u64 = 4_000;
/// Pause between two such reads, so that entries that are written together come in one.
const INSTANCES_PAUSE: Duration = Duration::from_secs(1);
/// Connections at the addresses of the balancer and of operators.
const CONTROL_CONNECTIONS: usize = 64;
const CONTROL_IDLE: Duration = Duration::from_secs(30);
/// How long new connections are taken after the signal to stop: the balancer asks once a second
/// and leaves an instance out after two answers.
const BALANCER_NOTICE: Duration = Duration::from_millis(3_200);
/// Time before the end that is kept for the last writes into the store.
const LAST_WRITES: Duration = Duration::from_millis(700);

/// Runs an instance until it is told to stop.
///
/// # Errors
/// Returns an error when the instance cannot start.
pub fn run<E>(platform: E, config: Config, settings_path: &Path) -> Result<(), Error>
where
    E: Platform,
{
    let runtime = compio::runtime::Runtime::new().context(RuntimeSnafu)?;
    runtime.block_on(run_tasks(platform, config, settings_path.to_owned()))
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

async fn run_tasks<E>(platform: E, config: Config, settings_path: PathBuf) -> Result<(), Error>
where
    E: Platform,
{
    let listeners = listen(&config).await?;
    let metrics = Metrics::new()?;
    let clock = Clock::new();
    let instance = config.settings.instance.name.clone();
    let me = Holder { instance: instance.clone(), incarnation: fastrand::u64(..) };
    let (inbox, messages) = async_channel::bounded(HUB_INBOX);
    let hub = HubHandle::new(inbox);
    let (jobs, waiting_jobs) = async_channel::bounded(JOB_QUEUE);
    let control =
        Control { platform: &platform, config: &config, clock, me: &me, metrics: &metrics };
    control.spawn(&hub, messages, &jobs, waiting_jobs);
    let (stop, stopped) = async_channel::bounded::<()>(1);
    let peers = run_peer_server(listeners.peer, hub.clone(), stopped.clone());
    compio::runtime::spawn(peers).detach();
    spawn_answering(listeners.ready, hub.clone(), metrics.clone());
    spawn_answering(listeners.operator, hub.clone(), metrics.clone());
    let server = CallerServer::new(platform.clone(), &config, clock, metrics, hub.clone());
    let callers = compio::runtime::spawn(run_caller_server(server, listeners.caller, stopped));
    event!(
        Event::Started,
        version = env!("CARGO_PKG_VERSION"),
        callers = config.caller_address,
        domain = config.site.failure_domain,
        incarnation = me.incarnation
    );
    compio::runtime::spawn(reload_on_signal(settings_path)).detach();
    wait_for_signal().await;
    event!(Event::Stopping, grace_ms = config.stop_after().as_millis());
    let began_ms = clock.now_ms();
    hub.tell(HubMessage::Stop).await;
    retire(&jobs).await;
    compio::time::sleep(BALANCER_NOTICE).await;
    drop(stop);
    let passed = Duration::from_millis(clock.now_ms().saturating_sub(began_ms));
    let left = config.stop_after().saturating_sub(passed).saturating_sub(LAST_WRITES);
    let is_finished = compio::time::timeout(left, callers).await.is_ok();
    let last_writes = async {
        if let Some(Err(error)) = write_starts(&platform, &hub).await {
            event!(Event::AppendFailed, topic = "Starts", why = format_args!("{error:?}"));
        }
        withdraw(&platform, instance.as_str()).await;
    };
    // The platform ends the process when the time is over.
    let _ = compio::time::timeout(LAST_WRITES / 2, last_writes).await;
    event!(Event::Stopped, is_finished = is_finished);
    // The log is written by a thread of its own.
    compio::time::sleep(Duration::from_millis(20)).await;
    Ok(())
}

/// What the control tasks are made of.
struct Control<'a, E> {
    platform: &'a E,
    config: &'a Config,
    clock: Clock,
    me: &'a Holder,
    metrics: &'a Metrics,
}

impl<E> Control<'_, E>
where
    E: Platform,
{
    fn spawn(
        &self,
        hub: &HubHandle,
        messages: Receiver<HubMessage>,
        jobs: &Sender<AuthorityJob>,
        waiting_jobs: Receiver<AuthorityJob>,
    ) {
        let Self { platform, config, clock, me, metrics } = self;
        let (links, link_commands) = async_channel::bounded(LINK_QUEUE);
        let (platform, clock) = ((*platform).clone(), *clock);
        let state = Hub::new(
            platform.clone(),
            (*config).clone(),
            clock,
            (*me).clone(),
            (*metrics).clone(),
            links,
        );
        let follow = |topic: Topic, pause: Duration, wait_ms: u64| {
            let pace = Pace { pause, wait_ms };
            run_follower(platform.clone(), hub.clone(), (*metrics).clone(), topic, pace)
                .boxed_local()
        };
        let entry = proto::InstanceEntry {
            holder: proto::Holder { instance: me.instance.clone(), incarnation: me.incarnation },
            peer_address: config.peer_address.to_string(),
            failure_domain: config.settings.instance.failure_domain.clone(),
            written_at_ms: 0,
        };
        let name: Arc<str> = Arc::from(me.instance.as_str());
        let tasks = [
            state.run(messages).boxed_local(),
            run_ticker(hub.clone()).boxed_local(),
            follow(Topic::Declaration, Duration::ZERO, DECLARATION_WAIT_MS),
            follow(Topic::Roster, config.follow_every(), 0),
            follow(Topic::Instances, INSTANCES_PAUSE, INSTANCES_WAIT_MS),
            run_links(hub.clone(), config.feed_every(), link_commands).boxed_local(),
            run_presence(platform.clone(), hub.clone(), entry).boxed_local(),
            run_starts(platform.clone(), hub.clone()).boxed_local(),
            run_authority(
                platform.clone(),
                hub.clone(),
                clock,
                (*me).clone(),
                config.lease_times(),
                waiting_jobs,
            )
            .boxed_local(),
            run_duties(
                platform.clone(),
                hub.clone(),
                clock,
                (*metrics).clone(),
                name,
                config.window_times(),
                jobs.clone(),
            )
            .boxed_local(),
        ];
        for task in tasks {
            compio::runtime::spawn(task).detach();
        }
    }
}

async fn retire(jobs: &Sender<AuthorityJob>) {
    let (reply, retired) = async_channel::bounded(1);
    // The task answers after its last write, or has ended.
    if jobs.send(AuthorityJob::Retire { reply }).await.is_ok() {
        let _ = compio::time::timeout(LAST_WRITES, retired.recv()).await;
    }
}

/// Answers the balancer's question, and serves metrics, until the process ends.
fn spawn_answering(listener: TcpListener, hub: HubHandle, metrics: Metrics) {
    let limits = ServerLimits {
        max_connections: CONTROL_CONNECTIONS,
        max_header_bytes: 16_384,
        idle_timeout: CONTROL_IDLE,
    };
    let handler = move |request: Request<Incoming>| {
        let (hub, metrics) = (hub.clone(), metrics.clone());
        async move {
            let (status, text) = match request.uri().path() {
                "/metrics" => (StatusCode::OK, metrics.text()),
                "/healthz" => (StatusCode::OK, String::new()),
                "/readyz" => {
                    let is_ready = hub.ask(|reply| HubMessage::Ready { reply }).await;
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
        // The sender lives as long as this task: it never stops before the process.
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

/// Checks the settings file whenever the platform says that it has changed. What is in it holds
/// from the next start on; the signal must not end the process.
async fn reload_on_signal(path: PathBuf) {
    loop {
        if compio::signal::unix::signal(SIGHUP).await.is_err() {
            return;
        }
        match Config::load(&path) {
            Ok(_) => event!(Event::Reloaded, holds = "from the next start"),
            Err(error) => event!(Event::Reloaded, why = error),
        }
    }
}

async fn wait_for_signal() {
    let terminate = pin!(compio::signal::unix::signal(SIGTERM));
    let interrupt = pin!(compio::signal::unix::signal(SIGINT));
    select(terminate, interrupt).await;
}

const SIGHUP: i32 = 1;
const SIGINT: i32 = 2;
const SIGTERM: i32 = 15;
