//! A stand-in for the platform: the store's log and keyed topics, and the calls of lease holders.

use std::collections::{BTreeMap, HashMap};
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, Request};

#[derive(Default)]
struct Topic {
    /// Records from offset 0: key and value; an empty value drops the key.
    records: Vec<(Vec<u8>, Vec<u8>)>,
}

#[derive(Default)]
struct State {
    topics: HashMap<String, Topic>,
    duty_calls: Vec<String>,
}

/// The platform of one case.
#[derive(Clone)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
    pub address: SocketAddr,
}

impl Store {
    /// Listens on a free loopback port and serves until the process ends.
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let store = Self { state: Arc::default(), address };
        let serving = store.clone();
        thread::spawn(move || {
            for tcp in listener.incoming().flatten() {
                let store = serving.clone();
                thread::spawn(move || store.serve(tcp));
            }
        });
        store
    }

    /// Appends a record as the operator or an upstream does.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        let mut state = self.state.0.lock().unwrap();
        let topic = state.topics.entry(topic.to_owned()).or_default();
        topic.records.push((key.as_bytes().to_vec(), value.as_bytes().to_vec()));
        self.state.1.notify_all();
    }

    /// Returns the number of keys that a topic has had.
    pub fn key_count(&self, topic: &str) -> usize {
        let state = self.state.0.lock().unwrap();
        let records = state.topics.get(topic).map_or(&[][..], |topic| &topic.records);
        records.iter().map(|(key, _)| key).collect::<std::collections::BTreeSet<_>>().len()
    }

    fn serve(&self, mut tcp: TcpStream) {
        let _ = tcp.set_nodelay(true);
        let mut buffer = Vec::new();
        while let Some(request) = http::read_request(&mut tcp, &mut buffer) {
            let (status, body) = self.answer(&request);
            let head = format!("HTTP/1.1 {status} X\r\ncontent-length: {}\r\n\r\n", body.len());
            let whole = [head.as_bytes(), &body].concat();
            if tcp.write_all(&whole).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Request) -> (u16, Vec<u8>) {
        let (path, query) = request.target.split_once('?').unwrap_or((&request.target, ""));
        let query: HashMap<&str, &str> =
            query.split('&').filter_map(|pair| pair.split_once('=')).collect();
        let number = |name: &str| query.get(name).and_then(|text| text.parse::<u64>().ok());
        let topic = query.get("topic").copied().unwrap_or_default();
        match path {
            "/log-append" => self.append(topic, number("at"), &request.body),
            "/log-read" => {
                self.read(topic, number("from").unwrap_or(0), number("wait_ms").unwrap_or(0))
            }
            "/log-newest" => self.newest(topic),
            "/usage" | "/scale" => {
                let body = String::from_utf8_lossy(&request.body).into_owned();
                self.state.0.lock().unwrap().duty_calls.push(format!("{path} {body}"));
                (200, b"{}".to_vec())
            }
            _ => (404, Vec::new()),
        }
    }

    fn append(&self, topic: &str, at: Option<u64>, body: &[u8]) -> (u16, Vec<u8>) {
        let mut state = self.state.0.lock().unwrap();
        let topic = state.topics.entry(topic.to_owned()).or_default();
        let first = topic.records.len() as u64;
        if at.is_some_and(|at| at != first) {
            return (412, format!("{{\"end\":{first}}}").into_bytes());
        }
        let mut rest = body;
        while rest.len() >= 4 {
            let (length, after) = rest.split_at(4);
            let length = u32::from_be_bytes(length.try_into().unwrap()) as usize;
            let (record, after) = after.split_at(length);
            let (key, value) = record[1..].split_at(usize::from(record[0]));
            topic.records.push((key.to_vec(), value.to_vec()));
            rest = after;
        }
        let end = topic.records.len();
        self.state.1.notify_all();
        (200, format!("{{\"offset\":{first},\"end\":{end}}}").into_bytes())
    }

    fn read(&self, topic: &str, from: u64, wait_ms: u64) -> (u16, Vec<u8>) {
        let deadline = Instant::now() + Duration::from_millis(wait_ms);
        let mut state = self.state.0.lock().unwrap();
        loop {
            let records = state.topics.get(topic).map_or(&[][..], |topic| &topic.records);
            let left = deadline.saturating_duration_since(Instant::now());
            if records.len() as u64 <= from && !left.is_zero() {
                state = self.state.1.wait_timeout(state, left).unwrap().0;
                continue;
            }
            let mut body = (records.len() as u64).to_be_bytes().to_vec();
            body.extend_from_slice(&0_u64.to_be_bytes());
            for (key, value) in records.iter().skip(from as usize) {
                body.extend_from_slice(&((1 + key.len() + value.len()) as u32).to_be_bytes());
                body.push(key.len() as u8);
                body.extend_from_slice(key);
                body.extend_from_slice(value);
            }
            return (200, body);
        }
    }

    fn newest(&self, topic: &str) -> (u16, Vec<u8>) {
        let state = self.state.0.lock().unwrap();
        let records = state.topics.get(topic).map_or(&[][..], |topic| &topic.records);
        let mut newest: BTreeMap<&[u8], (usize, &[u8])> = BTreeMap::new();
        for (offset, (key, value)) in records.iter().enumerate() {
            newest.insert(key, (offset, value));
        }
        let rows: Vec<String> = newest
            .iter()
            .filter(|(_, (_, value))| !value.is_empty())
            .map(|(key, (offset, value))| {
                let key = String::from_utf8_lossy(key);
                let value = base64(value);
                format!("{{\"key\":\"{key}\",\"value\":\"{value}\",\"offset\":{offset}}}")
            })
            .collect();
        let (rows, end) = (rows.join(","), records.len());
        (200, format!("{{\"items\":[{rows}],\"has_more\":false,\"end\":{end}}}").into_bytes())
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let bits = group.iter().fold(0_u32, |bits, byte| bits << 8 | u32::from(*byte))
            << (8 * (3 - group.len()));
        for index in 0..4 {
            let digit = DIGITS[(bits >> (18 - 6 * index) & 63) as usize];
            text.push(if index <= group.len() { char::from(digit) } else { '=' });
        }
    }
    text
}
