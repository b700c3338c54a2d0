//! A plain service: a booking ledger that counts how often each booking ran, and a stock list.

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

use crate::ask::{Reply, ask};
use crate::http::{body, json, serve_forever, set_faults, status, text};

const IDLE: Duration = Duration::from_secs(30);
const KEY_MARK: &[u8] = b"csk_";

/// How the service runs.
#[derive(Clone, Copy, Debug)]
pub struct ServiceOptions {
    /// Address to listen on.
    pub listen: SocketAddr,
}

enum Message {
    Book { booking: String, holds_key: bool, reply: Reply<Booked> },
    Ledger { reply: Reply<proto::Ledger> },
    SetFaults(proto::ServiceFaults),
}

struct Booked {
    runs: u32,
    is_broken: bool,
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

/// Runs a service until the process ends.
///
/// # Errors
/// Returns an error when the address cannot be listened on.
pub fn run_service(options: ServiceOptions) -> io::Result<()> {
    compio::runtime::Runtime::new()?.block_on(async {
        let (inbox, messages) = async_channel::bounded(1_024);
        let state = State {
            runs: BTreeMap::new(),
            keys_seen: 0,
            faults: proto::ServiceFaults { break_after_run: 0, delay_ms: 0 },
        };
        compio::runtime::spawn(state.run(messages)).detach();
        serve_forever(options.listen, IDLE, move |request| handle(inbox.clone(), request)).await
    })
}

impl State {
    async fn run(mut self, messages: Receiver<Message>) {
        while let Ok(message) = messages.recv().await {
            match message {
                Message::Book { booking, holds_key, reply } => {
                    let _ = reply.try_send(self.book(booking, holds_key));
                }
                Message::Ledger { reply } => {
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

    fn book(&mut self, booking: String, holds_key: bool) -> Booked {
        self.keys_seen += u64::from(holds_key);
        let runs = self.runs.entry(booking).or_default();
        *runs += 1;
        let is_broken = self.faults.break_after_run > 0;
        self.faults.break_after_run = self.faults.break_after_run.saturating_sub(1);
        Booked { runs: *runs, is_broken, delay_ms: self.faults.delay_ms }
    }
}

async fn handle(inbox: Sender<Message>, request: Request<Incoming>) -> Response<Body> {
    let path = request.uri().path().to_owned();
    let call_id = request.headers().get("x-call-id").cloned();
    let mut response = match (request.method().clone(), path.as_str()) {
        (Method::POST, "/bookings") => book(&inbox, request).await,
        (Method::GET, "/ledger") => match ask(&inbox, |reply| Message::Ledger { reply }).await {
            Some(ledger) => json(&ledger),
            None => status(StatusCode::SERVICE_UNAVAILABLE),
        },
        (Method::POST, "/faults") => set_faults(&inbox, request, Message::SetFaults).await,
        (Method::GET, path) => match path.strip_prefix("/stock/") {
            Some(item) => {
                text(StatusCode::OK, json_value!({ "item": item, "left": 12 }).to_string())
            }
            None => status(StatusCode::NOT_FOUND),
        },
        _ => status(StatusCode::NOT_FOUND),
    };
    if let Some(call_id) = call_id {
        response.headers_mut().insert("x-call-id", call_id);
    }
    response
}

async fn book(inbox: &Sender<Message>, request: Request<Incoming>) -> Response<Body> {
    let in_headers = request
        .headers()
        .values()
        .any(|value| value.as_bytes().windows(KEY_MARK.len()).any(|window| window == KEY_MARK));
    let body: Bytes = body(request).await;
    let Ok(booking) = serde_json::from_slice::<Booking>(&body) else {
        return status(StatusCode::BAD_REQUEST);
    };
    let booking = booking.booking;
    let named = booking.clone();
    let booked = ask(inbox, |reply| Message::Book { booking, holds_key: in_headers, reply }).await;
    let Some(booked) = booked else { return status(StatusCode::SERVICE_UNAVAILABLE) };
    compio::time::sleep(Duration::from_millis(booked.delay_ms)).await;
    if booked.is_broken {
        return broken();
    }
    text(StatusCode::OK, json_value!({ "booking": named, "runs": booked.runs }).to_string())
}

/// A response that breaks off: it promises more than comes.
fn broken() -> Response<Body> {
    let (chunks, body) = body_channel();
    drop(chunks);
    Response::builder()
        .header("content-length", "100")
        .body(body)
        .expect("constants form a response")
}
