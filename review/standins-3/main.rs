//! Cases for a small deployment on stand-ins: the store comes back from an older copy, a worker
//! starts again.
//!
//! `cases CASE FOLDER` writes `record.txt` into the folder and exits with 1 if the rule was broken,
//! 0 if it held, and 2 if the case could not run. With `TROUBLE=0` there is no disruption.

mod config;
mod http;
mod instance;
mod leaving;
mod record;
mod recount;
mod restart;
mod site;
mod store;
mod usage;
mod worker;

use std::path::Path;
use std::process::exit;

use record::Record;

fn main() {
    let words: Vec<String> = std::env::args().collect();
    let [_, case, folder] = &words[..] else {
        eprintln!("usage: cases leaving|usage|config|restart|recount FOLDER");
        exit(2);
    };
    // A case that fails to run must not look like one in which the rule was broken.
    std::panic::set_hook(Box::new(|panic| {
        eprintln!("{panic}");
        exit(2);
    }));
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = Record::create(&Path::new(folder).join("record.txt"));
    let broken = match case.as_str() {
        "leaving" => leaving::run(&record, has_trouble),
        "usage" => usage::run(&record, has_trouble),
        "restart" => restart::run(&record, has_trouble),
        "recount" => recount::run(&record, has_trouble),
        "config" => config::run(&record, has_trouble),
        other => panic!("unknown case {other}"),
    };
    for line in &broken {
        record.write(&format!("BROKEN: {line}"));
        println!("{line}");
    }
    record.write(if broken.is_empty() { "the rule held" } else { "the rule was broken" });
    exit(i32::from(!broken.is_empty()));
}
