//! DRAIN: a worker leaves after the store has come back from an older copy.

use std::time::Duration;

use crate::instance::Deployment;
use crate::record::Record;
use crate::site::{KEY, Site};

/// The figures of lankakorpi-shop.
const SITE: Deployment = Deployment {
    zones: &[("uusimaa-a", "uusimaa"), ("pirkanmaa-a", "pirkanmaa"), ("pohjanmaa-a", "pohjanmaa")],
    memory_mb: 260,
    descriptors: 4_100,
    requires_fence: true,
    retry_slack: 52,
};
/// `contact_ms`, after which calm machines are in touch and the store is stable.
const CONTACT: Duration = Duration::from_millis(4_000);
/// `drain_ms`.
const DRAIN: Duration = Duration::from_millis(2_500);
/// Age of the copy, and time for which the store is away.
const COPY_AGE: Duration = Duration::from_secs(8);
const AWAY: Duration = Duration::from_millis(300);
/// Interval between the callers' bookings, and how many each machine gets at once.
const BOOK_EVERY: Duration = Duration::from_millis(3_500);
const BOOKINGS: u32 = 12;
/// Time after the last bookings at which the leaving worker exits, over a second after `drain_ms`.
const EXITS_AFTER: Duration = Duration::from_millis(150);

pub fn run(record: &Record, has_trouble: bool) -> Vec<String> {
    let mut site = Site::start(&SITE, record);
    let started = record.now();
    let time_of = |index: u32| started + BOOK_EVERY * index;
    let book_at = |site: &mut Site, index: u32| {
        record.sleep_until(time_of(index));
        site.book(KEY, BOOKINGS)
    };
    for index in 0..5 {
        book_at(&mut site, index);
    }
    record.sleep_until(time_of(4) + Duration::from_millis(2_300));
    if has_trouble {
        site.restore_store(AWAY, COPY_AGE);
    }
    let stable_at = record.now() + CONTACT;
    book_at(&mut site, 5);
    book_at(&mut site, 6);
    let leaving = site.workers.last().expect("workers").clone();
    record.sleep_until(stable_at + Duration::from_millis(200));
    let removed_at = leaving.leave();
    let (exiting, clock) = (leaving.clone(), record.clone());
    let exits_at = time_of(7) + EXITS_AFTER;
    std::thread::spawn(move || {
        clock.sleep_until(exits_at);
        exiting.end();
    });
    let answers = book_at(&mut site, 7);
    let failed = answers.iter().filter(|answer| answer.status != "200").count();
    record.write(&format!("{failed} of the last {} bookings failed", answers.len()));
    site.check_processes();
    let arrivals = site.arrivals.lock().expect("no panic");
    let late = arrivals.iter().filter(|arrival| {
        arrival.worker == leaving.id && arrival.status != 421 && arrival.at > removed_at + DRAIN
    });
    late.map(|arrival| {
        format!(
            "DRAIN: {} reached {} {:.3} s after the store had confirmed that it was gone",
            arrival.attempt,
            arrival.worker,
            (arrival.at - removed_at).as_secs_f64()
        )
    })
    .collect()
}
