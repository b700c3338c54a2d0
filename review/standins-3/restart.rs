//! BUDGET: a worker starts again under its id and wants no requests for a while.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::instance::Deployment;
use crate::record::Record;
use crate::site::{HEARTBEAT, KEY, Site};

/// The figures of lankakorpi-shop.
const SITE: Deployment = Deployment {
    zones: &[("uusimaa-a", "uusimaa"), ("pirkanmaa-a", "pirkanmaa"), ("pohjanmaa-a", "pohjanmaa")],
    memory_mb: 260,
    descriptors: 4_100,
    requires_fence: true,
    retry_slack: 52,
};
/// Time after an answer with `Retry-After` from which on requests count, and most of them.
const GRACE: Duration = Duration::from_millis(500);
const MOST: usize = 2;
/// Interval between the callers' bookings, and how many each machine gets at once.
const BOOK_EVERY: Duration = Duration::from_secs(1);
const BOOKINGS: u32 = 12;
/// Times after a booking at which a worker ends and starts again.
const ENDS_AFTER: Duration = Duration::from_millis(500);
const DOWN: Duration = Duration::from_millis(400);
/// Time for which the worker then takes no work.
const BUSY: Duration = Duration::from_millis(4_500);
/// Look-ups before the first end, and from one end to the next.
const FIRST: u32 = 4;
const EACH: u32 = 8;

pub fn run(record: &Record, has_trouble: bool) -> Vec<String> {
    let mut site = Site::start(&SITE, record);
    let started = record.now();
    let mut machines = BTreeMap::new();
    let workers = site.workers.clone();
    for index in 0..FIRST + EACH * u32::try_from(workers.len()).expect("a small number") {
        let sent_at = started + BOOK_EVERY * index;
        record.sleep_until(sent_at);
        let answers = site.book(KEY, BOOKINGS);
        machines.extend(answers.into_iter().map(|answer| (answer.attempt, answer.machine)));
        let Some(step) = index.checked_sub(FIRST).filter(|step| step % EACH == 0) else { continue };
        let worker = &workers[(step / EACH) as usize];
        record.sleep_until(sent_at + ENDS_AFTER);
        if has_trouble {
            worker.end();
        }
        record.sleep_until(sent_at + ENDS_AFTER + DOWN);
        if has_trouble {
            worker.start_again(HEARTBEAT).set_busy(BUSY);
        } else {
            worker.set_busy(BUSY);
        }
    }
    site.check_processes();
    let arrivals = site.arrivals.lock().expect("no panic");
    let machine_of = |attempt: &str| machines.get(attempt).cloned().unwrap_or_default();
    let mut broken = Vec::new();
    let mut reported = BTreeMap::new();
    for answer in arrivals.iter() {
        let Some(retry_after) = answer.retry_after else { continue };
        let machine = machine_of(&answer.attempt);
        let unwanted = arrivals.iter().filter(|later| {
            later.worker == answer.worker
                && machine_of(&later.attempt) == machine
                && later.at > answer.at + GRACE
                && later.at < answer.at + retry_after
        });
        let count = unwanted.count();
        let is_first = reported.insert((answer.worker.clone(), machine.clone()), ()).is_none();
        if count > MOST && is_first {
            broken.push(format!(
                "BUDGET: {count} requests from {machine} reached {} later than half a second after \
                 it had asked that machine at {:.3} s for {retry_after:?}",
                answer.worker,
                answer.at.as_secs_f64()
            ));
        }
    }
    broken
}
