//! Workers of a plain service, which write their entries to the store.

use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::http::{read_message, write_response};
use crate::record::{Record, unix_ms};
use crate::store::Store;

/// Topic of the workers' entries.
pub const SERVERS: &str = "keyed.servers";
/// Time that a request takes.
const WORK_TIME: Duration = Duration::from_millis(200);
/// Time that the workers keep idle connections open, in seconds.
const KEEP_ALIVE_S: u32 = 10;

/// A request that reached a worker.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at: Duration,
    pub worker: String,
    pub attempt: String,
    pub status: u16,
    /// Time for which the worker wants no requests from the machine, if it says so.
    pub retry_after: Option<Duration>,
}

pub type Arrivals = Arc<Mutex<Vec<Arrival>>>;

/// Handle to a worker.
#[derive(Clone)]
pub struct Worker {
    pub id: String,
    address: SocketAddr,
    zone: String,
    service: String,
    born_ms: u64,
    /// Whether the worker leaves, which it says in all its answers.
    is_leaving: Arc<AtomicBool>,
    writes_entry: Arc<AtomicBool>,
    has_ended: Arc<AtomicBool>,
    /// Time until which the worker takes no work.
    busy_until: Arc<Mutex<Option<Instant>>>,
    connections: Arc<Mutex<Vec<TcpStream>>>,
    store: Store,
    arrivals: Arrivals,
    record: Record,
}

impl Worker {
    /// Starts a worker that writes its entry each `heartbeat`, first at once.
    pub fn start(
        address: SocketAddr,
        id: &str,
        service: &str,
        zone: &str,
        heartbeat: Duration,
        store: &Store,
        arrivals: &Arrivals,
        record: &Record,
    ) -> Self {
        let listener = TcpListener::bind(address).expect("a free port");
        let address = listener.local_addr().expect("an address");
        let worker = Self {
            id: id.to_owned(),
            address,
            zone: zone.to_owned(),
            service: service.to_owned(),
            born_ms: unix_ms(),
            is_leaving: Arc::default(),
            writes_entry: Arc::new(AtomicBool::new(true)),
            has_ended: Arc::default(),
            busy_until: Arc::default(),
            connections: Arc::default(),
            store: store.clone(),
            arrivals: arrivals.clone(),
            record: record.clone(),
        };
        let server = worker.clone();
        std::thread::spawn(move || {
            for tcp in listener.incoming().flatten() {
                if server.has_ended.load(Ordering::Relaxed) {
                    return;
                }
                server.connections.lock().expect("no panic").extend(tcp.try_clone());
                let server = server.clone();
                std::thread::spawn(move || server.serve(tcp));
            }
        });
        let writer = worker.clone();
        std::thread::spawn(move || {
            while writer.writes_entry.load(Ordering::Relaxed) {
                writer.write_entry();
                std::thread::sleep(heartbeat);
            }
        });
        worker
    }

    fn write_entry(&self) -> bool {
        let entry = format!(
            "{{\"service\":\"{}\",\"addr\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":6,\
             \"state\":\"ready\",\"cold_left_ms\":0,\"seq\":0,\"born\":{}}}",
            self.service, self.address, self.zone, self.born_ms
        );
        self.store.put(SERVERS, &self.id, &entry)
    }

    /// Leaves without reporting `draining`: the entry is removed. Returns when the store has
    /// accepted that.
    pub fn leave(&self) -> Duration {
        self.is_leaving.store(true, Ordering::Relaxed);
        self.writes_entry.store(false, Ordering::Relaxed);
        assert!(self.store.put(SERVERS, &self.id, ""), "the store takes the removal");
        self.record.write(&format!("store: the entry of {} is removed, it leaves", self.id));
        self.record.now()
    }

    /// Ends the worker, planned or not: its channels close.
    pub fn end(&self) {
        self.has_ended.store(true, Ordering::Relaxed);
        self.writes_entry.store(false, Ordering::Relaxed);
        self.record.write(&format!("{} ends", self.id));
        for tcp in self.connections.lock().expect("no panic").drain(..) {
            let _ = tcp.shutdown(Shutdown::Both);
        }
        // The listener closes after its next connection.
        let _ = TcpStream::connect(self.address);
    }

    /// Starts the worker again after its end, under its id and at its address.
    pub fn start_again(&self, heartbeat: Duration) -> Self {
        self.record.write(&format!("{} starts again", self.id));
        let (store, arrivals) = (&self.store, &self.arrivals);
        let (service, zone) = (&self.service, &self.zone);
        Self::start(self.address, &self.id, service, zone, heartbeat, store, arrivals, &self.record)
    }

    /// Takes no work for some time.
    pub fn set_busy(&self, time: Duration) {
        *self.busy_until.lock().expect("no panic") = Some(Instant::now() + time);
    }

    /// Returns the time for which the worker takes no work, in whole seconds.
    fn busy_for(&self) -> Option<Duration> {
        let until = (*self.busy_until.lock().expect("no panic"))?;
        let left = until.checked_duration_since(Instant::now())?;
        Some(Duration::from_secs(left.as_secs() + 1))
    }

    fn serve(&self, mut tcp: TcpStream) {
        static STAMPS: AtomicU32 = AtomicU32::new(0);
        let _ = tcp.set_nodelay(true);
        let mut rest = Vec::new();
        while let Some(request) = read_message(&mut tcp, &mut rest) {
            if self.has_ended.load(Ordering::Relaxed) {
                return;
            }
            let at = self.record.now();
            let attempt = request.header("cowslipvale-attempt-id").unwrap_or_default().to_owned();
            let is_expected =
                request.header("cowslipvale-expect-instance").is_none_or(|id| id == self.id);
            let retry_after = self.busy_for().filter(|_| is_expected);
            let status = match (is_expected, retry_after) {
                (false, _) => 421,
                (true, Some(_)) => 503,
                (true, None) => 200,
            };
            self.record.write(&format!(
                "{}: {} {attempt} -> {status} {}",
                self.id,
                request.first_line,
                retry_after.map_or(String::new(), |time| format!("retry after {time:?}"))
            ));
            self.arrivals.lock().expect("no panic").push(Arrival {
                at,
                worker: self.id.clone(),
                attempt: attempt.clone(),
                status,
                retry_after,
            });
            let mut headers = vec![
                ("cowslipvale-attempt-id", attempt),
                ("cowslipvale-instance-id", self.id.clone()),
                ("keep-alive", format!("timeout={KEEP_ALIVE_S}")),
            ];
            if let Some(time) = retry_after {
                headers.push(("cowslipvale-not-executed", "1".to_owned()));
                headers.push(("retry-after", time.as_secs().to_string()));
            }
            if status == 200 {
                std::thread::sleep(WORK_TIME);
                let stamp = STAMPS.fetch_add(1, Ordering::Relaxed);
                headers.push(("cowslipvale-response-stamp", format!("{}.{stamp}", self.id)));
            }
            if self.is_leaving.load(Ordering::Relaxed) {
                headers.push(("server-leaving", "1".to_owned()));
            }
            if write_response(&mut tcp, status, &headers, b"{\"booked\":1}").is_err() {
                return;
            }
        }
    }
}
