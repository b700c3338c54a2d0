//! Checks that docs/EVENTS.md lists the same events and metrics as the code.

use cowslip_serve::{CATALOGUE, METRIC_NAMES};

const EVENTS: &str = include_str!("../../../docs/EVENTS.md");

#[test]
fn events_match_the_catalogue() {
    let rows: Vec<String> = CATALOGUE
        .iter()
        .map(|row| {
            format!("| F{} | {} | {} |", row.code, row.level.as_str().to_lowercase(), row.summary)
        })
        .collect();
    let documented: Vec<&str> = EVENTS.lines().filter(|line| line.starts_with("| F")).collect();
    assert_eq!(documented, rows);
}

#[test]
fn metrics_match_the_catalogue() {
    let documented: Vec<&str> = EVENTS
        .lines()
        .filter_map(|line| line.strip_prefix("| **")?.split_once("**").map(|(name, _)| name))
        .collect();
    assert_eq!(documented, METRIC_NAMES);
}

#[test]
fn event_numbers_are_unique_and_ascending() {
    assert!(CATALOGUE.is_sorted_by(|a, b| a.code < b.code));
}
