//! Stand-ins and clients of the cases of the second review. `review-2 CASE RECORD` plays one case
//! and exits with 1 if its rule was broken, 0 if it held and 2 if the case could not run. With
//! `TROUBLE=0` in the environment it plays the same without the disruption.

mod channels;
mod deadly;
mod fleet;
mod http;
mod memory;
mod silent;
mod socket;
mod store;

use std::process::ExitCode;

use deadly::Variant;
use fleet::Record;

/// Result of a case.
pub enum Outcome {
    Held,
    Broken,
    CouldNotRun,
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    if let [_, role, framing, port] = &arguments[..]
        && role == "engine"
    {
        deadly::run_engine(framing, port.parse().unwrap_or(0));
        return ExitCode::from(2);
    }
    let [_, case, record_path] = &arguments[..] else { return ExitCode::from(2) };
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = Record::create(record_path);
    let outcome = match case.as_str() {
        "memory" => memory::play(&record, has_trouble),
        "silent" => silent::play(&record, has_trouble),
        "channels" => channels::play(&record, has_trouble),
        "deadly-unframed" => deadly::play(&record, Variant::Unframed, has_trouble),
        "deadly-long-ids" => deadly::play(&record, Variant::LongIds, has_trouble),
        _ => Outcome::CouldNotRun,
    };
    let code = match outcome {
        Outcome::Held => 0,
        Outcome::Broken => 1,
        Outcome::CouldNotRun => 2,
    };
    record.line(&format!("exit code {code}"));
    ExitCode::from(code)
}
