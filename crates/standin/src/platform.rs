//! Stand-in for the platform: an append-only log with offsets, a delayed instance list, and usage
//! reports.

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

use crate::http::{json_response, request_body, serve_forever, set_faults, status_response};
use crate::request_reply::{ReplySender, request_reply};

/// Interval at which a waiting read looks for new log entries.
const LOG_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Options of the platform stand-in.
#[derive(Clone, Debug)]
pub struct PlatformOptions {
    /// Addresses to listen on; a fault can cut off single ports.
    pub listen: Vec<SocketAddr>,
    /// Number of newest log entries to keep.
    pub keep_entries: u64,
    /// Maximum number of appends accepted in one second.
    pub appends_per_s: u32,
    /// Delay before an announced instance appears in the instance list, in milliseconds.
    pub list_lag_ms: u64,
    /// Time after which idle connections are closed, in milliseconds.
    pub idle_ms: u64,
}

enum Message {
    Append { entry: String, reply: ReplySender<Option<(u64, bool)>> },
    ReadLog { from_offset: u64, max_entries: usize, reply: ReplySender<proto::LogPage> },
    AnnounceInstance(proto::ListedInstance),
    ListInstances { reply: ReplySender<proto::InstanceList> },
    ReportUsage { report: proto::UsageReport, reply: ReplySender<bool> },
    ReadUsageState { reply: ReplySender<proto::LastReportedWindow> },
    ReadUsageLog { reply: ReplySender<proto::UsageLog> },
    SetFaults(proto::PlatformFaults),
    ReadFaults { reply: ReplySender<proto::PlatformFaults> },
}

struct State {
    options: PlatformOptions,
    first_offset: u64,
    entries: VecDeque<String>,
    current_second: u64,
    appends_this_second: u32,
    instances: BTreeMap<Name, (Instant, proto::ListedInstance)>,
    reports: Vec<proto::UsageReport>,
    usage_state_reads: u64,
    faults: proto::PlatformFaults,
    started_at: Instant,
}

/// Runs the platform stand-in until the process ends.
///
/// # Errors
/// Returns an error when an address cannot be bound.
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
            server
                .await
                .map_err(|_| io::Error::other("the server task of a listen address failed"))??;
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
            current_second: 0,
            appends_this_second: 0,
            instances: BTreeMap::new(),
            reports: Vec::new(),
            usage_state_reads: 0,
            faults: proto::PlatformFaults {
                lose_usage_answers: 0,
                hold_usage_state_ms: 0,
                outage: false,
                cut_ports: Vec::new(),
                lose_append_answers: 0,
                delay_ms: 0,
                removed_instances: Vec::new(),
            },
            started_at: Instant::now(),
        }
    }

    async fn run(mut self, messages: Receiver<Message>) {
        while let Ok(message) = messages.recv().await {
            match message {
                Message::Append { entry, reply } => {
                    let _ = reply.try_send(self.append(entry));
                }
                Message::ReadLog { from_offset, max_entries, reply } => {
                    let _ = reply.try_send(self.log_page(from_offset, max_entries));
                }
                Message::AnnounceInstance(instance) => {
                    self.instances.insert(instance.name.clone(), (Instant::now(), instance));
                }
                Message::ListInstances { reply } => {
                    let _ = reply.try_send(self.instance_list());
                }
                Message::ReportUsage { report, reply } => {
                    self.reports.push(report);
                    let loses_reply = self.faults.lose_usage_answers > 0;
                    self.faults.lose_usage_answers =
                        self.faults.lose_usage_answers.saturating_sub(1);
                    let _ = reply.try_send(loses_reply);
                }
                Message::ReadUsageState { reply } => {
                    self.usage_state_reads += 1;
                    let last_window = self.reports.iter().map(|report| report.window).max();
                    let _ = reply.try_send(proto::LastReportedWindow { last_window });
                }
                Message::ReadUsageLog { reply } => {
                    let (reports, state_reads) = (self.reports.clone(), self.usage_state_reads);
                    let _ = reply.try_send(proto::UsageLog { reports, state_reads });
                }
                Message::SetFaults(faults) => self.faults = faults,
                Message::ReadFaults { reply } => {
                    let _ = reply.try_send(self.faults.clone());
                }
            }
        }
    }

    /// Appends an entry. Returns its offset and whether a fault turns the response into status 504,
    /// or `None` over the rate limit.
    fn append(&mut self, entry: String) -> Option<(u64, bool)> {
        let current_second = self.started_at.elapsed().as_secs();
        if current_second != self.current_second {
            self.current_second = current_second;
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
        let loses_reply = self.faults.lose_append_answers > 0;
        self.faults.lose_append_answers = self.faults.lose_append_answers.saturating_sub(1);
        Some((offset, loses_reply))
    }

    fn next_offset(&self) -> u64 {
        self.first_offset + self.entries.len() as u64
    }

    fn log_page(&self, from_offset: u64, max_entries: usize) -> proto::LogPage {
        let from_offset = from_offset.max(self.first_offset);
        let skipped = usize::try_from(from_offset - self.first_offset).unwrap_or(usize::MAX);
        let entries = (from_offset..)
            .zip(self.entries.iter().skip(skipped).take(max_entries))
            .map(|(offset, body)| proto::RawLogEntry { offset, body: body.clone() })
            .collect();
        proto::LogPage { first_offset: self.first_offset, next_offset: self.next_offset(), entries }
    }

    fn instance_list(&self) -> proto::InstanceList {
        let lag = Duration::from_millis(self.options.list_lag_ms);
        let instances = self
            .instances
            .values()
            .filter(|(announced_at, instance)| {
                announced_at.elapsed() >= lag
                    && !self.faults.removed_instances.contains(&instance.name)
            })
            .map(|(_, instance)| instance.clone())
            .collect();
        proto::InstanceList { instances }
    }
}

async fn handle(port: u16, inbox: Sender<Message>, request: Request<Incoming>) -> Response<Body> {
    let path = request.uri().path().to_owned();
    if path != "/faults" {
        let Some(faults) = request_reply(&inbox, |reply| Message::ReadFaults { reply }).await
        else {
            return status_response(StatusCode::SERVICE_UNAVAILABLE);
        };
        compio::time::sleep(Duration::from_millis(faults.delay_ms)).await;
        if faults.outage || faults.cut_ports.contains(&port) {
            return status_response(StatusCode::SERVICE_UNAVAILABLE);
        }
    }
    match (request.method().clone(), path.as_str()) {
        (Method::POST, "/log") => append(&inbox, request_body(request).await).await,
        (Method::GET, "/log") => {
            let query = request.uri().query().unwrap_or_default().to_owned();
            read_log(port, &inbox, &query).await
        }
        (Method::POST, "/instances") => match from_json(&request_body(request).await) {
            Ok(instance) => {
                let _ = inbox.send(Message::AnnounceInstance(instance)).await;
                status_response(StatusCode::OK)
            }
            Err(_) => status_response(StatusCode::BAD_REQUEST),
        },
        (Method::GET, "/instances") => {
            match request_reply(&inbox, |reply| Message::ListInstances { reply }).await {
                Some(instances) => json_response(&instances),
                None => status_response(StatusCode::SERVICE_UNAVAILABLE),
            }
        }
        (Method::POST, "/usage") => match from_json(&request_body(request).await) {
            Ok(report) => {
                match request_reply(&inbox, |reply| Message::ReportUsage { report, reply }).await {
                    Some(false) => status_response(StatusCode::OK),
                    _ => status_response(StatusCode::GATEWAY_TIMEOUT),
                }
            }
            Err(_) => status_response(StatusCode::BAD_REQUEST),
        },
        (Method::GET, "/usage/state") => usage_state(&inbox).await,
        (Method::GET, "/usage") => {
            match request_reply(&inbox, |reply| Message::ReadUsageLog { reply }).await {
                Some(log) => json_response(&log),
                None => status_response(StatusCode::SERVICE_UNAVAILABLE),
            }
        }
        (Method::POST, "/faults") => set_faults(&inbox, request, Message::SetFaults).await,
        _ => status_response(StatusCode::NOT_FOUND),
    }
}

async fn usage_state(inbox: &Sender<Message>) -> Response<Body> {
    let faults = request_reply(inbox, |reply| Message::ReadFaults { reply }).await;
    let state = request_reply(inbox, |reply| Message::ReadUsageState { reply }).await;
    let (Some(faults), Some(state)) = (faults, state) else {
        return status_response(StatusCode::SERVICE_UNAVAILABLE);
    };
    compio::time::sleep(Duration::from_millis(faults.hold_usage_state_ms)).await;
    json_response(&state)
}

async fn append(inbox: &Sender<Message>, entry: Bytes) -> Response<Body> {
    let Ok(entry) = String::from_utf8(entry.to_vec()) else {
        return status_response(StatusCode::BAD_REQUEST);
    };
    match request_reply(inbox, |reply| Message::Append { entry, reply }).await.flatten() {
        Some((offset, false)) => json_response(&proto::AppendReply { offset }),
        Some((_, true)) => status_response(StatusCode::GATEWAY_TIMEOUT),
        None => status_response(StatusCode::TOO_MANY_REQUESTS),
    }
}

/// Long-polls the log: responds when there is an entry at `from_offset`, at the latest after the
/// query's `wait_ms`.
async fn read_log(port: u16, inbox: &Sender<Message>, query: &str) -> Response<Body> {
    let query_number = |key: &str| {
        query
            .split('&')
            .find_map(|pair| pair.strip_prefix(key)?.strip_prefix('='))
            .and_then(|value| value.parse::<u64>().ok())
            .unwrap_or(0)
    };
    let from_offset = query_number("from_offset");
    let max_entries = usize::try_from(query_number("max_entries")).unwrap_or(usize::MAX);
    let deadline = Instant::now() + Duration::from_millis(query_number("wait_ms"));
    loop {
        let page =
            request_reply(inbox, |reply| Message::ReadLog { from_offset, max_entries, reply })
                .await;
        let Some(page) = page else { return status_response(StatusCode::SERVICE_UNAVAILABLE) };
        if !page.entries.is_empty() || Instant::now() >= deadline {
            // A fault that began while the read waited also applies to its response.
            let faults = request_reply(inbox, |reply| Message::ReadFaults { reply }).await;
            let is_cut_off =
                faults.is_none_or(|faults| faults.outage || faults.cut_ports.contains(&port));
            return if is_cut_off {
                status_response(StatusCode::SERVICE_UNAVAILABLE)
            } else {
                json_response(&page)
            };
        }
        compio::time::sleep(LOG_POLL_INTERVAL).await;
    }
}
