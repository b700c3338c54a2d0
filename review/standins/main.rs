//! The cases of the review that are scripts. Usage: `standins CASE RECORD`, with `TROUBLE=0` in the
//! environment to leave out the disruption. Exits with 1 if the rule was broken, 0 if it held and 2 if
//! the case could not run.

mod entry;
mod http;
mod poison;
mod proxy;
mod record;
mod sigterm;
mod silent;
mod store;
mod worker;
mod world;

use record::Record;

/// The result of a case.
pub enum Outcome {
    Held,
    Broken,
    NotRun(String),
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, path] = &arguments[..] else {
        eprintln!("usage: standins CASE RECORD");
        std::process::exit(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Record::create(path);
    record.line(&format!("case {case}, disruption: {has_trouble}"));
    let run = match case.as_str() {
        "poison-same-ids" => poison::same_ids,
        "poison-after-head" => poison::after_head,
        "poison-forgotten" => poison::forgotten,
        "poison-unframed" => poison::unframed,
        "poison-wrong-part" => poison::wrong_part,
        "sigterm" => sigterm::run,
        "silent-config" => silent::config,
        "silent-drain" => silent::drain,
        _ => {
            eprintln!("unknown case {case}");
            std::process::exit(2);
        }
    };
    // A panic unwinds, so that the processes which were started are ended.
    let outcome = std::panic::catch_unwind(|| run(&record, has_trouble));
    let (code, text) = match outcome {
        Ok(Outcome::Held) => (0, "the rule held".to_owned()),
        Ok(Outcome::Broken) => (1, "the rule was broken".to_owned()),
        Ok(Outcome::NotRun(why)) => (2, format!("the case could not run: {why}")),
        Err(_) => (2, "the case could not run: see the standard error".to_owned()),
    };
    record.say(&text);
    std::process::exit(code);
}
