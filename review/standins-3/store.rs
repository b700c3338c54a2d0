//! The platform's store, which can come back from an older copy, and its interface for duties.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use crate::http::{Message, read_message, write_response};
use crate::record::Record;

/// Time that each answer takes.
const ANSWER_TIME: Duration = Duration::from_millis(4);

#[derive(Clone)]
struct Entry {
    written_at: Instant,
    key: String,
    value: Vec<u8>,
}

#[derive(Default)]
struct State {
    topics: BTreeMap<String, Vec<Entry>>,
    era: u64,
    is_away: bool,
    connections: Vec<TcpStream>,
}

/// Handle to the store.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    shared: Arc<(Mutex<State>, Condvar)>,
    record: Record,
}

impl Store {
    pub fn start(ip: Ipv4Addr, record: Record) -> Self {
        let listener = TcpListener::bind((ip, 0)).expect("a free port");
        let address = listener.local_addr().expect("an address");
        let state = State { era: 1, ..State::default() };
        let store = Self { address, shared: Arc::new((Mutex::new(state), Condvar::new())), record };
        let server = store.clone();
        std::thread::spawn(move || {
            for tcp in listener.incoming().flatten() {
                let server = server.clone();
                std::thread::spawn(move || server.serve(tcp));
            }
        });
        store
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.shared.0.lock().expect("no panic")
    }

    /// Writes a record as the operator or a worker would; returns whether the store took it.
    pub fn put(&self, topic: &str, key: &str, value: &str) -> bool {
        let mut state = self.state();
        if state.is_away {
            return false;
        }
        let entry = Entry { written_at: Instant::now(), key: key.to_owned(), value: value.into() };
        state.topics.entry(topic.to_owned()).or_default().push(entry);
        self.shared.1.notify_all();
        true
    }

    /// Takes the store away for `away` and brings it back from a copy that is `age` old. Returns the
    /// records of the operator that are gone, oldest first.
    pub fn restore(&self, away: Duration, age: Duration) -> Vec<(String, String)> {
        let failed_at = Instant::now();
        {
            let mut state = self.state();
            state.is_away = true;
            for tcp in state.connections.drain(..) {
                let _ = tcp.shutdown(Shutdown::Both);
            }
            self.shared.1.notify_all();
        }
        self.record.write("the store goes away");
        std::thread::sleep(away);
        let copied_at = failed_at.checked_sub(age).expect("the machine runs for longer");
        let mut state = self.state();
        let mut lost = Vec::new();
        for (topic, entries) in &mut state.topics {
            let kept = entries.iter().take_while(|entry| entry.written_at <= copied_at).count();
            let gone = entries.split_off(kept);
            self.record.write(&format!(
                "the store's copy of {topic} ends at {kept}, {} records are gone",
                gone.len()
            ));
            if topic == "keyed.op" {
                lost.extend(gone.into_iter().map(|entry| {
                    (entry.key, String::from_utf8(entry.value).expect("the operator's text"))
                }));
            }
        }
        state.era += 1;
        state.is_away = false;
        self.record.write(&format!("the store is back, era {}", state.era));
        self.shared.1.notify_all();
        lost
    }

    fn serve(&self, mut tcp: TcpStream) {
        let _ = tcp.set_nodelay(true);
        {
            let mut state = self.state();
            if state.is_away {
                return;
            }
            state.connections.extend(tcp.try_clone());
        }
        let mut rest = Vec::new();
        while let Some(request) = read_message(&mut tcp, &mut rest) {
            std::thread::sleep(ANSWER_TIME);
            let Some((status, body, era)) = self.execute(&request) else { return };
            let headers = [("store-era", era.to_string())];
            if write_response(&mut tcp, status, &headers, &body).is_err() {
                return;
            }
        }
    }

    /// Executes a call; `None` if the store is away.
    fn execute(&self, request: &Message) -> Option<(u16, Vec<u8>, u64)> {
        let topic = request.parameter("topic").unwrap_or_default();
        let mut state = self.state();
        if state.is_away {
            return None;
        }
        let (status, body) = match request.path() {
            "/log-append" => {
                let reply = append(state.topics.entry(topic).or_default(), request);
                self.shared.1.notify_all();
                reply
            }
            "/log-read" => {
                let from = usize::try_from(request.number("from").unwrap_or(0)).ok()?;
                let era = state.era;
                let wait = Duration::from_millis(request.number("wait_ms").unwrap_or(0));
                let until = Instant::now() + wait;
                loop {
                    if state.is_away || state.era != era {
                        return None;
                    }
                    let end = state.topics.get(&topic).map_or(0, Vec::len);
                    let left = until.saturating_duration_since(Instant::now());
                    if from != end || left.is_zero() {
                        break;
                    }
                    state = self.shared.1.wait_timeout(state, left).expect("no panic").0;
                }
                read(state.topics.get(&topic).map_or(&[], Vec::as_slice), from)
            }
            "/log-newest" => newest(state.topics.get(&topic).map_or(&[], Vec::as_slice)),
            _ => (400, Vec::new()),
        };
        Some((status, body, state.era))
    }
}

fn append(entries: &mut Vec<Entry>, request: &Message) -> (u16, Vec<u8>) {
    let offset = entries.len() as u64;
    if request.number("at").is_some_and(|at| at != offset) {
        return (412, format!("{{\"end\":{offset}}}").into_bytes());
    }
    let mut rest = &request.body[..];
    while let [a, b, c, d, after @ ..] = rest {
        let length = u32::from_be_bytes([*a, *b, *c, *d]) as usize;
        let (record, after) = after.split_at(length);
        let (key, value) = record[1..].split_at(usize::from(record[0]));
        entries.push(Entry {
            written_at: Instant::now(),
            key: String::from_utf8(key.to_vec()).expect("a key"),
            value: value.to_vec(),
        });
        rest = after;
    }
    (200, format!("{{\"offset\":{offset},\"end\":{}}}", entries.len()).into_bytes())
}

fn read(entries: &[Entry], from: usize) -> (u16, Vec<u8>) {
    if from > entries.len() {
        return (410, b"{\"first\":0}".to_vec());
    }
    let mut out = (entries.len() as u64).to_be_bytes().to_vec();
    out.extend(0_u64.to_be_bytes());
    for Entry { key, value, .. } in &entries[from..] {
        let length = u32::try_from(1 + key.len() + value.len()).expect("a short record");
        out.extend(length.to_be_bytes());
        out.push(u8::try_from(key.len()).expect("a short key"));
        out.extend(key.as_bytes());
        out.extend(value);
    }
    (200, out)
}

fn newest(entries: &[Entry]) -> (u16, Vec<u8>) {
    let latest: BTreeMap<&str, (usize, &Entry)> =
        entries.iter().enumerate().map(|row| (row.1.key.as_str(), row)).collect();
    let items: Vec<String> = latest
        .into_iter()
        .filter(|(_, (_, entry))| !entry.value.is_empty())
        .map(|(key, (offset, entry))| {
            format!(
                "{{\"key\":\"{key}\",\"offset\":{offset},\"value\":\"{}\"}}",
                base64(&entry.value)
            )
        })
        .collect();
    let body =
        format!("{{\"items\":[{}],\"has_more\":false,\"end\":{}}}", items.join(","), entries.len());
    (200, body.into_bytes())
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for group in bytes.chunks(3) {
        let number = group.iter().fold(0_u32, |sum, byte| (sum << 8) | u32::from(*byte))
            << (8 * (3 - group.len()));
        for index in 0..4 {
            let digit = DIGITS[(number >> (18 - 6 * index)) as usize & 63];
            out.push(if index <= group.len() { char::from(digit) } else { '=' });
        }
    }
    out
}

/// A call to the platform's interface for duties.
#[derive(Clone, Debug)]
pub struct DutyCall {
    pub at: Duration,
    pub machine: String,
    pub fence: u64,
    pub window: u64,
    pub counts: String,
    pub status: u16,
}

/// The platform's interface for duties.
#[derive(Clone)]
pub struct Duties {
    pub address: SocketAddr,
    calls: Arc<Mutex<Vec<DutyCall>>>,
}

impl Duties {
    /// Starts the interface. With `checks_fence` it refuses a lower fencing token than the highest
    /// that it has seen.
    pub fn start(ip: Ipv4Addr, checks_fence: bool, record: Record) -> Self {
        let listener = TcpListener::bind((ip, 0)).expect("a free port");
        let address = listener.local_addr().expect("an address");
        let calls: Arc<Mutex<Vec<DutyCall>>> = Arc::default();
        let duties = Self { address, calls: calls.clone() };
        std::thread::spawn(move || {
            for tcp in listener.incoming().flatten() {
                let (calls, record) = (calls.clone(), record.clone());
                std::thread::spawn(move || serve_duties(tcp, checks_fence, &calls, &record));
            }
        });
        duties
    }

    pub fn calls(&self) -> Vec<DutyCall> {
        self.calls.lock().expect("no panic").clone()
    }
}

fn serve_duties(
    mut tcp: TcpStream,
    checks_fence: bool,
    calls: &Mutex<Vec<DutyCall>>,
    record: &Record,
) {
    let _ = tcp.set_nodelay(true);
    let mut rest = Vec::new();
    while let Some(request) = read_message(&mut tcp, &mut rest) {
        std::thread::sleep(ANSWER_TIME);
        let machine = request.header("cowslipvale-lease-holder").unwrap_or_default().to_owned();
        let fence = request.header("cowslipvale-fence-token").and_then(|text| text.parse().ok());
        let fence = fence.unwrap_or(0);
        let body = String::from_utf8_lossy(&request.body).into_owned();
        let window = body.split("\"window_id\":").nth(1).unwrap_or_default();
        let window = window.chars().take_while(char::is_ascii_digit).collect::<String>();
        let counts = body.split("\"counts\":").nth(1).unwrap_or_default();
        let counts = counts.split('}').next().unwrap_or_default().to_owned() + "}";
        let status = {
            let mut calls = calls.lock().expect("no panic");
            let highest = calls.iter().map(|call| call.fence).max().unwrap_or(0);
            let status = if checks_fence && fence < highest { 409 } else { 200 };
            let window = window.parse().unwrap_or(0);
            let at = record.now();
            let call = DutyCall { at, machine: machine.clone(), fence, window, counts, status };
            record.write(&format!(
                "platform: {} from {machine} with fence {fence}: window {window}, {} -> {status}",
                request.path(),
                call.counts
            ));
            calls.push(call);
            status
        };
        let body: &[u8] =
            if status == 200 { b"{}" } else { b"{\"why\":\"a higher fence was seen\"}" };
        if write_response(&mut tcp, status, &[], body).is_err() {
            return;
        }
    }
}
