//! The platform: an append-only log with offsets, and a lagging instance list.

use std::collections::{BTreeMap, VecDeque};
use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use async_channel::{Receiver, Sender};
use bytes::Bytes;
use cowslip_codec::from_json;
use cowslip_name::Name;
use cowslip_net::Body;
use cowslip_proto as proto;
use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;

use crate::ask::{Reply, ask};
use crate::http::{body, json, serve_forever, set_faults, status};

const POLL: Duration = Duration::from_millis(5);

/// How the platform runs.
#[derive(Clone, Debug)]
pub struct PlatformOptions {
    /// Addresses to listen on.
    pub listen: Vec<SocketAddr>,
    /// Newest entries that are kept.
    pub keep_entries: u64,
    /// Appends that are taken in one second.
    pub appends_per_s: u32,
    /// How long the instance list lags.
    pub list_lag_ms: u64,
    /// Idle connections are closed after this time.
    pub idle_ms: u64,
}

enum Message {
    Append { entry: String, reply: Reply<Option<(u64, bool)>> },
    Read { from_offset: u64, max_entries: usize, reply: Reply<proto::LogPage> },
    Announce(proto::ListedInstance),
    List { reply: Reply<proto::InstanceList> },
    Report { report: proto::UsageReport, reply: Reply<bool> },
    UsageState { reply: Reply<proto::LastReportedWindow> },
    UsageLog { reply: Reply<proto::UsageLog> },
    SetFaults(proto::PlatformFaults),
    Faults { reply: Reply<proto::PlatformFaults> },
}

struct State {
    options: PlatformOptions,
    first_offset: u64,
    entries: VecDeque<String>,
    second: u64,
    appends_this_second: u32,
    instances: BTreeMap<Name, (Instant, proto::ListedInstance)>,
    reports: Vec<proto::UsageReport>,
    usage_reads: u64,
    faults: proto::PlatformFaults,
    start: Instant,
}

/// Runs the platform until the process ends.
///
/// # Errors
/// Returns an error when an address cannot be listened on.
pub fn run_platform(options: PlatformOptions) -> io::Result<()> {
    compio::runtime::Runtime::new()?.block_on(async {
        let (inbox, messages) = async_channel::bounded(1_024);
        let addresses = options.listen.clone();
        let idle = Duration::from_millis(options.idle_ms);
        compio::runtime::spawn(State::new(options).run(messages)).detach();
        let servers = addresses.into_iter().map(|address| {
            let inbox = inbox.clone();
            let handler = move |request| handle(address.port(), inbox.clone(), request);
            compio::runtime::spawn(serve_forever(address, idle, handler))
        });
        for server in servers.collect::<Vec<_>>() {
            server.await.map_err(|_| io::Error::other("a server ended"))??;
        }
        Ok(())
    })
}

impl State {
    fn new(options: PlatformOptions) -> Self {
        Self {
            options,
            first_offset: 0,
            entries: VecDeque::new(),
            second: 0,
            appends_this_second: 0,
            instances: BTreeMap::new(),
            reports: Vec::new(),
            usage_reads: 0,
            faults: proto::PlatformFaults {
                lose_usage_answers: 0,
                hold_usage_state_ms: 0,
                outage: false,
                cut_ports: Vec::new(),
                lose_append_answers: 0,
                delay_ms: 0,
                removed_instances: Vec::new(),
            },
            start: Instant::now(),
        }
    }

    async fn run(mut self, messages: Receiver<Message>) {
        while let Ok(message) = messages.recv().await {
            match message {
                Message::Append { entry, reply } => {
                    let _ = reply.try_send(self.append(entry));
                }
                Message::Read { from_offset, max_entries, reply } => {
                    let _ = reply.try_send(self.page(from_offset, max_entries));
                }
                Message::Announce(row) => {
                    self.instances.insert(row.name.clone(), (Instant::now(), row));
                }
                Message::List { reply } => {
                    let _ = reply.try_send(self.list());
                }
                Message::Report { report, reply } => {
                    self.reports.push(report);
                    let is_lost = self.faults.lose_usage_answers > 0;
                    self.faults.lose_usage_answers =
                        self.faults.lose_usage_answers.saturating_sub(1);
                    let _ = reply.try_send(is_lost);
                }
                Message::UsageState { reply } => {
                    self.usage_reads += 1;
                    let last_window = self.reports.iter().map(|report| report.window).max();
                    let _ = reply.try_send(proto::LastReportedWindow { last_window });
                }
                Message::UsageLog { reply } => {
                    let (reports, state_reads) = (self.reports.clone(), self.usage_reads);
                    let _ = reply.try_send(proto::UsageLog { reports, state_reads });
                }
                Message::SetFaults(faults) => self.faults = faults,
                Message::Faults { reply } => {
                    let _ = reply.try_send(self.faults.clone());
                }
            }
        }
    }

    /// Offset of the entry and whether its answer is to be lost, or `None` over the rate limit.
    fn append(&mut self, entry: String) -> Option<(u64, bool)> {
        let second = self.start.elapsed().as_secs();
        if second != self.second {
            self.second = second;
            self.appends_this_second = 0;
        }
        if self.appends_this_second >= self.options.appends_per_s {
            return None;
        }
        self.appends_this_second += 1;
        self.entries.push_back(entry);
        let offset = self.next_offset() - 1;
        while self.entries.len() as u64 > self.options.keep_entries {
            self.entries.pop_front();
            self.first_offset += 1;
        }
        let is_lost = self.faults.lose_append_answers > 0;
        self.faults.lose_append_answers = self.faults.lose_append_answers.saturating_sub(1);
        Some((offset, is_lost))
    }

    fn next_offset(&self) -> u64 {
        self.first_offset + self.entries.len() as u64
    }

    fn page(&self, from_offset: u64, max_entries: usize) -> proto::LogPage {
        let from_offset = from_offset.max(self.first_offset);
        let skipped = usize::try_from(from_offset - self.first_offset).unwrap_or(usize::MAX);
        let entries = (from_offset..)
            .zip(self.entries.iter().skip(skipped).take(max_entries))
            .map(|(offset, body)| proto::RawLogEntry { offset, body: body.clone() })
            .collect();
        proto::LogPage { first_offset: self.first_offset, next_offset: self.next_offset(), entries }
    }

    fn list(&self) -> proto::InstanceList {
        let lag = Duration::from_millis(self.options.list_lag_ms);
        let instances = self
            .instances
            .values()
            .filter(|(since, row)| {
                since.elapsed() >= lag && !self.faults.removed_instances.contains(&row.name)
            })
            .map(|(_, row)| row.clone())
            .collect();
        proto::InstanceList { instances }
    }
}

async fn handle(port: u16, inbox: Sender<Message>, request: Request<Incoming>) -> Response<Body> {
    let path = request.uri().path().to_owned();
    if path != "/faults" {
        let Some(faults) = ask(&inbox, |reply| Message::Faults { reply }).await else {
            return status(StatusCode::SERVICE_UNAVAILABLE);
        };
        compio::time::sleep(Duration::from_millis(faults.delay_ms)).await;
        if faults.outage || faults.cut_ports.contains(&port) {
            return status(StatusCode::SERVICE_UNAVAILABLE);
        }
    }
    match (request.method().clone(), path.as_str()) {
        (Method::POST, "/log") => append(&inbox, body(request).await).await,
        (Method::GET, "/log") => {
            let query = request.uri().query().unwrap_or_default().to_owned();
            read(port, &inbox, &query).await
        }
        (Method::POST, "/instances") => match from_json(&body(request).await) {
            Ok(row) => {
                let _ = inbox.send(Message::Announce(row)).await;
                status(StatusCode::OK)
            }
            Err(_) => status(StatusCode::BAD_REQUEST),
        },
        (Method::GET, "/instances") => match ask(&inbox, |reply| Message::List { reply }).await {
            Some(list) => json(&list),
            None => status(StatusCode::SERVICE_UNAVAILABLE),
        },
        (Method::POST, "/usage") => match from_json(&body(request).await) {
            Ok(report) => match ask(&inbox, |reply| Message::Report { report, reply }).await {
                Some(false) => status(StatusCode::OK),
                _ => status(StatusCode::GATEWAY_TIMEOUT),
            },
            Err(_) => status(StatusCode::BAD_REQUEST),
        },
        (Method::GET, "/usage/state") => usage_state(&inbox).await,
        (Method::GET, "/usage") => match ask(&inbox, |reply| Message::UsageLog { reply }).await {
            Some(log) => json(&log),
            None => status(StatusCode::SERVICE_UNAVAILABLE),
        },
        (Method::POST, "/faults") => set_faults(&inbox, request, Message::SetFaults).await,
        _ => status(StatusCode::NOT_FOUND),
    }
}

async fn usage_state(inbox: &Sender<Message>) -> Response<Body> {
    let faults = ask(inbox, |reply| Message::Faults { reply }).await;
    let state = ask(inbox, |reply| Message::UsageState { reply }).await;
    let (Some(faults), Some(state)) = (faults, state) else {
        return status(StatusCode::SERVICE_UNAVAILABLE);
    };
    compio::time::sleep(Duration::from_millis(faults.hold_usage_state_ms)).await;
    json(&state)
}

async fn append(inbox: &Sender<Message>, entry: Bytes) -> Response<Body> {
    let Ok(entry) = String::from_utf8(entry.to_vec()) else {
        return status(StatusCode::BAD_REQUEST);
    };
    match ask(inbox, |reply| Message::Append { entry, reply }).await.flatten() {
        Some((offset, false)) => json(&proto::AppendReply { offset }),
        Some((_, true)) => status(StatusCode::GATEWAY_TIMEOUT),
        None => status(StatusCode::TOO_MANY_REQUESTS),
    }
}

/// Answers as soon as there is an entry, at the latest after `wait_ms`.
async fn read(port: u16, inbox: &Sender<Message>, query: &str) -> Response<Body> {
    let number = |key: &str| {
        query
            .split('&')
            .find_map(|pair| pair.strip_prefix(key)?.strip_prefix('='))
            .and_then(|value| value.parse::<u64>().ok())
            .unwrap_or(0)
    };
    let from_offset = number("from_offset");
    let max_entries = usize::try_from(number("max_entries")).unwrap_or(usize::MAX);
    let deadline = Instant::now() + Duration::from_millis(number("wait_ms"));
    loop {
        let page = ask(inbox, |reply| Message::Read { from_offset, max_entries, reply }).await;
        let Some(page) = page else { return status(StatusCode::SERVICE_UNAVAILABLE) };
        if !page.entries.is_empty() || Instant::now() >= deadline {
            // A cut that began while the read was held back holds for its answer too.
            let faults = ask(inbox, |reply| Message::Faults { reply }).await;
            let is_cut =
                faults.is_none_or(|faults| faults.outage || faults.cut_ports.contains(&port));
            return if is_cut { status(StatusCode::SERVICE_UNAVAILABLE) } else { json(&page) };
        }
        compio::time::sleep(POLL).await;
    }
}
