//! CONFIG: the config changes after the store has come back from an older copy.

use std::time::Duration;

use crate::instance::Deployment;
use crate::record::Record;
use crate::site::{Answer, KEY, OTHER_KEY, Site};

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
/// `config_ms`.
const CONFIG: Duration = Duration::from_millis(2_500);
/// Age of the copy, and time for which the store is away.
const COPY_AGE: Duration = Duration::from_secs(8);
const AWAY: Duration = Duration::from_millis(300);

pub fn run(record: &Record, has_trouble: bool) -> Vec<String> {
    let mut site = Site::start(&SITE, record);
    let started = record.now();
    let after = |seconds: u64| record.sleep_until(started + Duration::from_secs(seconds));
    site.book(OTHER_KEY, 1);
    after(6);
    site.write_config(8, 2_900, &[KEY, OTHER_KEY]);
    after(8);
    site.write_config(9, 2_800, &[KEY, OTHER_KEY]);
    after(10);
    if has_trouble {
        site.restore_store(AWAY, COPY_AGE);
    }
    record.sleep_until(record.now() + CONTACT + Duration::from_millis(500));
    site.book(OTHER_KEY, 1);
    let confirmed_at = site.write_config(10, 2_800, &[KEY]);
    let mut broken = Vec::new();
    for step in 0..10 {
        record.sleep_until(confirmed_at + CONFIG + Duration::from_millis(100 + 500 * step));
        let sent_at = record.now();
        for Answer { attempt, machine, status } in site.book(OTHER_KEY, 1) {
            let arrivals = site.arrivals.lock().expect("no panic");
            let runs = arrivals.iter().filter(|arrival| arrival.attempt == attempt);
            if runs.count() > 0 {
                broken.push(format!(
                    "CONFIG: {:.3} s after config 10 had dropped its key, {machine} had {attempt} \
                     run and answered {status}",
                    (sent_at - confirmed_at).as_secs_f64()
                ));
            }
        }
    }
    site.check_processes();
    broken
}
