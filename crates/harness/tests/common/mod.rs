//! Helpers of the process tests.
#![allow(dead_code)]

use std::sync::{Mutex, MutexGuard, PoisonError};

use cowslip_harness::{Answer, Fleet, Objects};
use cowslip_proto as proto;
use http::Method;

static ONE_FLEET: Mutex<()> = Mutex::new(());

/// One fleet at a time in one test program, so that a small machine keeps up.
pub fn turn() -> MutexGuard<'static, ()> {
    ONE_FLEET.lock().unwrap_or_else(PoisonError::into_inner)
}

pub const CHAT: &str = "/v1/chat/completions";
pub const BOOKINGS: &str = "/services/shop/bookings";

pub fn chat_body(content: &str, is_streamed: bool, max_tokens: u32) -> String {
    format!(
        r#"{{"model":"hay","stream":{is_streamed},"max_tokens":{max_tokens},"messages":[{{"role":"user","content":"{content}"}}]}}"#
    )
}

pub fn chat(fleet: &Fleet, entry: usize, objects: &Objects, body: &str) -> Answer {
    let bearer = format!("Bearer {}", objects.token);
    let headers = [("authorization", bearer.as_str())];
    fleet.call(entry, &Method::POST, CHAT, &headers, body).expect("an answer")
}

pub fn book(
    fleet: &Fleet,
    entry: usize,
    objects: &Objects,
    booking: &str,
    key: Option<&str>,
) -> Answer {
    let bearer = format!("Bearer {}", objects.token);
    let mut headers = vec![("authorization", bearer.as_str())];
    headers.extend(key.map(|key| ("idempotency-key", key)));
    let body = format!(r#"{{"booking":"{booking}"}}"#);
    fleet.call(entry, &Method::POST, BOOKINGS, &headers, &body).expect("an answer")
}

/// How often a booking ran.
pub fn runs(fleet: &Fleet, booking: &str) -> u32 {
    let ledger = fleet.ledger().expect("the ledger");
    ledger.rows.iter().find(|row| row.booking == booking).map_or(0, |row| row.runs)
}

pub fn no_platform_faults() -> proto::PlatformFaults {
    proto::PlatformFaults {
        outage: false,
        cut_ports: Vec::new(),
        lose_append_answers: 0,
        lose_usage_answers: 0,
        hold_usage_state_ms: 0,
        delay_ms: 0,
        removed_instances: Vec::new(),
    }
}

pub fn no_engine_faults() -> proto::EngineFaults {
    proto::EngineFaults {
        crash_on: String::new(),
        crash_after_tokens: None,
        cross_answers: 0,
        hold_state_ms: 0,
    }
}

/// Index of the instance that holds the scope, and its term.
pub fn holder(fleet: &Fleet) -> Option<(usize, u64)> {
    let statuses = (0..fleet.entries.len()).filter_map(|index| fleet.status(index).ok());
    let newest = statuses.max_by_key(|status| status.next_offset)?;
    let term = newest.terms.first().filter(|term| !term.released)?;
    let index = term.holder.as_str().strip_prefix("entry-")?.parse().ok()?;
    Some((index, term.term))
}
