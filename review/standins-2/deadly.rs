//! A part of prompts crashes each upstream that writes an answer on it. Each upstream is a process of
//! its own, which ends as a crash ends it.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::Outcome;
use crate::fleet::{HOST, Instance, KEY, Record, Settings, Upstream, entry, wait_for_entry};
use crate::http;
use crate::socket::end_with_parent;
use crate::store::Store;

/// `contact_ms` of the deployment, and the most requests with the part that may reach upstreams
/// later than that after the fifth crash.
const CONTACT: Duration = Duration::from_millis(4_000);
const MOST_LATE: usize = 3;
const CRASHES: usize = 5;
/// Engines of the fleet.
const ENGINES: usize = 8;
/// Time until a crashed engine is back.
const DOWN: Duration = Duration::from_secs(3);
/// One request every `REQUEST_EVERY`; of `DEADLY_EVERY` of them one has the part that crashes.
const REQUEST_EVERY: Duration = Duration::from_millis(25);
const DEADLY_EVERY: usize = 20;
/// Start and end of the requests with the part, and the end of the case.
const CALM: Duration = Duration::from_secs(4);
const DEADLY_UNTIL: Duration = Duration::from_secs(26);
const END: Duration = Duration::from_secs(28);
const EVENT_EVERY: Duration = Duration::from_millis(20);
const EVENTS: usize = 6;

/// What the answers and the parts of prompts look like.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Variant {
    /// Answers have neither a length nor chunks and end with their connection; ids of parts have 32
    /// bits.
    Unframed,
    /// Answers come in chunks; ids of parts have 128 bits.
    LongIds,
}

impl Variant {
    /// Name of the framing on the command line of an engine.
    fn framing(self) -> &'static str {
        match self {
            Self::Unframed => "close",
            Self::LongIds => "chunks",
        }
    }

    /// Returns the id of a part of a prompt, in hexadecimal.
    fn part_id(self, id: usize) -> String {
        match self {
            Self::Unframed => format!("{id:08x}"),
            Self::LongIds => format!("7c1e07a2{id:024x}"),
        }
    }
}

/// Numbers of the parts: the one that crashes engines, those that many requests share, and the first
/// of those that belong to one request each.
const DEADLY_PART: usize = 0xdead_0001;
const FIRST_PARTS: usize = 0x5c1e_0000;
const SECOND_PARTS: usize = 0x91bd_0000;
const OWN_PARTS: usize = 0x0a00_0000;

/// What the engines reported: when a request began, and whether it holds the part.
type Begun = Arc<Mutex<Vec<(Duration, String, String)>>>;

pub fn play(record: &Record, variant: Variant, has_trouble: bool) -> Outcome {
    let store = Store::start();
    store.put("keyed.op", "config", &crate::fleet::config(1));
    let started = Instant::now();
    let stop = Arc::new(AtomicBool::new(false));
    let begun = Begun::default();
    let crashes = Arc::new(Mutex::new(Vec::new()));
    let mut engines = Vec::new();
    for number in 0..ENGINES {
        let (store, begun, crashes) = (store.clone(), begun.clone(), crashes.clone());
        let (stop, record) = (stop.clone(), record.clone());
        engines.push(thread::spawn(move || {
            keep_engine(variant, number, &store, started, &begun, &crashes, &stop, &record);
        }));
    }
    wait_for_entry(&store, ENGINES);
    let settings = Settings { memory_mb: 260, max_fds: 4_100 };
    let instance = Instance::start("edge-uusimaa-a-1", &store, &settings);
    let answers = Arc::new(Mutex::new(BTreeMap::new()));
    if let Some(instance) = &instance {
        record.line("the instance is ready");
        let opened = Instant::now();
        let mut callers = Vec::new();
        let mut number = 0;
        while opened.elapsed() < END {
            let in_trouble = (CALM..DEADLY_UNTIL).contains(&opened.elapsed());
            let is_deadly = has_trouble && in_trouble && number % DEADLY_EVERY == 0;
            let (target, answers) = (instance.caller, answers.clone());
            let caller = number;
            callers.push(thread::spawn(move || {
                let (status, events) = ask(variant, target, caller, is_deadly).unwrap_or((0, 0));
                let kind = if is_deadly { "with the part" } else { "sound" };
                *answers.lock().unwrap().entry((kind, status, events)).or_insert(0) += 1;
            }));
            number += 1;
            thread::sleep(REQUEST_EVERY);
        }
        for caller in callers {
            let _ = caller.join();
        }
    }
    stop.store(true, Ordering::Relaxed);
    for engine in engines {
        let _ = engine.join();
    }
    if instance.is_none() {
        record.line("the instance did not get ready");
        return Outcome::CouldNotRun;
    }
    for ((kind, status, events), count) in answers.lock().unwrap().iter() {
        record.line(&format!(
            "answers to requests {kind}: status {status}, {events} events: {count}"
        ));
    }
    let mut crashes = crashes.lock().unwrap().clone();
    crashes.sort_unstable();
    let begun = begun.lock().unwrap().clone();
    judge(record, &variant.part_id(DEADLY_PART), &crashes, &begun)
}

fn judge(
    record: &Record,
    deadly_part: &str,
    crashes: &[Duration],
    begun: &[(Duration, String, String)],
) -> Outcome {
    record.line(&format!("{} requests reached engines, {} crashes", begun.len(), crashes.len()));
    if begun.is_empty() {
        return Outcome::CouldNotRun;
    }
    let Some(fifth) = crashes.get(CRASHES - 1) else { return Outcome::Held };
    let late = begun
        .iter()
        .filter(|(at, _, parts)| *at > *fifth + CONTACT && parts.contains(deadly_part))
        .count();
    record.line(&format!(
        "fifth crash at {:.3} s; {late} requests with the part reached engines later than {:.3} s after it (at most {MOST_LATE})",
        fifth.as_secs_f64(),
        CONTACT.as_secs_f64()
    ));
    if late > MOST_LATE { Outcome::Broken } else { Outcome::Held }
}

/// Runs an engine, and starts it again some seconds after it has crashed.
#[allow(clippy::too_many_arguments)]
fn keep_engine(
    variant: Variant,
    number: usize,
    store: &Store,
    started: Instant,
    begun: &Begun,
    crashes: &Mutex<Vec<Duration>>,
    stop: &Arc<AtomicBool>,
    record: &Record,
) {
    let id = format!("i-dec{number}");
    let deadly_part = variant.part_id(DEADLY_PART);
    let mut address: Option<SocketAddr> = None;
    while !stop.load(Ordering::Relaxed) {
        let Some((mut process, bound)) = start_engine(variant, address) else {
            thread::sleep(Duration::from_millis(100));
            continue;
        };
        address = Some(bound);
        let upstream =
            Upstream { id: &id, service: "models", zone: "uusimaa-a", stage: Some("decode") };
        let text = entry(&upstream, bound);
        let is_down = Arc::new(AtomicBool::new(false));
        let (writer_store, writer_id, writer_down) = (store.clone(), id.clone(), is_down.clone());
        let writer_stop = stop.clone();
        let writer = thread::spawn(move || {
            let mut seq = 0;
            while !writer_down.load(Ordering::Relaxed) && !writer_stop.load(Ordering::Relaxed) {
                if seq % 12 == 0 {
                    let value = format!("{{{text},\"seq\":{}}}", seq / 12 + 1);
                    writer_store.put("keyed.servers", &writer_id, &value);
                }
                seq += 1;
                thread::sleep(Duration::from_millis(100));
            }
        });
        let output = process.stdout.take().expect("an output");
        let (lines, line_begun, line_record) =
            (BufReader::new(output), begun.clone(), record.clone());
        let (line_id, line_part) = (id.clone(), deadly_part.clone());
        let reader = thread::spawn(move || {
            for line in lines.lines().map_while(Result::ok) {
                let at = started.elapsed();
                let (attempt, parts) = line.split_once(' ').unwrap_or((&line, ""));
                if parts.contains(&line_part) {
                    line_record.line(&format!("{line_id} begins {attempt} with the part"));
                }
                line_begun.lock().unwrap().push((at, attempt.to_owned(), parts.to_owned()));
            }
        });
        let has_crashed = loop {
            if stop.load(Ordering::Relaxed) {
                break false;
            }
            if process.try_wait().is_ok_and(|status| status.is_some()) {
                break true;
            }
            thread::sleep(Duration::from_millis(5));
        };
        let _ = process.kill();
        let _ = process.wait();
        is_down.store(true, Ordering::Relaxed);
        let _ = writer.join();
        let _ = reader.join();
        if has_crashed {
            crashes.lock().unwrap().push(started.elapsed());
            record.line(&format!("{id} has crashed"));
            let back = Instant::now() + DOWN;
            while Instant::now() < back && !stop.load(Ordering::Relaxed) {
                thread::sleep(Duration::from_millis(50));
            }
        }
    }
}

/// Starts the process of an engine, at the address that it had.
fn start_engine(variant: Variant, address: Option<SocketAddr>) -> Option<(Child, SocketAddr)> {
    let port = address.map_or(0, |address| address.port());
    let own_path = std::env::current_exe().ok()?;
    let mut command = Command::new(own_path);
    command
        .args(["engine", variant.framing(), &port.to_string()])
        .stdin(Stdio::null())
        .stdout(Stdio::piped());
    let mut process = end_with_parent(&mut command).spawn().ok()?;
    // The first line holds the port.
    let output = process.stdout.as_mut()?;
    let mut text = Vec::new();
    let mut byte = [0];
    while output.read(&mut byte).ok()? == 1 && byte[0] != b'\n' {
        text.push(byte[0]);
    }
    let port = String::from_utf8(text).ok()?.parse().ok();
    let Some(port) = port else {
        let _ = process.kill();
        let _ = process.wait();
        return None;
    };
    Some((process, SocketAddr::from(([127, 0, 0, 1], port))))
}

/// The process of an engine. It prints its port, and then each request that it begins.
pub fn run_engine(framing: &str, port: u16) {
    let variant = if framing == "chunks" { Variant::LongIds } else { Variant::Unframed };
    let Ok(listener) = TcpListener::bind(("127.0.0.1", port)) else { return };
    println!("{}", listener.local_addr().expect("an address").port());
    for mut tcp in listener.incoming().flatten() {
        thread::spawn(move || {
            let _ = tcp.set_nodelay(true);
            let mut buffer = Vec::new();
            if let Some(request) = http::read_request(&mut tcp, &mut buffer) {
                answer(variant, &request, &mut tcp);
            }
        });
    }
}

/// Streams events; the connection ends after the last one.
fn answer(variant: Variant, request: &http::Request, tcp: &mut TcpStream) {
    let attempt = request.header("cowslipvale-attempt-id").unwrap_or_default();
    if !request.target.starts_with("/stream/") {
        let report = "{\"stage\":\"decode\",\"models\":[],\"busy\":false,\"seq\":0,\"queued\":0,\"running\":0,\
                      \"kv_used\":0,\"kv_total\":1141536,\"kv_handles\":0}";
        let text = format!(
            "HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: {}\r\n\r\n{report}",
            report.len()
        );
        let _ = tcp.write_all(text.as_bytes());
        return;
    }
    let parts = request.header("cowslipvale-prompt-prefix").unwrap_or_default();
    println!("{attempt} {parts}");
    thread::sleep(EVENT_EVERY);
    let is_chunked = variant == Variant::LongIds;
    let framing = if is_chunked { "transfer-encoding: chunked\r\n" } else { "" };
    let head = format!(
        "HTTP/1.1 200 OK\r\ncowslipvale-attempt-id: {attempt}\r\ncowslipvale-response-stamp: s1\r\n\
         content-type: text/event-stream\r\nconnection: close\r\n{framing}\r\n"
    );
    if tcp.write_all(head.as_bytes()).is_err() {
        return;
    }
    for id in 1..=EVENTS {
        let event = format!("id: {id}\ndata: token{id}\n\n");
        let text = if is_chunked { format!("{:x}\r\n{event}\r\n", event.len()) } else { event };
        if tcp.write_all(text.as_bytes()).is_err() {
            return;
        }
        if parts.contains(&variant.part_id(DEADLY_PART)) {
            // The bytes that are written leave before the process ends.
            thread::sleep(Duration::from_millis(1));
            std::process::exit(1);
        }
        thread::sleep(EVENT_EVERY);
    }
    if is_chunked {
        let _ = tcp.write_all(b"0\r\n\r\n");
    }
}

/// A caller of a stream. Returns the status and the number of events that it got.
fn ask(
    variant: Variant,
    target: SocketAddr,
    number: usize,
    is_deadly: bool,
) -> Option<(u16, usize)> {
    let mut tcp = TcpStream::connect_timeout(&target, Duration::from_secs(1)).ok()?;
    tcp.set_read_timeout(Some(Duration::from_secs(6))).ok()?;
    // The first two parts are shared with other requests, the last one belongs to the request.
    let second = if is_deadly { DEADLY_PART } else { SECOND_PARTS + number % 50 };
    let [first, second, own] =
        [FIRST_PARTS + number % 4, second, OWN_PARTS + number].map(|id| variant.part_id(id));
    let text = format!(
        "POST /stream/a HTTP/1.1\r\nhost: {HOST}\r\ncowslipvale-attempt-id: a{number:06x}\r\n\
         cowslipvale-deadline-ms: 6000\r\nauthorization: Bearer {KEY}\r\ncowslipvale-model: m\r\n\
         cowslipvale-token-counts: 1460,17\r\n\
         cowslipvale-prompt-prefix: {first}:210,{second}:140,{own}:1110\r\n\
         content-length: 6\r\n\r\n{number:06}"
    );
    tcp.write_all(text.as_bytes()).ok()?;
    let mut bytes = Vec::new();
    let _ = tcp.read_to_end(&mut bytes);
    let text = String::from_utf8_lossy(&bytes);
    let status = text.split(' ').nth(1)?.parse().ok()?;
    Some((status, text.matches("data: token").count()))
}
