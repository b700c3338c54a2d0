//! The demo: the whole path on stand-ins, with every answer checked.

use std::net::SocketAddr;
use std::process::{Command, ExitCode};

use cowslip_harness::{Answer, Error, Fleet, FleetOptions, Objects};
use http::Method;

const ENTRIES: usize = 6;

fn main() -> ExitCode {
    match run() {
        Ok(()) => {
            println!("demo: every answer was right");
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("demo: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run() -> Result<(), Error> {
    let options = FleetOptions { entries: ENTRIES, engines: 3, ..FleetOptions::default() };
    println!("starting platform, 3 engines, 1 service, {ENTRIES} entry instances");
    let mut fleet = Fleet::start(options)?;
    let objects = fleet.configure(1)?;
    println!("ticket 1 is in force at all {ENTRIES} instances");
    models(&fleet, &objects)?;
    services(&fleet, &objects)?;
    show(fleet.entries[0].operator, "status");
    show(fleet.entries[5].operator, "audit");
    for entry in &mut fleet.entries {
        let status = entry.process.stop()?;
        check("an instance stops in order", status.success(), &status.to_string())?;
    }
    Ok(())
}

fn check(what: &str, is_right: bool, text: &str) -> Result<(), Error> {
    if is_right {
        println!("ok: {what}");
        return Ok(());
    }
    Err(Error::Answer { what: what.to_owned(), text: text.to_owned() })
}

fn models(fleet: &Fleet, objects: &Objects) -> Result<(), Error> {
    let bearer = format!("Bearer {}", objects.token);
    let headers = [("authorization", bearer.as_str()), ("content-type", "application/json")];
    let list = fleet.call(1, &Method::GET, "/v1/models", &headers, "")?;
    check("the model list", list.json()["data"][0]["id"] == "hay", &list.body)?;
    let body = |stream: bool| {
        format!(
            r#"{{"model":"hay","stream":{stream},"max_tokens":12,"messages":[{{"role":"user","content":"twine for 40 bales"}}]}}"#
        )
    };
    let chat = "/v1/chat/completions";
    let whole = fleet.call(2, &Method::POST, chat, &headers, &body(false))?;
    let content = whole.json()["choices"][0]["message"]["content"].clone();
    let words = content.as_str().map_or(0, |text| text.split_whitespace().count());
    check("a whole answer of 12 tokens", words == 12, &whole.body)?;
    let streamed = fleet.call(3, &Method::POST, chat, &headers, &body(true))?;
    let tokens = streamed.body.matches("id: ").count();
    let is_whole = tokens == 12 && streamed.body.ends_with("data: [DONE]\n\n");
    check("a streamed answer of 12 tokens", is_whole, &streamed.body)?;
    let refused = fleet.call(4, &Method::POST, chat, &[], &body(false))?;
    check("no key, not run", refused.status == 401 && refused.is_not_run(), &refused.body)
}

fn services(fleet: &Fleet, objects: &Objects) -> Result<(), Error> {
    let stock = fleet.call(4, &Method::GET, "/stock/twine", &[], "")?;
    check("a stock lookup over an open route", stock.json()["left"] == 12, &stock.body)?;
    let bearer = format!("Bearer {}", objects.token);
    let headers = [("authorization", bearer.as_str()), ("idempotency-key", "order-1")];
    let book = |entry: usize| -> Result<Answer, Error> {
        let path = "/services/shop/bookings";
        fleet.call(entry, &Method::POST, path, &headers, r#"{"booking":"hay-1"}"#)
    };
    let first = book(5)?;
    check("a booking", first.json()["runs"] == 1, &first.body)?;
    let again = book(0)?;
    check("the same booking at another instance", again.body == first.body, &again.body)?;
    let ledger = fleet.ledger()?;
    let ran_once = ledger.rows.len() == 1 && ledger.rows[0].runs == 1;
    check("the booking ran once", ran_once, &format!("{ledger:?}"))
}

/// Shows what an operator sees.
fn show(operator: SocketAddr, command: &str) {
    let own = std::env::current_exe().unwrap_or_default();
    let program = own.with_file_name("cowslip");
    println!("$ cowslip {command}");
    let shown = Command::new(program).args([command, "--instance", &operator.to_string()]).status();
    if let Err(error) = shown {
        eprintln!("demo: cowslip {command}: {error}");
    }
}
