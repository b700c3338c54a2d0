//! A machine gets SIGTERM while clients keep using their open channels for long answers.

use std::net::TcpStream;
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::Outcome;
use crate::http::{Call, KEY};
use crate::record::Record;
use crate::worker::{Behaviour, chunk, stream_head};
use crate::world::{Route, World};

/// Requests sent later than this after SIGTERM are owed a complete answer however long they take: three
/// seconds, and some time for sending the signal.
const EXCUSED_UNTIL: Duration = Duration::from_millis(3_010);
/// Time limit of the clients and of the route.
const TIME_LIMIT_MS: u64 = 6_000;
/// Length of an answer: pieces with a pause between two of them.
const PIECES: u32 = 46;
const PAUSE: Duration = Duration::from_millis(100);
/// Time between two requests, each on a kept channel of its own.
const SEND_EVERY: Duration = Duration::from_millis(25);
const REQUESTS: u32 = 140;

pub fn run(record: &Record, has_trouble: bool) -> Outcome {
    let mut world = World::new(record);
    world.put_config(
        10,
        &[Route {
            prefix: "/label/",
            kind: "streaming",
            service: "models",
            attempts: 1,
            timeout_ms: TIME_LIMIT_MS,
            is_resumable: false,
        }],
    );
    let behaviour: Arc<Behaviour> = Arc::new(|_, request, stream| {
        stream_head(request, stream, "Transfer-Encoding: chunked\r\n")?;
        let pieces = if request.path().ends_with("/short") { 1 } else { PIECES };
        for id in 1..=pieces {
            chunk(stream, &format!("id: {id}\ndata: token{id}\n\n"))?;
            if id < pieces {
                std::thread::sleep(PAUSE);
            }
        }
        std::io::Write::write_all(stream, b"0\r\n\r\n").ok()
    });
    for number in 0..6 {
        world.add_worker(&format!("e-{number:04x}"), "models", Some("decode"), behaviour.clone());
    }
    if !world.start_entries(2) {
        return Outcome::NotRun("the machines are not ready".to_owned());
    }
    world.sleep(5_000);
    // The clients open their channels and use each for a short request.
    let callers = world.entries[0].callers;
    let mut channels = Vec::new();
    for number in 0..REQUESTS {
        let Ok(stream) = TcpStream::connect(callers) else {
            return Outcome::NotRun("a channel cannot be opened".to_owned());
        };
        let attempt = format!("short-{number}");
        let call = Call {
            method: "POST",
            path: "/label/short",
            attempt: &attempt,
            key: KEY,
            deadline_ms: TIME_LIMIT_MS,
            extra_headers: "",
            body: "",
        };
        let answer = call.send_on(stream.try_clone().unwrap(), Instant::now());
        if answer.status != 200 || !answer.is_complete {
            return Outcome::NotRun(format!("a short request failed: {}", answer.status));
        }
        channels.push(stream);
    }
    if has_trouble {
        world.entries[0].terminate();
        record.line("the machine got SIGTERM");
    }
    let signal_at = Instant::now();
    let clients: Vec<_> = channels
        .into_iter()
        .enumerate()
        .map(|(number, stream)| {
            let record = record.clone();
            std::thread::spawn(move || {
                let due = signal_at + SEND_EVERY * (number as u32);
                std::thread::sleep(due.saturating_duration_since(Instant::now()));
                let sent_at = Instant::now();
                let attempt = format!("long-{number}");
                let call = Call {
                    method: "POST",
                    path: "/label/long",
                    attempt: &attempt,
                    key: KEY,
                    deadline_ms: TIME_LIMIT_MS,
                    extra_headers: "",
                    body: "",
                };
                let answer = call.send_on(stream, sent_at);
                record.line(&format!(
                    "client {attempt}, sent {} ms after SIGTERM: {}, complete: {}, {} bytes, ended {} ms \
                     after SIGTERM",
                    sent_at.duration_since(signal_at).as_millis(),
                    answer.status,
                    answer.is_complete,
                    answer.body.len(),
                    signal_at.elapsed().as_millis()
                ));
                (attempt, sent_at, answer)
            })
        })
        .collect();
    let results: Vec<_> = clients.into_iter().map(|client| client.join().unwrap()).collect();
    world.sleep(1_000);
    let arrivals: Vec<String> = world
        .workers
        .iter()
        .flat_map(|worker| worker.arrivals())
        .filter_map(|seen| seen.request.header("cowslipvale-attempt-id").map(str::to_owned))
        .collect();
    let mut lost = 0;
    let mut excused = 0;
    for (attempt, sent_at, answer) in &results {
        // Not passed on, or answered completely.
        if !arrivals.contains(attempt) || answer.is_complete {
            continue;
        }
        // The worker was still at work when the answer was cut off, which is in the last sixth of
        // `grace_s`; that excuses requests sent up to three seconds after SIGTERM.
        let has_time_left = answer.took < Duration::from_millis(TIME_LIMIT_MS - 500);
        if !has_time_left || *sent_at <= signal_at + EXCUSED_UNTIL {
            excused += 1;
            continue;
        }
        lost += 1;
        record.line(&format!(
            "lost: {attempt}, sent {} ms after SIGTERM, passed on, {} pieces, no end",
            sent_at.duration_since(signal_at).as_millis(),
            answer.text().matches("id: ").count()
        ));
    }
    record.say(&format!(
        "{} long requests, {lost} lost, {excused} cut off but excused",
        results.len()
    ));
    if lost > 0 { Outcome::Broken } else { Outcome::Held }
}
