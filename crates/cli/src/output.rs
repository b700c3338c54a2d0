//! Prints the results of commands.

use std::path::Path;

use cowslip_codec::to_json;
use cowslip_proto as proto;

/// Prints the errors of a checked file, or `ok` if it has none, each line with the file's name.
pub(crate) fn check_result(file: &Path, errors: &[String]) {
    if errors.is_empty() {
        println!("{}: ok", file.display());
    }
    for error in errors {
        eprintln!("{}: {error}", file.display());
    }
}

/// Prints a new API key.
pub(crate) fn key(token: &str, object: &proto::ObjectState) {
    println!("token:  {token}");
    println!("object: {}", to_json(object));
}

/// Prints an instance's reply to a ticket.
pub(crate) fn ticket_reply(reply: &proto::TicketReply) {
    match reply {
        proto::TicketReply::Accepted(accepted) => {
            println!(
                "ticket {} at offset {}: in force at {} of {} instances",
                accepted.number, accepted.offset, accepted.in_force_at, accepted.instances
            );
            for row in &accepted.objects {
                println!("  {} {}: {}", row.object.kind, row.object.name, row.outcome);
            }
        }
        proto::TicketReply::Refused(refused) => {
            eprintln!("ticket {} refused: {}", refused.number, refused.reasons.join("; "));
        }
        proto::TicketReply::Unknown(unknown) => {
            eprintln!("ticket {} unknown: {}", unknown.number, unknown.reasons.join("; "));
        }
    }
}

/// Prints the status as tables or JSON.
pub(crate) fn status(status: &proto::StatusReport, is_json: bool) {
    if is_json {
        println!("{}", to_json(status));
        return;
    }
    let log_age = status.log_age_ms.map_or_else(|| "never".to_owned(), |age| format!("{age} ms"));
    println!("instance {}  {}  log read {log_age} ago", status.instance, status.reason);
    println!("offset {}  config {}", status.next_offset, abbreviate(&status.config_digest_hex));
    println!(
        "{:<16} {:<16} {:>8} {:>9} {:>9}",
        "INSTANCE", "DOMAIN", "OFFSET", "IN FLIGHT", "HEARD"
    );
    for row in &status.instances {
        println!(
            "{:<16} {:<16} {:>8} {:>9} {:>6} ms",
            row.name, row.failure_domain, row.next_offset, row.in_flight, row.heard_age_ms
        );
    }
    println!("{:<16} {:<16} {:<16} {:>9} STATE", "UPSTREAM", "OWNER", "DOMAIN", "IN FLIGHT");
    for row in &status.upstreams {
        let state = if row.drained { "drained" } else { "open" };
        println!(
            "{:<16} {:<16} {:<16} {:>9} {state}",
            row.name, row.owner, row.failure_domain, row.in_flight
        );
    }
    println!("{:<16} {:<16} {:>8} STATE", "SCOPE", "HOLDER", "TERM");
    for row in &status.terms {
        let state = if row.released { "released" } else { "held" };
        println!("{:<16} {:<16} {:>8} {state}", row.scope, row.holder, row.term);
    }
}

fn abbreviate(digest: &str) -> &str {
    digest.get(..12).unwrap_or(digest)
}

/// Prints the audit trail as a table or JSON.
pub(crate) fn audit(page: &proto::AuditPage, is_json: bool) {
    if is_json {
        println!("{}", to_json(page));
        return;
    }
    println!(
        "{:>8} {:>14} {:<12} {:<12} {:>8} CHANGE",
        "OFFSET", "TIME (MS)", "INSTANCE", "AUTHOR", "TICKET"
    );
    for line in &page.lines {
        let ticket = line.ticket.map_or_else(|| "-".to_owned(), |number| number.to_string());
        println!(
            "{:>8} {:>14} {:<12} {:<12} {ticket:>8} {}",
            line.offset, line.written_at_ms, line.instance, line.author, line.change
        );
    }
}
