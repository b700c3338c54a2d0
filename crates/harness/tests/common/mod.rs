//! Helpers of the process tests.
#![allow(dead_code)]

use std::sync::{Mutex, MutexGuard, PoisonError};

use cowslip_harness::{Fleet, HttpResponse, TestApiKeys};
use cowslip_proto as proto;
use http::Method;

static FLEET_LOCK: Mutex<()> = Mutex::new(());

/// Makes the tests of a program run one fleet at a time: several fleets on a small machine would
/// cause timeouts.
pub fn lock_fleet() -> MutexGuard<'static, ()> {
    FLEET_LOCK.lock().unwrap_or_else(PoisonError::into_inner)
}

pub const CHAT: &str = "/v1/chat/completions";
pub const BOOKINGS: &str = "/services/shop/bookings";

pub fn chat_body(content: &str, is_streamed: bool, max_tokens: u32) -> String {
    format!(
        r#"{{"model":"hay","stream":{is_streamed},"max_tokens":{max_tokens},"messages":[{{"role":"user","content":"{content}"}}]}}"#
    )
}

pub fn chat(fleet: &Fleet, instance: usize, api_keys: &TestApiKeys, body: &str) -> HttpResponse {
    let bearer = format!("Bearer {}", api_keys.authorized);
    let headers = [("authorization", bearer.as_str())];
    fleet.send_request(instance, &Method::POST, CHAT, &headers, body).expect("a response")
}

pub fn book(
    fleet: &Fleet,
    instance: usize,
    api_keys: &TestApiKeys,
    booking: &str,
    key: Option<&str>,
) -> HttpResponse {
    let bearer = format!("Bearer {}", api_keys.authorized);
    let mut headers = vec![("authorization", bearer.as_str())];
    headers.extend(key.map(|key| ("idempotency-key", key)));
    let body = format!(r#"{{"booking":"{booking}"}}"#);
    fleet.send_request(instance, &Method::POST, BOOKINGS, &headers, &body).expect("a response")
}

/// Returns how often the service executed a booking.
pub fn run_count(fleet: &Fleet, booking: &str) -> u32 {
    let ledger = fleet.ledger().expect("the ledger is readable");
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

/// Returns the index of the instance that holds the lease, and its term, as the status with the
/// highest offset reports them.
pub fn lease_holder(fleet: &Fleet) -> Option<(usize, u64)> {
    let statuses = (0..fleet.instances.len()).filter_map(|index| fleet.status(index).ok());
    let latest = statuses.max_by_key(|status| status.next_offset)?;
    let term = latest.terms.first().filter(|term| !term.released)?;
    let index = term.holder.as_str().strip_prefix("entry-")?.parse().ok()?;
    Some((index, term.term))
}
