//! The catalogue in docs/EVENTS.md lists exactly the events and metrics of the code.

use cowslip_entry::{CATALOGUE, METRIC_NAMES};

const EVENTS: &str = include_str!("../../../docs/EVENTS.md");

#[test]
fn catalogue_lists_every_event() {
    let rows: Vec<String> = CATALOGUE
        .iter()
        .map(|row| {
            format!("| E{} | {} | {} |", row.code, row.level.as_str().to_lowercase(), row.summary)
        })
        .collect();
    let documented: Vec<&str> = EVENTS.lines().filter(|line| line.starts_with("| E")).collect();
    assert_eq!(documented, rows);
}

#[test]
fn catalogue_lists_every_metric() {
    let documented: Vec<&str> = EVENTS
        .lines()
        .filter_map(|line| line.strip_prefix("| `")?.split_once('`').map(|(name, _)| name))
        .collect();
    assert_eq!(documented, METRIC_NAMES);
}

#[test]
fn event_numbers_are_unique_and_ascending() {
    assert!(CATALOGUE.is_sorted_by(|a, b| a.code < b.code));
}
