//! Callers send large bodies piece by piece; ordinary callers try to open new channels.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::Outcome;
use crate::fleet::{
    HOST, Instance, KEY, Record, Settings, Upstream, answer_soundly, start_upstream,
};
use crate::socket::connect_from;
use crate::store::Store;

/// `contact_ms` of the deployment.
const CONTACT: Duration = Duration::from_millis(4_000);
/// Ordinary callers, each with a new channel every `TRY_EVERY`; the rule names seven.
const ORDINARY: usize = 8;
const TRY_EVERY: Duration = Duration::from_millis(250);
/// Time that a client allows a new channel.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);
/// Callers that send a body of the legal size `BODY_BYTES`, `PIECE_BYTES` every `PIECE_EVERY`.
const SLOW: usize = 1_000;
const BODY_BYTES: usize = 4_000_000;
const PIECE_BYTES: usize = 256;
const PIECE_EVERY: Duration = Duration::from_millis(400);
/// Channels that the slow callers open in a row, and the pause after them, so that the queue of new
/// channels doesn't overflow.
const OPENED_AT_ONCE: usize = 50;
const OPENING_PAUSE: Duration = Duration::from_millis(15);
/// Start of the slow callers, and the end of the case.
const CALM: Duration = Duration::from_secs(3);
const END: Duration = Duration::from_secs(20);

/// A try of an ordinary caller: its start, and whether it got an answer.
type Tries = Arc<Mutex<Vec<(Duration, usize, bool)>>>;

pub fn play(record: &Record, has_trouble: bool) -> Outcome {
    let store = Store::start();
    store.put("keyed.op", "config", &crate::fleet::config(1));
    for (number, (id, service, stage)) in [
        ("i-app0", "app", None),
        ("i-app1", "app", None),
        ("i-app2", "app", None),
        ("i-dec0", "models", Some("decode")),
        ("i-dec1", "models", Some("decode")),
    ]
    .into_iter()
    .enumerate()
    {
        let upstream = Upstream { id, service, zone: "uusimaa-a", stage };
        let work = Duration::from_millis(20);
        let answer =
            move |request: &_, tcp: &mut _, number| answer_soundly(request, tcp, number, work);
        start_upstream(&store, &upstream, number, Arc::new(answer));
    }
    let settings = Settings { memory_mb: 260, max_fds: 4_100 };
    let Some(mut instance) = Instance::start("edge-uusimaa-a-1", &store, &settings) else {
        record.line("the instance did not get ready");
        return Outcome::CouldNotRun;
    };
    record.line("the instance is ready");
    let started = Instant::now();
    let stop = Arc::new(AtomicBool::new(false));
    let tries = Tries::default();
    let mut tasks = Vec::new();
    for index in 0..ORDINARY {
        let (tries, stop, target) = (tries.clone(), stop.clone(), instance.caller);
        tasks.push(thread::spawn(move || call(index, target, started, &tries, &stop)));
    }
    thread::sleep(CALM);
    if has_trouble {
        record.line(&format!(
            "{SLOW} callers begin to send bodies of {BODY_BYTES} bytes piece by piece"
        ));
        let (target, stop, record) = (instance.caller, stop.clone(), record.clone());
        tasks.push(thread::spawn(move || send_slowly(target, &stop, &record)));
    }
    // The balancer asks once a second.
    let mut unready_at = Vec::new();
    while started.elapsed() < END {
        if !instance.is_ready() {
            unready_at.push(started.elapsed());
        }
        thread::sleep(Duration::from_secs(1));
    }
    stop.store(true, Ordering::Relaxed);
    for task in tasks {
        let _ = task.join();
    }
    let has_ended = instance.has_ended();
    let mut tries = tries.lock().unwrap().clone();
    tries.sort_unstable();
    for (at, index, is_taken) in &tries {
        let at_s = at.as_secs_f64();
        let end = if *is_taken { "answered" } else { "not taken" };
        record.line(&format!("ordinary caller {index} tried at {at_s:.3} s: {end}"));
    }
    judge(record, &tries, &unready_at, has_ended)
}

/// Looks for a span of `CONTACT` in which the instance counts as ready, seven callers try a new
/// channel and none is taken.
fn judge(
    record: &Record,
    tries: &[(Duration, usize, bool)],
    unready_at: &[Duration],
    has_ended: bool,
) -> Outcome {
    let mut longest = Duration::ZERO;
    let mut from = Duration::ZERO;
    for (at, _, is_taken) in tries {
        if *is_taken {
            from = *at;
        }
        let is_ready = !unready_at.iter().any(|unready| (from..=*at).contains(unready));
        let callers: std::collections::BTreeSet<usize> = tries
            .iter()
            .filter(|(tried, ..)| from < *tried && tried <= at)
            .map(|(_, index, _)| *index)
            .collect();
        if is_ready && callers.len() >= 7 {
            longest = longest.max(*at - from);
        }
    }
    let taken = tries.iter().filter(|(.., is_taken)| *is_taken).count();
    record.line(&format!(
        "{} tries, {taken} answered; not ready {} times; process ended: {has_ended}",
        tries.len(),
        unready_at.len()
    ));
    record.line(&format!(
        "longest span without a new channel, ready, with seven callers or more: {:.3} s (bound {:.3} s)",
        longest.as_secs_f64(),
        CONTACT.as_secs_f64()
    ));
    if taken == 0 {
        Outcome::CouldNotRun
    } else if has_ended || longest >= CONTACT {
        Outcome::Broken
    } else {
        Outcome::Held
    }
}

/// An ordinary caller: a stock look-up on a new channel, again and again.
fn call(index: usize, target: SocketAddr, started: Instant, tries: &Tries, stop: &AtomicBool) {
    let mut number = 0;
    while !stop.load(Ordering::Relaxed) {
        let at = started.elapsed();
        number += 1;
        let is_taken = look_up(index, number, target).unwrap_or(false);
        tries.lock().unwrap().push((at, index, is_taken));
        thread::sleep(TRY_EVERY.saturating_sub(started.elapsed() - at));
    }
}

fn look_up(index: usize, number: usize, target: SocketAddr) -> Option<bool> {
    let mut tcp = TcpStream::connect_timeout(&target, ANSWER_TIMEOUT).ok()?;
    tcp.set_read_timeout(Some(ANSWER_TIMEOUT)).ok()?;
    let text = format!(
        "GET /look/a HTTP/1.1\r\nhost: {HOST}\r\ncowslipvale-attempt-id: o{index}-{number}\r\n\
         cowslipvale-deadline-ms: 3000\r\nauthorization: Bearer {KEY}\r\n\r\n"
    );
    tcp.write_all(text.as_bytes()).ok()?;
    let mut answer = [0; 512];
    Some(tcp.read(&mut answer).ok()? > 0)
}

/// The slow callers, all from one address. One whose connection ends opens a new one.
fn send_slowly(target: SocketAddr, stop: &AtomicBool, record: &Record) {
    let mut connections: Vec<Option<TcpStream>> = (0..SLOW).map(|_| None).collect();
    let mut opened = 0;
    let piece = [b'a'; PIECE_BYTES];
    while !stop.load(Ordering::Relaxed) {
        let round = Instant::now();
        for (index, connection) in connections.iter_mut().enumerate() {
            if let Some(tcp) = connection {
                let is_closed = match tcp.read(&mut [0; 1_024]) {
                    Ok(0) => true,
                    Ok(_) => false,
                    Err(error) => error.kind() != ErrorKind::WouldBlock,
                };
                if is_closed || tcp.write_all(&piece).is_err() {
                    *connection = None;
                }
            }
            if connection.is_none() {
                opened += 1;
                if opened % OPENED_AT_ONCE == 0 {
                    thread::sleep(OPENING_PAUSE);
                }
                *connection = open(index, opened, target);
            }
        }
        thread::sleep(PIECE_EVERY.saturating_sub(round.elapsed()));
    }
    record.line(&format!("the slow callers opened {opened} channels"));
}

fn open(index: usize, number: usize, target: SocketAddr) -> Option<TcpStream> {
    let mut tcp = connect_from([127, 0, 0, 2], target)?;
    let text = format!(
        "POST /stream/a HTTP/1.1\r\nhost: {HOST}\r\ncowslipvale-attempt-id: s{index}-{number}\r\n\
         cowslipvale-deadline-ms: 6000\r\nauthorization: Bearer key-of-beta\r\n\
         content-length: {BODY_BYTES}\r\n\r\n"
    );
    tcp.write_all(text.as_bytes()).ok()?;
    tcp.set_nonblocking(true).ok()?;
    Some(tcp)
}
