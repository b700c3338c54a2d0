//! An engine that gets into trouble: its streams then hold bytes that are no event, without end.

use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use crate::http::{Message, read_message, write_response};
use crate::record::{Record, unix_ms};
use crate::store::Store;
use crate::worker::SERVERS;

pub const MODELS: &str = "twine-models";
/// Interval between the pieces of a stream, and how many a sound stream has.
const PIECE_EVERY: Duration = Duration::from_millis(20);
const PIECES: u32 = 17;
/// Bytes in a piece of a stream without end: about 160 KB a second.
const ENDLESS_PIECE_BYTES: usize = 3_200;

/// Handle to an engine.
#[derive(Clone)]
pub struct Engine {
    id: String,
    address: SocketAddr,
    entry: String,
    in_trouble: Arc<AtomicBool>,
    streams: Arc<AtomicU64>,
    record: Record,
}

impl Engine {
    /// Starts an engine of a stage that writes its entry each `heartbeat`.
    pub fn start(
        address: SocketAddr,
        id: &str,
        stage: &str,
        zone: &str,
        heartbeat: Duration,
        store: &Store,
        record: &Record,
    ) -> Self {
        let listener = TcpListener::bind(address).expect("a free port");
        let address = listener.local_addr().expect("an address");
        let entry = format!(
            "{{\"service\":\"{MODELS}\",\"addr\":\"{address}\",\"zone\":\"{zone}\",\"version\":\"v1\",\
             \"slots\":128,\"state\":\"ready\",\"cold_left_ms\":0,\"stage\":\"{stage}\",\
             \"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\"seq\":0,\"born\":{}}}",
            unix_ms()
        );
        let engine = Self {
            id: id.to_owned(),
            address,
            entry,
            in_trouble: Arc::default(),
            streams: Arc::default(),
            record: record.clone(),
        };
        let server = engine.clone();
        std::thread::spawn(move || {
            for tcp in listener.incoming().flatten() {
                let server = server.clone();
                std::thread::spawn(move || server.serve(tcp));
            }
        });
        let (writer, store) = (engine.clone(), store.clone());
        std::thread::spawn(move || {
            loop {
                store.put(SERVERS, &writer.id, &writer.entry);
                std::thread::sleep(heartbeat);
            }
        });
        engine
    }

    pub fn get_into_trouble(&self) {
        self.in_trouble.store(true, Ordering::Relaxed);
        self.record.write(&format!("{} ({}) gets into trouble", self.id, self.address));
    }

    /// Returns the number of streams that are open.
    pub fn open_streams(&self) -> u64 {
        self.streams.load(Ordering::Relaxed)
    }

    fn serve(&self, mut tcp: TcpStream) {
        let _ = tcp.set_nodelay(true);
        let mut rest = Vec::new();
        while let Some(request) = read_message(&mut tcp, &mut rest) {
            let is_done = match request.header("cowslipvale-attempt-id") {
                Some(_) => {
                    self.streams.fetch_add(1, Ordering::Relaxed);
                    let written = self.stream(&mut tcp, &request);
                    self.streams.fetch_sub(1, Ordering::Relaxed);
                    written
                }
                None => write_response(&mut tcp, 200, &[], REPORT.as_bytes()),
            };
            if is_done.is_err() {
                return;
            }
        }
    }

    fn stream(&self, tcp: &mut TcpStream, request: &Message) -> std::io::Result<()> {
        let attempt = request.header("cowslipvale-attempt-id").unwrap_or_default();
        write!(
            tcp,
            "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\
             cowslipvale-attempt-id: {attempt}\r\ncowslipvale-response-stamp: {}.{attempt}\r\n\
             keep-alive: timeout=10\r\ntransfer-encoding: chunked\r\n\r\n",
            self.id
        )?;
        if self.in_trouble.load(Ordering::Relaxed) {
            let bytes = "x".repeat(ENDLESS_PIECE_BYTES);
            loop {
                write!(tcp, "{:x}\r\n{bytes}\r\n", bytes.len())?;
                std::thread::sleep(PIECE_EVERY);
            }
        }
        for piece in 1..=PIECES {
            std::thread::sleep(PIECE_EVERY);
            let event = format!("id: {piece}\ndata: token\n\n");
            write!(tcp, "{:x}\r\n{event}\r\n", event.len())?;
        }
        write!(tcp, "0\r\n\r\n")
    }
}

const REPORT: &str = "{\"stage\":\"decode\",\"models\":[{\"name\":\"m\",\"version\":1,\"adapters\":[]}],\
    \"busy\":false,\"seq\":0,\"queued\":0,\"running\":0,\"kv_used\":0,\"kv_total\":1141536,\"kv_handles\":0}";
