//! One of three engines sends events without end, and callers read slowly. The platform's part is
//! played too: it kills a process that exceeds the memory of its machine, and starts it again.

use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::Outcome;
use crate::fleet::{
    HOST, Instance, KEY, Record, Settings, Upstream, answer_soundly, start_upstream,
};
use crate::http::Request;
use crate::socket;
use crate::store::Store;

/// Machines, their memory, and how often processes may end by themselves on how many of them.
const MACHINES: usize = 2;
const MEMORY_MB: u32 = 260;
const MEMORY_BYTES: u64 = MEMORY_MB as u64 * 1_048_576;
const ENDS: usize = 3;
const MACHINES_WITH_ENDS: usize = 2;
/// Engines of the fleet; the first one is faulty.
const ENGINES: usize = 3;
/// Streams that each machine is asked for: the deployment's busiest zone has one machine and 72.9
/// requests a second, of which 54 are streams.
const STREAM_EVERY: Duration = Duration::from_millis(18);
/// What a slow caller reads at a time, and how often; its window.
const READ_BYTES: usize = 1_024;
const READ_EVERY: Duration = Duration::from_millis(250);
const WINDOW_BYTES: i32 = 16_384;
/// Time limit of the requests.
const TIME_LIMIT: Duration = Duration::from_millis(6_000);
/// Size and rate of what the faulty engine sends on each stream.
const EVENT_BYTES: usize = 900_000;
const BLOCK_BYTES: usize = 16_384;
const BYTES_PER_S: f64 = 900_000.0;
/// Calm time, and the end of the case.
const CALM: Duration = Duration::from_secs(3);
const END: Duration = Duration::from_secs(40);

type Counts = Arc<Mutex<BTreeMap<&'static str, usize>>>;

pub fn play(record: &Record, has_trouble: bool) -> Outcome {
    let store = Store::start();
    store.put("keyed.op", "config", &crate::fleet::config(1));
    let is_faulty = Arc::new(AtomicBool::new(false));
    for number in 0..ENGINES {
        let id = format!("i-dec{number}");
        let upstream =
            Upstream { id: &id, service: "models", zone: "uusimaa-a", stage: Some("decode") };
        let is_faulty = is_faulty.clone();
        let answer = move |request: &Request, tcp: &mut TcpStream, number: usize| {
            let is_stream = request.target.starts_with("/stream/");
            if number == 0 && is_stream && is_faulty.load(Ordering::Relaxed) {
                send_without_end(request, tcp);
                return false;
            }
            answer(request, tcp, number)
        };
        start_upstream(&store, &upstream, number, Arc::new(answer));
    }
    let stop = Arc::new(AtomicBool::new(false));
    let counts = Counts::default();
    let mut machines = Vec::new();
    for number in 0..MACHINES {
        let (store, stop, counts, record) =
            (store.clone(), stop.clone(), counts.clone(), record.clone());
        machines.push(thread::spawn(move || run_machine(number, &store, &stop, &counts, &record)));
    }
    thread::sleep(CALM);
    if has_trouble {
        record.line("engine i-dec0 begins to send bytes without end");
        is_faulty.store(true, Ordering::Relaxed);
    }
    thread::sleep(END.saturating_sub(CALM));
    stop.store(true, Ordering::Relaxed);
    let ends: Option<Vec<usize>> =
        machines.into_iter().map(|machine| machine.join().ok().flatten()).collect();
    let Some(ends) = ends else { return Outcome::CouldNotRun };
    for (what, count) in counts.lock().unwrap().iter() {
        record.line(&format!("streams that {what}: {count}"));
    }
    if counts.lock().unwrap().get("ended as complete").is_none() {
        return Outcome::CouldNotRun;
    }
    record.line(&format!("ends of processes by machine: {ends:?}"));
    let machines_with_ends = ends.iter().filter(|count| **count >= ENDS).count();
    if machines_with_ends >= MACHINES_WITH_ENDS { Outcome::Broken } else { Outcome::Held }
}

/// Runs the process of a machine with its callers, and returns how often it ended. The process is
/// killed when it exceeds the memory of the machine.
fn run_machine(
    number: usize,
    store: &Store,
    stop: &Arc<AtomicBool>,
    counts: &Counts,
    record: &Record,
) -> Option<usize> {
    let name = format!("edge-uusimaa-a-{}", number + 1);
    let settings = Settings { memory_mb: MEMORY_MB, max_fds: 4_100 };
    let mut ends = 0;
    let mut peak = 0;
    while !stop.load(Ordering::Relaxed) {
        let mut instance = Instance::start(&name, store, &settings)?;
        record.line(&format!("{name} is ready"));
        let is_up = Arc::new(AtomicBool::new(true));
        let (target, up, caller_counts) = (instance.caller, is_up.clone(), counts.clone());
        let callers = thread::spawn(move || call(number, ends, target, &up, &caller_counts));
        while !stop.load(Ordering::Relaxed) {
            let resident = instance.resident_bytes().unwrap_or(0);
            peak = peak.max(resident);
            let has_ended = instance.has_ended();
            if resident > MEMORY_BYTES || has_ended {
                ends += 1;
                let resident_mb = resident / 1_000_000;
                record.line(&format!(
                    "{name} ends: {resident_mb} MB resident, {MEMORY_MB} MB allowed"
                ));
                break;
            }
            thread::sleep(Duration::from_millis(20));
        }
        is_up.store(false, Ordering::Relaxed);
        drop(instance);
        let _ = callers.join();
        thread::sleep(Duration::from_millis(500));
    }
    record.line(&format!("{name}: most memory {} MB", peak / 1_000_000));
    Some(ends)
}

/// Asks for streams until the process is gone, each on a channel of its own.
fn call(machine: usize, life: usize, target: SocketAddr, is_up: &Arc<AtomicBool>, counts: &Counts) {
    let mut number = 0;
    while is_up.load(Ordering::Relaxed) {
        number += 1;
        let attempt = format!("m{machine}-{life}-{number}");
        let (is_up, counts) = (is_up.clone(), counts.clone());
        thread::spawn(move || {
            let end = read_slowly(&attempt, target, &is_up);
            *counts.lock().unwrap().entry(end).or_insert(0) += 1;
        });
        thread::sleep(STREAM_EVERY);
    }
}

fn read_slowly(attempt: &str, target: SocketAddr, is_up: &AtomicBool) -> &'static str {
    let started = Instant::now();
    let Some(mut tcp) = socket::connect_with_window(WINDOW_BYTES, target) else {
        return "got no channel";
    };
    let text = format!(
        "POST /stream/a HTTP/1.1\r\nhost: {HOST}\r\ncowslipvale-attempt-id: {attempt}\r\n\
         cowslipvale-deadline-ms: {}\r\nauthorization: Bearer {KEY}\r\ncontent-length: 4\r\n\r\nbody",
        TIME_LIMIT.as_millis()
    );
    let _ = tcp.set_read_timeout(Some(Duration::from_secs(2)));
    if tcp.write_all(text.as_bytes()).is_err() {
        return "got no channel";
    }
    let mut end = Vec::new();
    let mut bytes = [0; READ_BYTES];
    while started.elapsed() < TIME_LIMIT && is_up.load(Ordering::Relaxed) {
        match tcp.read(&mut bytes) {
            Ok(0) | Err(_) => return "were broken off",
            Ok(count) => end.extend_from_slice(&bytes[..count]),
        }
        if end.ends_with(b"0\r\n\r\n") {
            return "ended as complete";
        }
        end.drain(..end.len().saturating_sub(16));
        thread::sleep(READ_EVERY);
    }
    "reached their time limit, or the end of the process"
}

/// Answers as a sound engine does, without a length or chunks.
fn answer(request: &Request, tcp: &mut TcpStream, number: usize) -> bool {
    if !request.target.starts_with("/stream/") {
        return answer_soundly(request, tcp, number, Duration::ZERO);
    }
    thread::sleep(Duration::from_millis(20));
    let events: String = (1..=6).map(|id| format!("id: {id}\ndata: token{id}\n\n")).collect();
    let _ = tcp.write_all((head(request, number) + &events).as_bytes());
    false
}

/// Returns the head of a stream that ends with its connection.
fn head(request: &Request, number: usize) -> String {
    let attempt = request.header("cowslipvale-attempt-id").unwrap_or_default();
    format!(
        "HTTP/1.1 200 OK\r\ncowslipvale-attempt-id: {attempt}\r\n\
         cowslipvale-response-stamp: s{number}\r\ncontent-type: text/event-stream\r\n\
         connection: close\r\n\r\n"
    )
}

/// Sends one sound event, and then events without end until the connection closes.
fn send_without_end(request: &Request, tcp: &mut TcpStream) {
    let text = head(request, 0) + "id: 1\ndata: token1\n\n";
    if tcp.write_all(text.as_bytes()).is_err() {
        return;
    }
    let pause = Duration::from_secs_f64(BLOCK_BYTES as f64 / BYTES_PER_S);
    for block in 1.. {
        let mut bytes = vec![b'x'; BLOCK_BYTES];
        if block % (EVENT_BYTES / BLOCK_BYTES) == 0 {
            bytes[BLOCK_BYTES - 2..].copy_from_slice(b"\n\n");
        }
        if tcp.write_all(&bytes).is_err() {
            return;
        }
        thread::sleep(pause);
    }
}
