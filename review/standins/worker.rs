//! A stand-in for a worker: its entry in the store, its heartbeat, its crashes and restarts.

use std::io::Write;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{Message, Reader};
use crate::record::Record;
use crate::store::Store;

/// Interval of the heartbeat (`heartbeat_ms` of the settings).
const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// A request that reached a worker.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at: Instant,
    pub request: Message,
}

pub type Behaviour = dyn Fn(&Worker, &Message, &mut TcpStream) -> Option<()> + Send + Sync;

pub struct Life {
    born_ms: u64,
    streams: Vec<TcpStream>,
}

#[derive(Clone)]
pub struct Worker {
    pub id: String,
    pub address: SocketAddr,
    service: String,
    zone: String,
    stage: Option<&'static str>,
    store: Store,
    pub record: Record,
    pub is_up: Arc<AtomicBool>,
    has_left: Arc<AtomicBool>,
    life: Arc<Mutex<Life>>,
    seq: Arc<AtomicU64>,
    arrivals: Arc<Mutex<Vec<Arrival>>>,
    behaviour: Arc<Behaviour>,
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_millis() as u64)
}

impl Worker {
    pub fn start(
        id: &str,
        service: &str,
        zone: &str,
        stage: Option<&'static str>,
        store: &Store,
        record: &Record,
        behaviour: Arc<Behaviour>,
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().unwrap();
        let life = Life { born_ms: unix_ms(), streams: Vec::new() };
        let worker = Self {
            id: id.to_owned(),
            address,
            service: service.to_owned(),
            zone: zone.to_owned(),
            stage,
            store: store.clone(),
            record: record.clone(),
            is_up: Arc::new(AtomicBool::new(true)),
            has_left: Arc::default(),
            life: Arc::new(Mutex::new(life)),
            seq: Arc::default(),
            arrivals: Arc::default(),
            behaviour,
        };
        worker.clone().listen(listener);
        worker.write_entry();
        let heart = worker.clone();
        std::thread::spawn(move || {
            let mut missed = 0;
            loop {
                std::thread::sleep(HEARTBEAT);
                if heart.has_left.load(Ordering::SeqCst) {
                    return;
                }
                if heart.is_up.load(Ordering::SeqCst) {
                    missed = 0;
                    heart.write_entry();
                } else {
                    missed += 1;
                    // The entry is removed after three intervals of silence.
                    if missed == 3 {
                        heart.store.put("keyed.servers", &heart.id, "");
                    }
                }
            }
        });
        worker
    }

    fn listen(self, listener: TcpListener) {
        listener.set_nonblocking(true).expect("a listener");
        std::thread::spawn(move || {
            while self.is_up.load(Ordering::SeqCst) {
                let Ok((stream, _)) = listener.accept() else {
                    std::thread::sleep(Duration::from_millis(1));
                    continue;
                };
                let _ = (stream.set_nonblocking(false), stream.set_nodelay(true));
                self.life.lock().unwrap().streams.push(stream.try_clone().unwrap());
                let worker = self.clone();
                std::thread::spawn(move || worker.serve(stream));
            }
        });
    }

    fn serve(&self, stream: TcpStream) {
        let mut writer = stream.try_clone().expect("a stream");
        let mut reader = Reader::new(stream);
        while let Some(request) = reader.request() {
            let at = Instant::now();
            let attempt = request.header("cowslipvale-attempt-id").unwrap_or("-");
            let line = format!("worker {} got {} {attempt}", self.id, request.start_line);
            self.record.line(&line);
            let arrival = Arrival { at, request: request.clone() };
            self.arrivals.lock().unwrap().push(arrival);
            if (self.behaviour)(self, &request, &mut writer).is_none() {
                let _ = writer.shutdown(Shutdown::Both);
                return;
            }
        }
    }

    /// Writes the worker's entry with a new `seq`; returns the time of the confirmation.
    pub fn write_entry(&self) -> Instant {
        let seq = self.seq.fetch_add(1, Ordering::SeqCst) + 1;
        let life = self.life.lock().unwrap();
        let stage = self.stage.map_or(String::new(), |stage| format!(",\"stage\":\"{stage}\""));
        let entry = format!(
            "{{\"service\":\"{}\",\"addr\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":6,\
             \"state\":\"ready\",\"cold_left_ms\":0,\"seq\":{seq},\"born\":{}{stage}}}",
            self.service, self.address, self.zone, life.born_ms
        );
        self.store.put("keyed.servers", &self.id, &entry)
    }

    /// Removes the worker's entry without a report of `draining`; the worker goes on serving.
    /// Returns the time of the confirmation.
    pub fn leave(&self) -> Instant {
        self.has_left.store(true, Ordering::SeqCst);
        self.record.line(&format!("worker {} leaves: its entry is removed", self.id));
        self.store.put("keyed.servers", &self.id, "")
    }

    /// Ends the worker at once and starts it again after some time, under the same id, with a new
    /// `born` and a new `seq`.
    pub fn crash_and_restart(&self, down: Duration) {
        if !self.is_up.swap(false, Ordering::SeqCst) {
            return;
        }
        self.record.line(&format!("worker {} crashes", self.id));
        for stream in self.life.lock().unwrap().streams.drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
        let worker = self.clone();
        std::thread::spawn(move || {
            std::thread::sleep(down);
            let listener = loop {
                match TcpListener::bind(worker.address) {
                    Ok(listener) => break listener,
                    Err(_) => std::thread::sleep(Duration::from_millis(20)),
                }
            };
            worker.life.lock().unwrap().born_ms = unix_ms();
            worker.seq.store(0, Ordering::SeqCst);
            worker.is_up.store(true, Ordering::SeqCst);
            worker.clone().listen(listener);
            worker.write_entry();
            worker.record.line(&format!("worker {} is back under the same id", worker.id));
        });
    }

    pub fn arrivals(&self) -> Vec<Arrival> {
        self.arrivals.lock().unwrap().clone()
    }
}

/// Sends a whole answer with a length and the worker's signature.
pub fn answer(request: &Message, stream: &mut TcpStream, status: u16, body: &str) -> Option<()> {
    let attempt = request.header("cowslipvale-attempt-id").unwrap_or("");
    let text = format!(
        "HTTP/1.1 {status} X\r\nCowslipvale-Attempt-Id: {attempt}\r\n\
         Cowslipvale-Response-Stamp: stamp-{attempt}\r\nKeep-Alive: timeout=10\r\n\
         Content-Length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(text.as_bytes()).ok()
}

/// Sends the head of a stream; `framing` is a header line with its line end, or empty.
pub fn stream_head(request: &Message, stream: &mut TcpStream, framing: &str) -> Option<()> {
    let attempt = request.header("cowslipvale-attempt-id").unwrap_or("");
    let text = format!(
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nCowslipvale-Attempt-Id: {attempt}\r\n\
         Cowslipvale-Response-Stamp: stamp-{attempt}\r\n{framing}\r\n"
    );
    stream.write_all(text.as_bytes()).ok()
}

/// Sends one event as a chunk.
pub fn chunk(stream: &mut TcpStream, text: &str) -> Option<()> {
    stream.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes()).ok()
}
