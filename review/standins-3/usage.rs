//! ONE: usage is reported after the store has come back from an older copy.

use std::time::Duration;

use crate::instance::Deployment;
use crate::record::Record;
use crate::site::{KEY, Site};

/// The figures of kvat-booking-grown, with a machine in three of its zones.
const SITE: Deployment = Deployment {
    zones: &[("wm-a", "west-midlands"), ("em-a", "east-midlands"), ("nw-a", "north-west")],
    memory_mb: 260,
    descriptors: 4_100,
    requires_fence: false,
    retry_slack: 186,
};
/// `contact_ms`, after which the platform's store counts as stable.
const CONTACT: Duration = Duration::from_millis(4_000);
/// Age of the copy, and time for which the store is away.
const COPY_AGE: Duration = Duration::from_secs(8);
const AWAY: Duration = Duration::from_millis(300);
/// Interval between the callers' bookings.
const BOOK_EVERY: Duration = Duration::from_millis(500);
/// Reports before the store goes away: the copy holds some of them.
const REPORTS_BEFORE: usize = 4;
/// Longest wait for these reports.
const REPORTS_TIMEOUT: Duration = Duration::from_secs(50);
/// Time for which the reports are watched after the store is back.
const WATCHED: Duration = Duration::from_secs(22);

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
            site.book(KEY, 1);
            book_at += BOOK_EVERY;
        }
        std::thread::sleep(Duration::from_millis(10));
    }
}

/// Waits for some reports and then brings the store back from a copy. Returns the time at which it
/// is back.
fn restore_after_reports(site: &mut Site, has_trouble: bool) -> Duration {
    book_until(site, REPORTS_TIMEOUT, |site| site.duties.calls().len() >= REPORTS_BEFORE);
    assert!(site.duties.calls().len() >= REPORTS_BEFORE, "no usage is reported");
    if has_trouble {
        site.restore_store(AWAY, COPY_AGE);
    }
    site.record.now()
}

pub fn run(record: &Record, has_trouble: bool) -> Vec<String> {
    let mut site = Site::start(&SITE, record);
    let back_at = restore_after_reports(&mut site, has_trouble);
    book_until(&mut site, WATCHED, |_| false);
    site.check_processes();
    let calls = site.duties.calls();
    let late = calls.iter().enumerate().filter(|(_, call)| call.at > back_at + CONTACT);
    late.filter_map(|(index, call)| {
        let highest = calls[..index].iter().map(|earlier| earlier.fence).max()?;
        (call.fence < highest).then(|| {
            format!(
                "ONE: {:.3} s after the store was back, {} reported window {} with fence {}, \
                 though the platform had seen {highest}",
                (call.at - back_at).as_secs_f64(),
                call.machine,
                call.window,
                call.fence
            )
        })
    })
    .collect()
}
