//! Stand-in for an inference engine with continuous batching, roles, orders and resumable streams.

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

use crate::batch::{Batch, Sequence};
use crate::http::{
    json_response, json_text_response, request_body, serve_forever, set_faults, status_response,
};
use crate::request_reply::{ReplySender, request_reply};

/// Prompt length is estimated from the size of the request body.
const BYTES_PER_TOKEN: u64 = 4;
const DEFAULT_MAX_TOKENS: u64 = 16;
/// Longest response, in tokens; also the capacity of a token channel, so that the sequence of a
/// slow client is not cancelled.
const MAX_TOKENS: u16 = 4_096;
/// Prefix of callers' API keys, which must not reach an upstream.
const API_KEY_PREFIX: &[u8] = b"csk_";
const CRASH_EXIT_CODE: i32 = 3;

/// Options of an engine stand-in.
#[derive(Clone, Debug)]
pub struct EngineOptions {
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Upstream name of the engine.
    pub name: Name,
    /// Maximum number of sequences in one batch.
    pub slots: usize,
    /// Time of one batch step, in milliseconds.
    pub step_ms: u64,
    /// Maximum number of prompt tokens prefilled in one step.
    pub prefill_tokens_per_step: u64,
    /// Whether orders with an outdated fencing token or sequence number are refused.
    pub checks_fencing: bool,
    /// Time during which a role change blocks new requests, in milliseconds.
    pub role_change_ms: u64,
    /// Time after which idle connections are closed, in milliseconds.
    pub idle_ms: u64,
}

enum Message {
    Enqueue { sequence: Sequence, contains_key: bool, reply: ReplySender<bool> },
    ReadState { reply: ReplySender<(proto::EngineState, u64)> },
    ApplyOrder { order: proto::EngineOrder, reply: ReplySender<bool> },
    ReadStats { reply: ReplySender<proto::EngineStats> },
    TakeFaults { reply: ReplySender<proto::EngineFaults> },
    SetFaults(proto::EngineFaults),
}

struct State {
    options: EngineOptions,
    batch: Batch,
    fence: u64,
    order_sequence: u64,
    role: proto::Role,
    is_draining: bool,
    busy_until: Instant,
    stats: proto::EngineStats,
    faults: proto::EngineFaults,
}

#[derive(Debug, Deserialize)]
struct CompletionRequest {
    #[serde(default)]
    stream: bool,
    max_tokens: Option<u64>,
}

/// Runs an engine stand-in until the process ends.
///
/// # Errors
/// Returns an error when the address cannot be bound.
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
            order_sequence: 0,
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
        if let Some(remaining) = &mut self.faults.crash_after_tokens {
            *remaining = remaining.saturating_sub(count.tokens);
            if *remaining == 0 {
                std::process::exit(CRASH_EXIT_CODE);
            }
        }
    }

    fn handle(&mut self, message: Message) {
        match message {
            Message::Enqueue { sequence, contains_key, reply } => {
                let accepts_work = !self.is_draining && Instant::now() >= self.busy_until;
                if accepts_work {
                    self.stats.requests += 1;
                    self.batch.enqueue(sequence);
                }
                self.stats.keys_seen += u64::from(contains_key);
                let _ = reply.try_send(accepts_work);
            }
            Message::ReadState { reply } => {
                self.stats.state_reads += 1;
                let _ = reply.try_send((self.engine_state(), self.faults.hold_state_ms));
            }
            Message::ApplyOrder { order, reply } => {
                let _ = reply.try_send(self.apply_order(order));
            }
            Message::ReadStats { reply } => {
                let _ = reply.try_send(self.stats.clone());
            }
            Message::TakeFaults { reply } => {
                // Each completion request uses up one of `cross_answers`.
                let _ = reply.try_send(self.faults.clone());
                self.faults.cross_answers = self.faults.cross_answers.saturating_sub(1);
            }
            Message::SetFaults(faults) => self.faults = faults,
        }
    }

    fn engine_state(&self) -> proto::EngineState {
        proto::EngineState {
            name: self.options.name.clone(),
            fence: self.fence,
            sequence: self.order_sequence,
            role: self.role,
            draining: self.is_draining,
            in_flight: u32::try_from(self.batch.len()).unwrap_or(u32::MAX),
            queued_tokens: self.batch.queued_tokens(),
        }
    }

    /// Applies an order; returns `false` if its fencing token or sequence number is outdated.
    fn apply_order(&mut self, order: proto::EngineOrder) -> bool {
        let is_outdated = order.fence < self.fence || order.sequence <= self.order_sequence;
        if self.options.checks_fencing && is_outdated {
            return false;
        }
        self.fence = order.fence;
        self.order_sequence = order.sequence;
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
            handle_completion(&inbox, &headers, request_body(request).await).await
        }
        (Method::GET, "/state") => {
            match request_reply(&inbox, |reply| Message::ReadState { reply }).await {
                Some((state, delay_ms)) => {
                    compio::time::sleep(Duration::from_millis(delay_ms)).await;
                    json_response(&state)
                }
                None => status_response(StatusCode::SERVICE_UNAVAILABLE),
            }
        }
        (Method::POST, "/orders") => match from_json(&request_body(request).await) {
            Ok(order) => {
                match request_reply(&inbox, |reply| Message::ApplyOrder { order, reply }).await {
                    Some(true) => status_response(StatusCode::OK),
                    _ => status_response(StatusCode::CONFLICT),
                }
            }
            Err(_) => status_response(StatusCode::BAD_REQUEST),
        },
        (Method::GET, "/stats") => {
            match request_reply(&inbox, |reply| Message::ReadStats { reply }).await {
                Some(stats) => json_response(&stats),
                None => status_response(StatusCode::SERVICE_UNAVAILABLE),
            }
        }
        (Method::POST, "/faults") => set_faults(&inbox, request, Message::SetFaults).await,
        _ => status_response(StatusCode::NOT_FOUND),
    }
}

async fn handle_completion(
    inbox: &Sender<Message>,
    headers: &HeaderMap,
    body: Bytes,
) -> Response<Body> {
    let Ok(completion_request) = serde_json::from_slice::<CompletionRequest>(&body) else {
        return status_response(StatusCode::BAD_REQUEST);
    };
    let Some(faults) = request_reply(inbox, |reply| Message::TakeFaults { reply }).await else {
        return status_response(StatusCode::SERVICE_UNAVAILABLE);
    };
    let body_contains =
        |pattern: &[u8]| body.windows(pattern.len()).any(|window| window == pattern);
    if !faults.crash_on.is_empty() && body_contains(faults.crash_on.as_bytes()) {
        std::process::exit(CRASH_EXIT_CODE);
    }
    let key_in_headers = headers.values().any(|value| {
        value.as_bytes().windows(API_KEY_PREFIX.len()).any(|window| window == API_KEY_PREFIX)
    });
    let resume_after = header_number(headers, "x-resume-after");
    let last_token =
        completion_request.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS).clamp(1, u64::from(MAX_TOKENS));
    let (token_sender, token_numbers) = async_channel::bounded(usize::from(MAX_TOKENS));
    let sequence = Sequence {
        prefill_left_tokens: body.len() as u64 / BYTES_PER_TOKEN,
        next_token: resume_after + 1,
        last_token,
        token_sender,
    };
    let contains_key = key_in_headers || body_contains(API_KEY_PREFIX);
    let is_accepted =
        request_reply(inbox, |reply| Message::Enqueue { sequence, contains_key, reply }).await;
    if is_accepted != Some(true) {
        return status_response(StatusCode::SERVICE_UNAVAILABLE);
    }
    let seed = blake3::hash(&body);
    let mut response = if completion_request.stream {
        let (chunks, response_body) = body_channel();
        compio::runtime::spawn(stream_tokens(seed, last_token, token_numbers, chunks)).detach();
        Response::builder()
            .header("content-type", "text/event-stream")
            .body(response_body)
            .expect("constant headers form a response")
    } else {
        complete_response(seed, last_token, token_numbers).await
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

/// Returns the text of a token. It depends only on the request and the token number, so that every
/// engine generates the same response.
fn token_text(seed: blake3::Hash, token: u64) -> String {
    let hash = blake3::keyed_hash(seed.as_bytes(), &token.to_be_bytes());
    format!("{} ", &hash.to_hex()[..6])
}

/// Streams tokens as they are generated. The stream of a dropped sequence ends without `[DONE]`.
async fn stream_tokens(
    seed: blake3::Hash,
    last_token: u64,
    token_numbers: Receiver<u64>,
    chunks: ChunkSender,
) {
    let mut sent_token = 0;
    while let Ok(token) = token_numbers.recv().await {
        let chunk = json_value!({
            "object": "chat.completion.chunk",
            "choices": [{ "index": 0, "delta": { "content": token_text(seed, token) } }],
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

/// Returns the response to a request without streaming, once all tokens are generated.
async fn complete_response(
    seed: blake3::Hash,
    last_token: u64,
    token_numbers: Receiver<u64>,
) -> Response<Body> {
    let mut content = String::new();
    while let Ok(token) = token_numbers.recv().await {
        content.push_str(&token_text(seed, token));
    }
    let completion = json_value!({
        "object": "chat.completion",
        "choices": [{ "index": 0, "message": { "role": "assistant", "content": content }, "finish_reason": "stop" }],
        "usage": { "completion_tokens": last_token },
    });
    json_text_response(StatusCode::OK, completion.to_string())
}
