//! ONE: the store comes back from an older copy as all processes are killed.

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
/// Age of the copy, and time for which the store is away.
const COPY_AGE: Duration = Duration::from_millis(4_000);
const AWAY: Duration = Duration::from_millis(300);
/// Interval between the bookings, and how many each machine gets at once.
const BOOK_EVERY: Duration = Duration::from_millis(250);
const BOOKINGS: u32 = 3;
/// Reports before the store goes away, and the longest wait for them.
const REPORTS_BEFORE: usize = 4;
const REPORTS_TIMEOUT: Duration = Duration::from_secs(40);
/// Time for which the reports are watched afterwards.
const WATCHED: Duration = Duration::from_secs(15);

pub fn run(record: &Record, has_trouble: bool) -> Vec<String> {
    let mut site = Site::start(&SITE, record);
    book_until(&mut site, REPORTS_TIMEOUT, |site| site.duties.calls().len() >= REPORTS_BEFORE);
    assert!(site.duties.calls().len() >= REPORTS_BEFORE, "no usage is reported");
    if has_trouble {
        for instance in &mut site.instances {
            instance.kill();
        }
        record.write("all processes are killed");
        site.restore_store(AWAY, COPY_AGE);
        for instance in &mut site.instances {
            instance.spawn();
        }
    }
    book_until(&mut site, WATCHED, |_| false);
    site.check_processes();
    let accepted: Vec<_> =
        site.duties.calls().into_iter().filter(|call| call.status == 200).collect();
    let mut broken = Vec::new();
    for (index, call) in accepted.iter().enumerate() {
        let other = accepted[..index]
            .iter()
            .find(|earlier| earlier.window == call.window && earlier.counts != call.counts);
        if let Some(other) = other {
            broken.push(format!(
                "ONE: the platform accepted window {} with {} from {} (fence {}) and with {} from {} \
                 (fence {})",
                call.window,
                other.counts,
                other.machine,
                other.fence,
                call.counts,
                call.machine,
                call.fence
            ));
        }
    }
    broken
}

/// Has the callers book for some time, or until a condition holds.
fn book_until<F>(site: &mut Site, timeout: Duration, is_done: F)
where
    F: Fn(&Site) -> bool,
{
    let record = site.record.clone();
    let until = record.now() + timeout;
    let mut book_at = record.now();
    while record.now() < until && !is_done(site) {
        if record.now() >= book_at {
            site.book(KEY, BOOKINGS);
            book_at = record.now().max(book_at + BOOK_EVERY);
        }
        std::thread::sleep(Duration::from_millis(5));
    }
}
