//! A model engine with continuous batching, roles, orders and resumable streams.

use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use async_channel::{Receiver, Sender};
use bytes::Bytes;
use cowslip_codec::from_json;
use cowslip_name::Name;
use cowslip_net::{Body, ChunkSender, body_channel};
use cowslip_proto as proto;
use http::{HeaderMap, Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use serde::Deserialize;
use serde_json::json as json_value;

use crate::ask::{Reply, ask};
use crate::batch::{Batch, Sequence};
use crate::http::{body, json, serve_forever, set_faults, status, text};

const BYTES_PER_TOKEN: u64 = 4;
const DEFAULT_MAX_TOKENS: u64 = 16;
/// Longest answer, in tokens; as many may wait for a slow reader.
const MAX_TOKENS: u16 = 4_096;
const KEY_MARK: &[u8] = b"csk_";
const CRASH_EXIT_CODE: i32 = 3;

/// How the engine runs.
#[derive(Clone, Debug)]
pub struct EngineOptions {
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Name of the engine.
    pub name: Name,
    /// Sequences in one batch.
    pub slots: usize,
    /// Time of one decode step.
    pub step_ms: u64,
    /// Prompt tokens prefilled in one step.
    pub prefill_tokens_per_step: u64,
    /// Whether orders with an old fencing number are refused.
    pub checks_fencing: bool,
    /// Time of a role change.
    pub role_change_ms: u64,
    /// Idle connections are closed after this time.
    pub idle_ms: u64,
}

enum Message {
    Run { sequence: Sequence, holds_key: bool, reply: Reply<bool> },
    State { reply: Reply<(proto::EngineState, u64)> },
    Order { order: proto::EngineOrder, reply: Reply<bool> },
    Stats { reply: Reply<proto::EngineStats> },
    Faults { reply: Reply<proto::EngineFaults> },
    SetFaults(proto::EngineFaults),
}

struct State {
    options: EngineOptions,
    batch: Batch,
    fence: u64,
    sequence: u64,
    role: proto::Role,
    is_draining: bool,
    busy_until: Instant,
    stats: proto::EngineStats,
    faults: proto::EngineFaults,
}

#[derive(Debug, Deserialize)]
struct Fields {
    #[serde(default)]
    stream: bool,
    max_tokens: Option<u64>,
}

/// Runs an engine until the process ends.
///
/// # Errors
/// Returns an error when the address cannot be listened on.
pub fn run_engine(options: EngineOptions) -> io::Result<()> {
    compio::runtime::Runtime::new()?.block_on(async {
        let (inbox, messages) = async_channel::bounded(1_024);
        let (address, idle) = (options.listen, Duration::from_millis(options.idle_ms));
        compio::runtime::spawn(State::new(options).run(messages)).detach();
        serve_forever(address, idle, move |request| handle(inbox.clone(), request)).await
    })
}

impl State {
    fn new(options: EngineOptions) -> Self {
        Self {
            batch: Batch::new(options.slots, options.prefill_tokens_per_step),
            options,
            fence: 0,
            sequence: 0,
            role: proto::Role::Mixed,
            is_draining: false,
            busy_until: Instant::now(),
            stats: proto::EngineStats {
                requests: 0,
                tokens: 0,
                keys_seen: 0,
                cancelled: 0,
                state_reads: 0,
                orders: Vec::new(),
            },
            faults: proto::EngineFaults {
                crash_on: String::new(),
                crash_after_tokens: None,
                cross_answers: 0,
                hold_state_ms: 0,
            },
        }
    }

    async fn run(mut self, messages: Receiver<Message>) {
        loop {
            if self.batch.len() == 0 {
                let Ok(message) = messages.recv().await else { return };
                self.handle(message);
                continue;
            }
            while let Ok(message) = messages.try_recv() {
                self.handle(message);
            }
            compio::time::sleep(Duration::from_millis(self.options.step_ms)).await;
            self.step();
        }
    }

    fn step(&mut self) {
        let count = self.batch.step();
        self.stats.tokens += count.tokens;
        self.stats.cancelled += count.cancelled;
        if let Some(left) = &mut self.faults.crash_after_tokens {
            *left = left.saturating_sub(count.tokens);
            if *left == 0 {
                std::process::exit(CRASH_EXIT_CODE);
            }
        }
    }

    fn handle(&mut self, message: Message) {
        match message {
            Message::Run { sequence, holds_key, reply } => {
                let takes_work = !self.is_draining && Instant::now() >= self.busy_until;
                if takes_work {
                    self.stats.requests += 1;
                    self.batch.push(sequence);
                }
                self.stats.keys_seen += u64::from(holds_key);
                let _ = reply.try_send(takes_work);
            }
            Message::State { reply } => {
                self.stats.state_reads += 1;
                let _ = reply.try_send((self.report(), self.faults.hold_state_ms));
            }
            Message::Order { order, reply } => {
                let _ = reply.try_send(self.order(order));
            }
            Message::Stats { reply } => {
                let _ = reply.try_send(self.stats.clone());
            }
            Message::Faults { reply } => {
                let _ = reply.try_send(self.faults.clone());
                self.faults.cross_answers = self.faults.cross_answers.saturating_sub(1);
            }
            Message::SetFaults(faults) => self.faults = faults,
        }
    }

    fn report(&self) -> proto::EngineState {
        proto::EngineState {
            name: self.options.name.clone(),
            fence: self.fence,
            sequence: self.sequence,
            role: self.role,
            draining: self.is_draining,
            in_flight: u32::try_from(self.batch.len()).unwrap_or(u32::MAX),
            queued_tokens: self.batch.queued_tokens(),
        }
    }

    /// Carries an order out; `false` if it is refused.
    fn order(&mut self, order: proto::EngineOrder) -> bool {
        let is_old = order.fence < self.fence || order.sequence <= self.sequence;
        if self.options.checks_fencing && is_old {
            return false;
        }
        self.fence = order.fence;
        self.sequence = order.sequence;
        match &order.action {
            proto::OrderAction::Role(role) => {
                self.role = *role;
                self.batch.clear();
                self.busy_until =
                    Instant::now() + Duration::from_millis(self.options.role_change_ms);
            }
            proto::OrderAction::Drain => self.is_draining = true,
            proto::OrderAction::Resume => self.is_draining = false,
        }
        self.stats.orders.push(order);
        true
    }
}

async fn handle(inbox: Sender<Message>, request: Request<Incoming>) -> Response<Body> {
    let path = request.uri().path().to_owned();
    match (request.method().clone(), path.as_str()) {
        (Method::POST, "/v1/chat/completions" | "/v1/completions") => {
            let headers = request.headers().clone();
            complete(&inbox, &headers, body(request).await).await
        }
        (Method::GET, "/state") => match ask(&inbox, |reply| Message::State { reply }).await {
            Some((state, hold_ms)) => {
                compio::time::sleep(Duration::from_millis(hold_ms)).await;
                json(&state)
            }
            None => status(StatusCode::SERVICE_UNAVAILABLE),
        },
        (Method::POST, "/orders") => match from_json(&body(request).await) {
            Ok(order) => match ask(&inbox, |reply| Message::Order { order, reply }).await {
                Some(true) => status(StatusCode::OK),
                _ => status(StatusCode::CONFLICT),
            },
            Err(_) => status(StatusCode::BAD_REQUEST),
        },
        (Method::GET, "/stats") => match ask(&inbox, |reply| Message::Stats { reply }).await {
            Some(stats) => json(&stats),
            None => status(StatusCode::SERVICE_UNAVAILABLE),
        },
        (Method::POST, "/faults") => set_faults(&inbox, request, Message::SetFaults).await,
        _ => status(StatusCode::NOT_FOUND),
    }
}

async fn complete(inbox: &Sender<Message>, headers: &HeaderMap, body: Bytes) -> Response<Body> {
    let Ok(fields) = serde_json::from_slice::<Fields>(&body) else {
        return status(StatusCode::BAD_REQUEST);
    };
    let Some(faults) = ask(inbox, |reply| Message::Faults { reply }).await else {
        return status(StatusCode::SERVICE_UNAVAILABLE);
    };
    let holds = |needle: &[u8]| body.windows(needle.len()).any(|window| window == needle);
    if !faults.crash_on.is_empty() && holds(faults.crash_on.as_bytes()) {
        std::process::exit(CRASH_EXIT_CODE);
    }
    let in_headers = headers
        .values()
        .any(|value| value.as_bytes().windows(KEY_MARK.len()).any(|window| window == KEY_MARK));
    let resume_after = header_number(headers, "x-resume-after");
    let last_token =
        fields.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS).clamp(1, u64::from(MAX_TOKENS));
    let (tokens, numbers) = async_channel::bounded(usize::from(MAX_TOKENS));
    let sequence = Sequence {
        prefill_left_tokens: body.len() as u64 / BYTES_PER_TOKEN,
        next_token: resume_after + 1,
        last_token,
        tokens,
    };
    let holds_key = in_headers || holds(KEY_MARK);
    let is_taken = ask(inbox, |reply| Message::Run { sequence, holds_key, reply }).await;
    if is_taken != Some(true) {
        return status(StatusCode::SERVICE_UNAVAILABLE);
    }
    let seed = blake3::hash(&body);
    let mut response = if fields.stream {
        let (chunks, out) = body_channel();
        compio::runtime::spawn(pump(seed, last_token, numbers, chunks)).detach();
        Response::builder()
            .header("content-type", "text/event-stream")
            .body(out)
            .expect("constants form a response")
    } else {
        whole(seed, last_token, numbers).await
    };
    let call_id = if faults.cross_answers > 0 {
        Some(http::HeaderValue::from_static("another-call"))
    } else {
        headers.get("x-call-id").cloned()
    };
    if let Some(call_id) = call_id {
        response.headers_mut().insert("x-call-id", call_id);
    }
    response
}

fn header_number(headers: &HeaderMap, name: &str) -> u64 {
    headers
        .get(name)
        .and_then(|value| value.to_str().ok())
        .and_then(|value| value.parse().ok())
        .unwrap_or(0)
}

/// The text of a token: the same for the same request on every engine.
fn word(seed: blake3::Hash, token: u64) -> String {
    let hash = blake3::keyed_hash(seed.as_bytes(), &token.to_be_bytes());
    format!("{} ", &hash.to_hex()[..6])
}

/// Sends tokens as they come; a sequence that was dropped ends without `[DONE]`.
async fn pump(seed: blake3::Hash, last_token: u64, numbers: Receiver<u64>, chunks: ChunkSender) {
    let mut sent_token = 0;
    while let Ok(token) = numbers.recv().await {
        let chunk = json_value!({
            "object": "chat.completion.chunk",
            "choices": [{ "index": 0, "delta": { "content": word(seed, token) } }],
        });
        if !chunks.send(format!("id: {token}\ndata: {chunk}\n\n").into()).await {
            return;
        }
        sent_token = token;
    }
    if sent_token == last_token {
        chunks.send(Bytes::from_static(b"data: [DONE]\n\n")).await;
    }
}

async fn whole(seed: blake3::Hash, last_token: u64, numbers: Receiver<u64>) -> Response<Body> {
    let mut answer = String::new();
    while let Ok(token) = numbers.recv().await {
        answer.push_str(&word(seed, token));
    }
    let reply = json_value!({
        "object": "chat.completion",
        "choices": [{ "index": 0, "message": { "role": "assistant", "content": answer }, "finish_reason": "stop" }],
        "usage": { "completion_tokens": last_token },
    });
    text(StatusCode::OK, reply.to_string())
}
