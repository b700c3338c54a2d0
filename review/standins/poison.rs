//! A request, or a part of a prompt, that crashes each worker which begins to run it.

use std::io::Write;
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::Outcome;
use crate::entry::CONTACT;
use crate::http::{Call, KEY, Message};
use crate::record::Record;
use crate::worker::{Behaviour, Worker, answer, chunk, stream_head};
use crate::world::{Route, World};

/// Time after which a crashed worker is back ("after some seconds").
const DOWN: Duration = Duration::from_millis(2_000);
/// Most requests that may reach workers later than `contact_ms` after the third or fifth crash.
const MOST: usize = 3;

const DEADLY_PATH: &str = "/stock/twine-7";
/// The part of the prompt that crashes workers.
const DEADLY_PART: &str = "dead01";

/// The crashes so far, and the behaviour of workers that have them.
#[derive(Clone, Default)]
struct Crashes(Arc<Mutex<Vec<Instant>>>);

impl Crashes {
    fn crash(&self, worker: &Worker) -> Option<()> {
        self.0.lock().unwrap().push(Instant::now());
        worker.crash_and_restart(DOWN);
        None
    }

    fn at(&self, number: usize) -> Option<Instant> {
        self.0.lock().unwrap().get(number - 1).copied()
    }

    fn count(&self) -> usize {
        self.0.lock().unwrap().len()
    }
}

fn safe_route() -> Route<'static> {
    Route {
        prefix: "/stock/",
        kind: "safe",
        service: "app",
        attempts: 2,
        timeout_ms: 1_500,
        is_resumable: false,
    }
}

fn call<'a>(method: &'a str, path: &'a str, attempt: &'a str, extra: &'a str) -> Call<'a> {
    Call { method, path, attempt, key: KEY, deadline_ms: 3_000, extra_headers: extra, body: "" }
}

/// Sends the deadly request to a machine and records the answer.
fn send_deadly(world: &World, entry: usize, attempt: &str) -> u16 {
    let entry = &world.entries[entry];
    let answer = call("GET", DEADLY_PATH, attempt, "").send(entry.callers);
    world.record.line(&format!(
        "client deadly {attempt} at {}: {} {}",
        entry.name,
        answer.status,
        answer.text()
    ));
    answer.status
}

/// Sends a sound request to a machine and records the answer.
fn send_sound(world: &World, entry: usize, attempt: &str) {
    let entry = &world.entries[entry];
    let path = format!("/stock/sound-{attempt}");
    let answer = call("GET", &path, attempt, "").send(entry.callers);
    world.record.line(&format!("client sound {attempt} at {}: {}", entry.name, answer.status));
}

fn deadly_arrivals(world: &World, after: Instant) -> usize {
    let arrivals = world.workers.iter().flat_map(Worker::arrivals);
    arrivals.filter(|seen| seen.at > after && seen.request.path() == DEADLY_PATH).count()
}

fn deadly_behaviour(crashes: &Crashes, is_deadly: bool) -> Arc<Behaviour> {
    let crashes = crashes.clone();
    Arc::new(move |worker: &Worker, request: &Message, stream: &mut TcpStream| {
        if is_deadly && request.path() == DEADLY_PATH {
            return crashes.crash(worker);
        }
        std::thread::sleep(Duration::from_millis(30));
        answer(request, stream, 200, "in stock")
    })
}

/// The deadly request crashes a worker while it sends its answer: the head and a part of the body
/// have left.
pub fn after_head(record: &Record, has_trouble: bool) -> Outcome {
    let mut world = World::new(record);
    world.put_config(10, &[safe_route()]);
    let crashes = Crashes::default();
    let worker_crashes = crashes.clone();
    let behaviour: Arc<Behaviour> = Arc::new(move |worker, request, stream| {
        if has_trouble && request.path() == DEADLY_PATH {
            partial_answer(request, stream)?;
            std::thread::sleep(Duration::from_millis(20));
            return worker_crashes.crash(worker);
        }
        std::thread::sleep(Duration::from_millis(30));
        answer(request, stream, 200, "in stock")
    });
    for id in ["i-7f3a91c2", "i-04be88d1", "i-51aa07e9", "i-c60d2b34", "i-93f1e5a0", "i-2b7764cd"] {
        world.add_worker(id, "app", None, behaviour.clone());
    }
    if !world.start_entries(3) {
        return Outcome::NotRun("the machines are not ready".to_owned());
    }
    world.sleep(5_000);
    send_for(&world, Duration::from_secs(40));
    judge(&world, &crashes, 3, |after| deadly_arrivals(&world, after))
}

/// Sends the head of an answer of 800 bytes, and half of its body.
fn partial_answer(request: &Message, stream: &mut TcpStream) -> Option<()> {
    let attempt = request.header("cowslipvale-attempt-id").unwrap_or("");
    let text = format!(
        "HTTP/1.1 200 OK\r\nCowslipvale-Attempt-Id: {attempt}\r\n\
         Cowslipvale-Response-Stamp: stamp-{attempt}\r\nContent-Length: 800\r\n\r\n{}",
        "x".repeat(400)
    );
    stream.write_all(text.as_bytes()).ok()
}

/// Sends a sound request and the deadly one each second, at each machine in turn.
fn send_for(world: &World, time: Duration) {
    let started = Instant::now();
    let mut number = 0;
    while started.elapsed() < time {
        send_sound(world, number % 3, &format!("s{number}"));
        send_deadly(world, number % 3, &format!("d{number}"));
        number += 1;
        world.sleep(1_000);
    }
}

/// A service of two workers, which start again under the ids that they had.
pub fn same_ids(record: &Record, has_trouble: bool) -> Outcome {
    let mut world = World::new(record);
    world.put_config(10, &[safe_route()]);
    let crashes = Crashes::default();
    let behaviour = deadly_behaviour(&crashes, has_trouble);
    for id in ["i-7f3a91c2", "i-04be88d1"] {
        world.add_worker(id, "app", None, behaviour.clone());
    }
    if !world.start_entries(3) {
        return Outcome::NotRun("the machines are not ready".to_owned());
    }
    world.sleep(5_000);
    send_for(&world, Duration::from_secs(40));
    judge(&world, &crashes, 3, |after| deadly_arrivals(&world, after))
}

/// Writes the result: how many deadly requests reached workers too late.
fn judge(
    world: &World,
    crashes: &Crashes,
    crash: usize,
    arrivals: impl Fn(Instant) -> usize,
) -> Outcome {
    let Some(crash_at) = crashes.at(crash) else {
        world.record.say(&format!("{} crashes: fewer than {crash}", crashes.count()));
        return Outcome::Held;
    };
    let late = arrivals(crash_at + CONTACT);
    world.record.say(&format!(
        "{} crashes; {late} deadly requests reached workers later than contact_ms after crash {crash}, \
         {MOST} may",
        crashes.count()
    ));
    if late > MOST { Outcome::Broken } else { Outcome::Held }
}

/// All machines are killed at the same moment after they have learned to refuse the request.
pub fn forgotten(record: &Record, has_trouble: bool) -> Outcome {
    let mut world = World::new(record);
    world.put_config(10, &[safe_route()]);
    let crashes = Crashes::default();
    let behaviour = deadly_behaviour(&crashes, true);
    for id in ["i-7f3a91c2", "i-04be88d1", "i-51aa07e9", "i-c60d2b34", "i-93f1e5a0", "i-2b7764cd"] {
        world.add_worker(id, "app", None, behaviour.clone());
    }
    if !world.start_entries(3) {
        return Outcome::NotRun("the machines are not ready".to_owned());
    }
    world.sleep(5_000);
    let mut number = 0;
    let mut refusals = 0;
    let until = Instant::now() + Duration::from_secs(25);
    while refusals < 6 && Instant::now() < until {
        send_sound(&world, number % 3, &format!("s{number}"));
        let before = deadly_arrivals(&world, world.record.started);
        let status = send_deadly(&world, number % 3, &format!("d{number}"));
        let has_arrived = deadly_arrivals(&world, world.record.started) > before;
        refusals = if status == 503 && !has_arrived { refusals + 1 } else { 0 };
        number += 1;
        world.sleep(700);
    }
    if refusals < 6 {
        return Outcome::NotRun("the machines did not learn to refuse the request".to_owned());
    }
    record.line("all machines refuse the request");
    if has_trouble {
        record.line("all machines are killed");
        world.entries.iter_mut().for_each(|entry| entry.kill());
        world.sleep(1_000);
        world.entries.iter_mut().for_each(|entry| entry.start_again());
        if !world.entries.iter().all(|entry| entry.wait_until_ready()) {
            return Outcome::NotRun("the machines are not back".to_owned());
        }
        record.line("all machines are back and ready");
    }
    // Long enough that all machines are in touch again.
    world.sleep(8_000);
    let in_touch_at = Instant::now();
    for round in 0..4 {
        std::thread::scope(|scope| {
            for entry in 0..3 {
                let world = &world;
                let attempt = format!("again-{round}-{entry}");
                scope.spawn(move || send_deadly(world, entry, &attempt));
            }
        });
        send_sound(&world, round % 3, &format!("after-{round}"));
        world.sleep(2_000);
    }
    let third = crashes.at(3).map_or(in_touch_at, |at| at + CONTACT).max(in_touch_at);
    judge(&world, &crashes, 3, |_| deadly_arrivals(&world, third))
}

/// Engines answer without a length or chunks; one part of a prompt crashes each engine after the
/// head of its answer.
pub fn unframed(record: &Record, has_trouble: bool) -> Outcome {
    let mut world = World::new(record);
    world.put_config(
        10,
        &[Route {
            prefix: "/ask/",
            kind: "streaming",
            service: "models",
            attempts: 1,
            timeout_ms: 5_000,
            is_resumable: false,
        }],
    );
    let crashes = Crashes::default();
    let is_deadly = move |request: &Message| {
        let parts = request.header("cowslipvale-prompt-prefix").unwrap_or("");
        has_trouble && parts.contains(&format!("{DEADLY_PART}:"))
    };
    let engine_crashes = crashes.clone();
    let behaviour: Arc<Behaviour> = Arc::new(move |worker, request, stream| {
        std::thread::sleep(Duration::from_millis(30));
        stream_head(request, stream, "")?;
        if is_deadly(request) {
            std::thread::sleep(Duration::from_millis(20));
            return engine_crashes.crash(worker);
        }
        for id in 1..=6 {
            stream.write_all(format!("id: {id}\ndata: token{id}\n\n").as_bytes()).ok()?;
            std::thread::sleep(Duration::from_millis(20));
        }
        None
    });
    for number in 0..6 {
        world.add_worker(&format!("e-{number:04x}"), "models", Some("decode"), behaviour.clone());
    }
    if !world.start_entries(3) {
        return Outcome::NotRun("the machines are not ready".to_owned());
    }
    world.sleep(5_000);
    let started = Instant::now();
    let number = AtomicUsize::new(0);
    let empty_streams = AtomicUsize::new(0);
    let is_running = AtomicBool::new(true);
    std::thread::scope(|scope| {
        for client in 0..2 {
            let (world, number, is_running) = (&world, &number, &is_running);
            let empty_streams = &empty_streams;
            scope.spawn(move || {
                while is_running.load(Ordering::SeqCst) {
                    let count = number.fetch_add(1, Ordering::SeqCst);
                    let entry = &world.entries[count % 3];
                    let part = if client == 0 { DEADLY_PART } else { "b0b0" };
                    let headers = format!(
                        "Cowslipvale-Model: m\r\nCowslipvale-Token-Counts: 900,40\r\n\
                         Cowslipvale-Prompt-Prefix: aaaa:300,{part}:400,{:x}:200\r\n",
                        0xc000_0000_u32 + count as u32
                    );
                    let (path, attempt) = (format!("/ask/q{count}"), format!("a{count}"));
                    let answer = call("POST", &path, &attempt, &headers).send(entry.callers);
                    let is_empty =
                        answer.status == 200 && answer.is_complete && answer.body.is_empty();
                    empty_streams.fetch_add(usize::from(is_empty), Ordering::SeqCst);
                    world.record.line(&format!(
                        "client {attempt} with part {part} at {}: {}, complete: {}, {} bytes",
                        entry.name,
                        answer.status,
                        answer.is_complete,
                        answer.body.len()
                    ));
                    world.sleep(if client == 0 { 900 } else { 300 });
                }
            });
        }
        while started.elapsed() < Duration::from_secs(40) {
            world.sleep(100);
        }
        is_running.store(false, Ordering::SeqCst);
    });
    record.say(&format!(
        "{} streams ended as complete without a piece",
        empty_streams.load(Ordering::SeqCst)
    ));
    judge(&world, &crashes, 5, |after| {
        let arrivals = world.workers.iter().flat_map(Worker::arrivals);
        arrivals.filter(|seen| seen.at > after && is_deadly(&seen.request)).count()
    })
}

/// Number of requests with the deadly part that come in quick succession, and the time between two.
const BURST: usize = 3;
const BURST_GAP: Duration = Duration::from_millis(300);
/// Sound requests before the burst, and after 2 x `contact_ms` from the last crash.
const SOUND: usize = 24;

/// A caller keeps one channel. Three of its requests hold a part that crashes engines, between a first
/// and a third part that its sound requests hold too.
pub fn wrong_part(record: &Record, has_trouble: bool) -> Outcome {
    let mut world = World::new(record);
    world.put_config(
        10,
        &[Route {
            prefix: "/ask/",
            kind: "streaming",
            service: "models",
            attempts: 1,
            timeout_ms: 5_000,
            is_resumable: false,
        }],
    );
    let crashes = Crashes::default();
    let engine_crashes = crashes.clone();
    let behaviour: Arc<Behaviour> = Arc::new(move |worker, request, stream| {
        std::thread::sleep(Duration::from_millis(30));
        let parts = request.header("cowslipvale-prompt-prefix").unwrap_or("");
        if has_trouble && parts.contains(&format!("{DEADLY_PART}:")) {
            return engine_crashes.crash(worker);
        }
        stream_head(request, stream, "Transfer-Encoding: chunked\r\n")?;
        for id in 1..=6 {
            chunk(stream, &format!("id: {id}\ndata: token{id}\n\n"))?;
            std::thread::sleep(Duration::from_millis(20));
        }
        stream.write_all(b"0\r\n\r\n").ok()
    });
    for number in 0..6 {
        world.add_worker(&format!("e-{number:04x}"), "models", Some("decode"), behaviour.clone());
    }
    if !world.start_entries(3) {
        return Outcome::NotRun("the machines are not ready".to_owned());
    }
    world.sleep(5_000);
    // The caller uses one machine, as its channel stays there; later on it uses all in turn.
    let machine = AtomicUsize::new(2);
    let number = AtomicUsize::new(0);
    let send = |part: &str| {
        let entry = &world.entries[machine.load(Ordering::SeqCst)];
        let count = number.fetch_add(1, Ordering::SeqCst);
        let headers = format!(
            "Cowslipvale-Model: m\r\nCowslipvale-Token-Counts: 900,40\r\n\
             Cowslipvale-Prompt-Prefix: aaaa:200,{part}:300,cccc:200,{:x}:200\r\n",
            0xc000_0000_u32 + count as u32
        );
        let (path, attempt) = (format!("/ask/q{count}"), format!("a{count}"));
        let answer = call("POST", &path, &attempt, &headers).send(entry.callers);
        record.line(&format!(
            "client {attempt} with part {part} at {}: {}, complete: {} {}",
            entry.name,
            answer.status,
            answer.is_complete,
            if answer.status == 200 { String::new() } else { answer.text() }
        ));
        attempt
    };
    let send_sound = || {
        let started = Instant::now();
        let attempt = send("b1b1");
        std::thread::sleep(Duration::from_secs(1).saturating_sub(started.elapsed()));
        attempt
    };
    let before: Vec<String> = (0..SOUND).map(|_| send_sound()).collect();
    for _ in 0..BURST {
        let started = Instant::now();
        send(DEADLY_PART);
        std::thread::sleep(BURST_GAP.saturating_sub(started.elapsed()));
    }
    let from = crashes.at(crashes.count().max(1)).unwrap_or_else(Instant::now) + 2 * CONTACT;
    while Instant::now() < from {
        send_sound();
    }
    let mut after = Vec::new();
    for count in 0..SOUND {
        machine.store(count % 3, Ordering::SeqCst);
        after.push(send_sound());
        // Such requests still come.
        if after.len() % 4 == 0 {
            send(DEADLY_PART);
        }
    }
    let arrivals: Vec<String> = world
        .workers
        .iter()
        .flat_map(Worker::arrivals)
        .filter_map(|seen| seen.request.header("cowslipvale-attempt-id").map(str::to_owned))
        .collect();
    let begun = |sent: &[String]| sent.iter().filter(|id| arrivals.contains(id)).count();
    let (before_count, after_count) = (begun(&before), begun(&after));
    record.say(&format!(
        "{} crashes; {before_count} of {SOUND} sound requests began before them, {after_count} of {SOUND} \
         later than 2 x contact_ms after the last",
        crashes.count()
    ));
    if 2 * after_count < before_count { Outcome::Broken } else { Outcome::Held }
}
