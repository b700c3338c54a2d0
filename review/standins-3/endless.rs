//! LOST: engines send bytes that are no event without end, and the process outgrows its machine.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::engine::Engine;
use crate::http::read_message;
use crate::instance::Deployment;
use crate::record::Record;
use crate::site::{KEY, Site, booking_request, stream_request};

/// The figures of lankakorpi-shop, with one machine.
const SITE: Deployment = Deployment {
    zones: &[("uusimaa-a", "uusimaa")],
    memory_mb: 260,
    descriptors: 4_100,
    requires_fence: true,
    retry_slack: 52,
    engines: 4,
};
/// Streams a second, half of the site's, and the time limit of `spool-label`.
const STREAMS_PER_S: u32 = 76;
const STREAM_LIMIT: Duration = Duration::from_secs(6);
/// Callers that book on channels that they keep, and their pause after an answer: together they send
/// about 40 bookings a second, as the site's callers do.
const BOOKERS: usize = 40;
const PAUSE: Duration = Duration::from_millis(800);
/// Times after the start at which the engines get into trouble and the case ends.
const TROUBLE_AFTER: Duration = Duration::from_secs(5);
const ENDS_AFTER: Duration = Duration::from_secs(25);
/// Most requests from kept channels that may be passed on and get no answer.
const MOST: usize = 3;

pub fn run(record: &Record, has_trouble: bool) -> Vec<String> {
    let mut site = Site::start(&SITE, record);
    let started = record.now();
    let front = site.instances[0].front;
    let is_done = Arc::new(AtomicBool::new(false));
    let unanswered: Arc<Mutex<Vec<String>>> = Arc::default();
    for booker in 0..BOOKERS {
        let (is_done, unanswered) = (is_done.clone(), unanswered.clone());
        let record = record.clone();
        std::thread::spawn(move || book(front, booker, &record, &is_done, &unanswered));
    }
    let mut is_in_trouble = !has_trouble;
    let mut peak = 0;
    let mut number = 0;
    while record.now() < started + ENDS_AFTER {
        if !is_in_trouble && record.now() > started + TROUBLE_AFTER {
            site.engines.iter().for_each(Engine::get_into_trouble);
            is_in_trouble = true;
        }
        let due = started + number * Duration::from_secs(1) / STREAMS_PER_S;
        record.sleep_until(due);
        number += 1;
        let request = stream_request(number, STREAM_LIMIT);
        let record = record.clone();
        std::thread::spawn(move || {
            let bytes = read_stream(front, &request).unwrap_or_default();
            record.write(&format!("client: stream {number} gets {bytes} bytes"));
        });
        let memory = site.instances[0].memory_bytes();
        if memory > peak + 10_000_000 {
            peak = memory;
            let open: u64 = site.engines.iter().map(Engine::open_streams).sum();
            site.record.write(&format!("memory: {memory} bytes, {open} streams at the engines"));
        }
        if memory > u64::from(SITE.memory_mb) * 1_000_000 {
            site.record.write("platform: the process exceeds memory_mb and is killed");
            site.instances[0].kill();
            std::thread::sleep(Duration::from_millis(500));
            break;
        }
    }
    is_done.store(true, Ordering::Relaxed);
    let unanswered = unanswered.lock().expect("no panic");
    let arrivals = site.arrivals.lock().expect("no panic");
    let is_lost = |attempt: &&String| arrivals.iter().any(|arrival| arrival.attempt == **attempt);
    let lost = unanswered.iter().filter(is_lost).count();
    if lost <= MOST {
        return Vec::new();
    }
    vec![format!(
        "LOST: {lost} bookings from kept channels had reached a sound worker and got no answer, \
         since the process had exceeded the memory of its machine"
    )]
}

/// Sends a request for a stream and reads the answer until it ends or the caller's time is over.
/// Returns its length.
fn read_stream(front: SocketAddr, request: &str) -> std::io::Result<usize> {
    let mut tcp = TcpStream::connect(front)?;
    tcp.write_all(request.as_bytes())?;
    let until = Instant::now() + STREAM_LIMIT;
    let mut chunk = [0; 4_096];
    let mut bytes = 0;
    loop {
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Ok(bytes);
        }
        tcp.set_read_timeout(Some(left))?;
        let count = tcp.read(&mut chunk)?;
        bytes += count;
        if count == 0 || chunk[..count].ends_with(b"0\r\n\r\n") {
            return Ok(bytes);
        }
    }
}

/// Books again and again on one channel.
fn book(
    front: SocketAddr,
    booker: usize,
    record: &Record,
    is_done: &AtomicBool,
    unanswered: &Mutex<Vec<String>>,
) {
    // The callers don't book at the same moments.
    std::thread::sleep(PAUSE * u32::try_from(booker).unwrap_or(0) / 16);
    let mut tcp = TcpStream::connect(front).expect("a channel");
    let mut rest = Vec::new();
    for round in 0.. {
        if is_done.load(Ordering::Relaxed) {
            return;
        }
        let attempt = format!("b{booker:03}{round:012}");
        let request = booking_request(&attempt, KEY);
        if tcp.write_all(request.as_bytes()).is_err() {
            return;
        }
        let answer = read_message(&mut tcp, &mut rest);
        let status = answer.map(|answer| answer.word(1).to_owned());
        record.write(&format!("client: booking {attempt} gets {status:?}"));
        if status.is_none() {
            unanswered.lock().expect("no panic").push(attempt);
            return;
        }
        std::thread::sleep(PAUSE);
    }
}
