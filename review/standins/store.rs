//! A stand-in for the platform's store and for its duty interface.

use std::collections::{BTreeMap, HashMap};
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Message, Reader};

/// Time that the store takes for an answer.
const ANSWER_TIME: Duration = Duration::from_millis(4);

#[derive(Default)]
struct State {
    topics: HashMap<String, Vec<(String, Vec<u8>)>>,
    highest_fence: u64,
}

#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    /// Time after which an idle channel is closed; `None` if never.
    idle: Option<Duration>,
    shared: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    pub fn start(idle: Option<Duration>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().unwrap();
        let store = Self { address, idle, shared: Arc::default() };
        let server = store.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = server.clone();
                std::thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    /// Writes a record as the operator or a worker does; returns the time of the confirmation.
    pub fn put(&self, topic: &str, key: &str, value: &str) -> Instant {
        let mut state = self.shared.0.lock().unwrap();
        let records = state.topics.entry(topic.to_owned()).or_default();
        records.push((key.to_owned(), value.as_bytes().to_vec()));
        self.shared.1.notify_all();
        Instant::now()
    }

    fn serve(&self, stream: TcpStream) {
        let _ = (stream.set_nodelay(true), stream.set_read_timeout(self.idle));
        let mut writer = stream.try_clone().expect("a stream");
        let mut reader = Reader::new(stream);
        while let Some(request) = reader.request() {
            let (status, body) = self.answer(&request);
            std::thread::sleep(ANSWER_TIME);
            let head = format!("HTTP/1.1 {status} X\r\nContent-Length: {}\r\n\r\n", body.len());
            if writer.write_all(&[head.as_bytes(), &body].concat()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> (u16, Vec<u8>) {
        let topic = request.query("topic").unwrap_or_default();
        match request.path() {
            "/log-append" => self.append(&topic, request),
            "/log-read" => self.read(&topic, request),
            "/log-newest" => self.newest(&topic),
            _ => self.duty(request),
        }
    }

    fn append(&self, topic: &str, request: &Message) -> (u16, Vec<u8>) {
        let mut state = self.shared.0.lock().unwrap();
        let records = state.topics.entry(topic.to_owned()).or_default();
        let end = records.len();
        let at = request.query("at").and_then(|at| at.parse::<usize>().ok());
        if at.is_some_and(|at| at != end) {
            return (412, format!("{{\"end\":{end}}}").into_bytes());
        }
        let mut rest = &request.body[..];
        while rest.len() >= 4 {
            let length = u32::from_be_bytes([rest[0], rest[1], rest[2], rest[3]]) as usize;
            let record = &rest[4..4 + length];
            let (key, value) = record[1..].split_at(usize::from(record[0]));
            records.push((String::from_utf8_lossy(key).into_owned(), value.to_vec()));
            rest = &rest[4 + length..];
        }
        let body = format!("{{\"offset\":{end},\"end\":{}}}", records.len());
        self.shared.1.notify_all();
        (200, body.into_bytes())
    }

    fn read(&self, topic: &str, request: &Message) -> (u16, Vec<u8>) {
        let number = |name| request.query(name).and_then(|text: String| text.parse::<u64>().ok());
        let from = number("from").unwrap_or(0) as usize;
        let until = Instant::now() + Duration::from_millis(number("wait_ms").unwrap_or(0));
        let mut state = self.shared.0.lock().unwrap();
        while state.topics.get(topic).map_or(0, Vec::len) <= from {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                break;
            }
            state = self.shared.1.wait_timeout(state, left).unwrap().0;
        }
        let records = state.topics.get(topic).map_or(&[][..], Vec::as_slice);
        let mut body = (records.len() as u64).to_be_bytes().to_vec();
        body.extend(0_u64.to_be_bytes());
        for (key, value) in records.iter().skip(from) {
            body.extend((1 + key.len() as u32 + value.len() as u32).to_be_bytes());
            body.push(key.len() as u8);
            body.extend(key.as_bytes());
            body.extend(value);
        }
        (200, body)
    }

    fn newest(&self, topic: &str) -> (u16, Vec<u8>) {
        let state = self.shared.0.lock().unwrap();
        let records = state.topics.get(topic).map_or(&[][..], Vec::as_slice);
        let mut newest = BTreeMap::new();
        for (offset, (key, value)) in records.iter().enumerate() {
            newest.insert(key, (offset, value));
        }
        let items: Vec<String> = newest
            .into_iter()
            .filter(|(_, (_, value))| !value.is_empty())
            .map(|(key, (offset, value))| {
                format!("{{\"key\":\"{key}\",\"value\":\"{}\",\"offset\":{offset}}}", base64(value))
            })
            .collect();
        let body = format!(
            "{{\"items\":[{}],\"has_more\":false,\"end\":{}}}",
            items.join(","),
            records.len()
        );
        (200, body.into_bytes())
    }

    fn duty(&self, request: &Message) -> (u16, Vec<u8>) {
        let fence = request.header("cowslipvale-fence-token").and_then(|text| text.parse().ok());
        let fence: u64 = fence.unwrap_or(0);
        let mut state = self.shared.0.lock().unwrap();
        if fence < state.highest_fence {
            return (409, b"{\"why\":\"fence\"}".to_vec());
        }
        state.highest_fence = fence;
        (200, b"{}".to_vec())
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let number = group.iter().fold(0_u32, |sum, byte| (sum << 8) | u32::from(*byte));
        let number = number << (8 * (3 - group.len()));
        for digit in 0..4 {
            if digit <= group.len() {
                text.push(DIGITS[(number >> (18 - 6 * digit)) as usize & 63] as char);
            } else {
                text.push('=');
            }
        }
    }
    text
}
