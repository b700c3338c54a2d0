//! Stand-in for an HTTP service: a booking ledger that counts how often each booking ran, and a
//! stock list.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use async_channel::{Receiver, Sender};
use bytes::Bytes;
use cowslip_net::{Body, body_channel};
use cowslip_proto as proto;
use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use serde::Deserialize;
use serde_json::json as json_value;

use crate::http::{
    json_response, json_text_response, request_body, serve_forever, set_faults, status_response,
};
use crate::request_reply::{ReplySender, request_reply};

/// Time after which idle connections are closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Prefix of callers' API keys, which must not reach an upstream.
const API_KEY_PREFIX: &[u8] = b"csk_";

/// Options of a service stand-in.
#[derive(Clone, Copy, Debug)]
pub struct ServiceOptions {
    /// Address to listen on.
    pub listen: SocketAddr,
}

enum Message {
    Book { booking: String, contains_key: bool, reply: ReplySender<BookingResult> },
    ReadLedger { reply: ReplySender<proto::Ledger> },
    SetFaults(proto::ServiceFaults),
}

struct BookingResult {
    runs: u32,
    is_interrupted: bool,
    delay_ms: u64,
}

struct State {
    runs: BTreeMap<String, u32>,
    keys_seen: u64,
    faults: proto::ServiceFaults,
}

#[derive(Deserialize)]
struct Booking {
    booking: String,
}

/// Runs a service stand-in until the process ends.
///
/// # Errors
/// Returns an error when the address cannot be bound.
pub fn run_service(options: ServiceOptions) -> io::Result<()> {
    compio::runtime::Runtime::new()?.block_on(async {
        let (inbox, messages) = async_channel::bounded(1_024);
        let state = State {
            runs: BTreeMap::new(),
            keys_seen: 0,
            faults: proto::ServiceFaults { break_after_run: 0, delay_ms: 0 },
        };
        compio::runtime::spawn(state.run(messages)).detach();
        serve_forever(options.listen, IDLE_TIMEOUT, move |request| handle(inbox.clone(), request))
            .await
    })
}

impl State {
    async fn run(mut self, messages: Receiver<Message>) {
        while let Ok(message) = messages.recv().await {
            match message {
                Message::Book { booking, contains_key, reply } => {
                    let _ = reply.try_send(self.book(booking, contains_key));
                }
                Message::ReadLedger { reply } => {
                    let rows = self.runs.iter().map(|(booking, runs)| proto::LedgerRow {
                        booking: booking.clone(),
                        runs: *runs,
                    });
                    let ledger = proto::Ledger { rows: rows.collect(), keys_seen: self.keys_seen };
                    let _ = reply.try_send(ledger);
                }
                Message::SetFaults(faults) => self.faults = faults,
            }
        }
    }

    fn book(&mut self, booking: String, contains_key: bool) -> BookingResult {
        self.keys_seen += u64::from(contains_key);
        let runs = self.runs.entry(booking).or_default();
        *runs += 1;
        let is_interrupted = self.faults.break_after_run > 0;
        self.faults.break_after_run = self.faults.break_after_run.saturating_sub(1);
        BookingResult { runs: *runs, is_interrupted, delay_ms: self.faults.delay_ms }
    }
}

async fn handle(inbox: Sender<Message>, request: Request<Incoming>) -> Response<Body> {
    let path = request.uri().path().to_owned();
    let call_id = request.headers().get("x-call-id").cloned();
    let mut response = match (request.method().clone(), path.as_str()) {
        (Method::POST, "/bookings") => book(&inbox, request).await,
        (Method::GET, "/ledger") => {
            match request_reply(&inbox, |reply| Message::ReadLedger { reply }).await {
                Some(ledger) => json_response(&ledger),
                None => status_response(StatusCode::SERVICE_UNAVAILABLE),
            }
        }
        (Method::POST, "/faults") => set_faults(&inbox, request, Message::SetFaults).await,
        (Method::GET, path) => match path.strip_prefix("/stock/") {
            Some(item) => json_text_response(
                StatusCode::OK,
                json_value!({ "item": item, "left": 12 }).to_string(),
            ),
            None => status_response(StatusCode::NOT_FOUND),
        },
        _ => status_response(StatusCode::NOT_FOUND),
    };
    if let Some(call_id) = call_id {
        response.headers_mut().insert("x-call-id", call_id);
    }
    response
}

async fn book(inbox: &Sender<Message>, request: Request<Incoming>) -> Response<Body> {
    let key_in_headers = request.headers().values().any(|value| {
        value.as_bytes().windows(API_KEY_PREFIX.len()).any(|window| window == API_KEY_PREFIX)
    });
    let body: Bytes = request_body(request).await;
    let Ok(booking) = serde_json::from_slice::<Booking>(&body) else {
        return status_response(StatusCode::BAD_REQUEST);
    };
    let booking = booking.booking;
    let booking_name = booking.clone();
    let result = request_reply(inbox, |reply| Message::Book {
        booking,
        contains_key: key_in_headers,
        reply,
    })
    .await;
    let Some(result) = result else { return status_response(StatusCode::SERVICE_UNAVAILABLE) };
    compio::time::sleep(Duration::from_millis(result.delay_ms)).await;
    if result.is_interrupted {
        return interrupted_response();
    }
    json_text_response(
        StatusCode::OK,
        json_value!({ "booking": booking_name, "runs": result.runs }).to_string(),
    )
}

/// Returns a response whose body ends before its declared content length.
fn interrupted_response() -> Response<Body> {
    let (chunks, body) = body_channel();
    drop(chunks);
    Response::builder()
        .header("content-length", "100")
        .body(body)
        .expect("constant headers form a response")
}
