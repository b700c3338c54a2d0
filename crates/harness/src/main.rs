//! A demo that sends requests through entry instances to stand-ins and checks each response.

use std::net::SocketAddr;
use std::process::{Command, ExitCode};

use cowslip_harness::{Error, Fleet, FleetOptions, HttpResponse, TestApiKeys};
use http::Method;

const INSTANCES: usize = 6;

fn main() -> ExitCode {
    match run() {
        Ok(()) => {
            println!("demo: all checks passed");
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("demo: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run() -> Result<(), Error> {
    let options = FleetOptions { instances: INSTANCES, engines: 3, ..FleetOptions::default() };
    println!("starting platform, 3 engines, 1 service, {INSTANCES} entry instances");
    let mut fleet = Fleet::start(options)?;
    let api_keys = fleet.apply_initial_ticket(1)?;
    println!("ticket 1 is in force at all {INSTANCES} instances");
    check_models(&fleet, &api_keys)?;
    check_services(&fleet, &api_keys)?;
    print_report(fleet.instances[0].operator_address, "status");
    print_report(fleet.instances[5].operator_address, "audit");
    for instance in &mut fleet.instances {
        let status = instance.process.stop()?;
        check("an instance shuts down cleanly", status.success(), &status.to_string())?;
    }
    Ok(())
}

fn check(name: &str, passed: bool, response: &str) -> Result<(), Error> {
    if passed {
        println!("ok: {name}");
        return Ok(());
    }
    Err(Error::UnexpectedResponse { operation: name.to_owned(), response: response.to_owned() })
}

fn check_models(fleet: &Fleet, api_keys: &TestApiKeys) -> Result<(), Error> {
    let bearer = format!("Bearer {}", api_keys.authorized);
    let headers = [("authorization", bearer.as_str()), ("content-type", "application/json")];
    let list = fleet.send_request(1, &Method::GET, "/v1/models", &headers, "")?;
    check("the model list", list.json()["data"][0]["id"] == "hay", &list.body)?;
    let body = |stream: bool| {
        format!(
            r#"{{"model":"hay","stream":{stream},"max_tokens":12,"messages":[{{"role":"user","content":"twine for 40 bales"}}]}}"#
        )
    };
    let chat = "/v1/chat/completions";
    let completion = fleet.send_request(2, &Method::POST, chat, &headers, &body(false))?;
    let content = completion.json()["choices"][0]["message"]["content"].clone();
    let token_count = content.as_str().map_or(0, |text| text.split_whitespace().count());
    check("a complete response of 12 tokens", token_count == 12, &completion.body)?;
    let stream_response = fleet.send_request(3, &Method::POST, chat, &headers, &body(true))?;
    let streamed_count = stream_response.body.matches("id: ").count();
    let is_complete = streamed_count == 12 && stream_response.body.ends_with("data: [DONE]\n\n");
    check("a streamed response of 12 tokens", is_complete, &stream_response.body)?;
    let refusal = fleet.send_request(4, &Method::POST, chat, &[], &body(false))?;
    check(
        "a request without an API key is not run",
        refusal.status == 401 && refusal.is_not_run(),
        &refusal.body,
    )
}

fn check_services(fleet: &Fleet, api_keys: &TestApiKeys) -> Result<(), Error> {
    let stock = fleet.send_request(4, &Method::GET, "/stock/twine", &[], "")?;
    check("a stock lookup over an open route", stock.json()["left"] == 12, &stock.body)?;
    let bearer = format!("Bearer {}", api_keys.authorized);
    let headers = [("authorization", bearer.as_str()), ("idempotency-key", "order-1")];
    let book = |index: usize| -> Result<HttpResponse, Error> {
        let path = "/services/shop/bookings";
        fleet.send_request(index, &Method::POST, path, &headers, r#"{"booking":"hay-1"}"#)
    };
    let first = book(5)?;
    check("a booking", first.json()["runs"] == 1, &first.body)?;
    let retry = book(0)?;
    check("the same booking at another instance", retry.body == first.body, &retry.body)?;
    let ledger = fleet.ledger()?;
    let ran_once = ledger.rows.len() == 1 && ledger.rows[0].runs == 1;
    check("the booking ran once", ran_once, &format!("{ledger:?}"))
}

/// Runs a reporting command of the operator program `cowslip` and passes its output through.
fn print_report(operator_address: SocketAddr, command: &str) {
    let demo_path = std::env::current_exe().unwrap_or_default();
    let program = demo_path.with_file_name("cowslip");
    println!("$ cowslip {command}");
    let result =
        Command::new(program).args([command, "--instance", &operator_address.to_string()]).status();
    if let Err(error) = result {
        eprintln!("demo: cowslip {command}: {error}");
    }
}
