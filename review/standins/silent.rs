//! All open channels to the store go silent for good, without a reset, while new ones work.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::Outcome;
use crate::entry::{CONFIG, CONTACT, DRAIN};
use crate::http::{Call, KEY};
use crate::record::Record;
use crate::store::Store;
use crate::worker::{Behaviour, answer};
use crate::world::{Route, World};

/// Pause after the start: more than `contact_ms`.
const CALM: Duration = Duration::from_millis(6_000);
/// Time after the silence until which clients send requests.
const CLIENTS_FOR: Duration = Duration::from_millis(6_500);
/// Pause before the next round.
const PAUSE: Duration = Duration::from_millis(1_500);
/// Pause between two requests of a client.
const CLIENT_PAUSE: Duration = Duration::from_millis(25);

fn put_config(world: &World, version: u64, prefixes: &[String]) -> Instant {
    let routes: Vec<Route<'_>> = prefixes
        .iter()
        .map(|prefix| Route {
            prefix,
            kind: "safe",
            service: "app",
            attempts: 2,
            timeout_ms: 1_500,
            is_resumable: false,
        })
        .collect();
    world.put_config(version, &routes)
}

fn whole_answers() -> Arc<Behaviour> {
    Arc::new(|_, request, stream| answer(request, stream, 200, "whole"))
}

fn silence(world: &World, round: u64) -> Instant {
    let counts: Vec<usize> = world.proxies.iter().map(|proxy| proxy.silence()).collect();
    let at = Instant::now();
    let text = "channels to the store go silent, those opened since the last time";
    world.record.line(&format!("round {round}: {text}: {counts:?}"));
    at
}

/// Sends requests to each machine until a time; passes the time of each request, its path and its
/// status to `check`.
fn run_clients(
    world: &World,
    round: u64,
    until: Instant,
    paths: &[String],
    check: impl Fn(Instant, &str, u16) + Sync,
) {
    std::thread::scope(|scope| {
        for entry in &world.entries {
            let check = &check;
            scope.spawn(move || {
                let mut number = 0;
                while Instant::now() < until {
                    number += 1;
                    let prefix = &paths[number % paths.len()];
                    let attempt = format!("{}-{round}-{number}", entry.name);
                    let path = format!("{prefix}x{number}");
                    let call = Call {
                        method: "GET",
                        path: &path,
                        attempt: &attempt,
                        key: KEY,
                        deadline_ms: 1_500,
                        extra_headers: "",
                        body: "",
                    };
                    let sent_at = Instant::now();
                    let status = call.send(entry.callers).status;
                    world.record.line(&format!("client {attempt} {path}: {status}"));
                    check(sent_at, prefix, status);
                    std::thread::sleep(CLIENT_PAUSE);
                }
            });
        }
    });
}

/// A worker leaves without a report of `draining` after the silence.
pub fn drain(record: &Record, has_trouble: bool) -> Outcome {
    const MACHINES: usize = 2;
    const ROUNDS: u64 = 10;
    const LEAVE_AFTER: Duration = Duration::from_millis(400);

    let mut world = World::new(record);
    let paths = ["/stock/".to_owned()];
    put_config(&world, 10, &paths);
    for index in 0..3 + ROUNDS {
        world.add_worker(&format!("i-{index:04x}"), "app", None, whole_answers());
    }
    if !world.start_entries(MACHINES) {
        return Outcome::NotRun("the machines are not ready".to_owned());
    }
    std::thread::sleep(CALM);
    let mut broken = 0;
    for round in 1..=ROUNDS {
        let silent_at = if has_trouble { silence(&world, round) } else { Instant::now() };
        std::thread::sleep(LEAVE_AFTER);
        let leaving = &world.workers[round as usize - 1];
        let left_at = leaving.leave();
        run_clients(&world, round, silent_at + CLIENTS_FOR, &paths, |_, _, _| ());
        // The machines are in touch again `contact_ms` after the silence.
        let due = (left_at + DRAIN).max(silent_at + CONTACT);
        let late: Vec<Instant> =
            leaving.arrivals().iter().map(|arrival| arrival.at).filter(|at| *at > due).collect();
        for at in &late {
            record.line(&format!(
                "too late: a request reached {} {} ms after its leaving was confirmed, {} ms after \
                 the silence",
                leaving.id,
                at.duration_since(left_at).as_millis(),
                at.duration_since(silent_at).as_millis()
            ));
        }
        let last = late.iter().max().map_or(0, |at| at.duration_since(left_at).as_millis());
        record.say(&format!(
            "round {round}: {} requests reached the worker too late, the last {last} ms after its \
             leaving was confirmed",
            late.len()
        ));
        broken += late.len();
        leaving.is_up.store(false, Ordering::SeqCst);
        std::thread::sleep(PAUSE);
    }
    if broken > 0 { Outcome::Broken } else { Outcome::Held }
}

/// Configs come in quick succession before and after the silence. The store closes idle channels
/// soon, so only the reads that wait for a change lose their channel.
pub fn config(record: &Record, has_trouble: bool) -> Outcome {
    const MACHINES: usize = 6;
    const ROUNDS: u64 = 8;
    const STORE_IDLE: Duration = Duration::from_millis(500);
    /// Time between two versions (`gap_s` of `config_storm`).
    const STORM_GAP: Duration = Duration::from_millis(330);
    const BEFORE: u64 = 4;
    const AFTER: u64 = 4;

    let mut world = World::with_store(record, Store::start(Some(STORE_IDLE)));
    let mut version = 10;
    put_config(&world, version, &["/old/".to_owned()]);
    for index in 0..3 {
        world.add_worker(&format!("i-{index:04x}"), "app", None, whole_answers());
    }
    if !world.start_entries(MACHINES) {
        return Outcome::NotRun("the machines are not ready".to_owned());
    }
    std::thread::sleep(CALM);
    let mut broken = 0;
    for round in 1..=ROUNDS {
        let mut put = |prefixes: &[String]| {
            version += 3;
            put_config(&world, version, prefixes)
        };
        // Until the silence, all versions hold the route that the last one drops.
        let dropped = format!("/dropped{round}/");
        let added = format!("/added{round}/");
        for number in 0..BEFORE {
            put(&["/old/".to_owned(), dropped.clone(), format!("/r{number}/")]);
            std::thread::sleep(STORM_GAP);
        }
        let silent_at = if has_trouble { silence(&world, round) } else { Instant::now() };
        let mut confirmed_at = silent_at;
        for number in 0..AFTER {
            std::thread::sleep(STORM_GAP);
            confirmed_at = put(&["/old/".to_owned(), added.clone(), format!("/r{number}/")]);
            if number == 0 {
                record.line(&format!("this version adds {added} and drops {dropped}"));
            }
        }
        let due = (confirmed_at + CONFIG).max(silent_at + CONTACT);
        let late = Mutex::new(Vec::new());
        let has_run = AtomicBool::new(false);
        let paths = [added.clone(), dropped.clone()];
        run_clients(&world, round, silent_at + CLIENTS_FOR, &paths, |sent_at, prefix, status| {
            let is_refused = *prefix == added && status == 404;
            let is_run = *prefix == dropped && status == 200;
            if sent_at > due && (is_refused || is_run) {
                has_run.fetch_or(is_run, Ordering::SeqCst);
                late.lock().unwrap().push(sent_at);
                record.line(&format!(
                    "too late: {prefix} got {status} {} ms after the confirmation, {} ms after the \
                     silence",
                    sent_at.duration_since(confirmed_at).as_millis(),
                    sent_at.duration_since(silent_at).as_millis()
                ));
            }
        });
        let late = late.into_inner().unwrap();
        let last = late.iter().max().map_or(0, |at| at.duration_since(silent_at).as_millis());
        record.say(&format!(
            "round {round}: {} requests were handled as only an older version allows, some of them \
             run: {}, the last {last} ms after the silence",
            late.len(),
            has_run.load(Ordering::SeqCst)
        ));
        broken += late.len();
        std::thread::sleep(PAUSE);
    }
    if broken > 0 { Outcome::Broken } else { Outcome::Held }
}
