//! The added cost of one entry instance, against calling the stand-in directly, in one run.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use cowslip_harness::{Error, Fleet, FleetOptions};
use cowslip_net::{Client, ClientOptions, empty_body, full_body, read_body};
use futures_util::future::join_all;
use hdrhistogram::Histogram;
use http::Request;
use http_body_util::BodyExt;

use crate::cli::PathArgs;
use crate::output::table;

const TIMEOUT: Duration = Duration::from_secs(30);
const MAX_BYTES: usize = 1_048_576;
const CONCURRENCY: usize = 64;
const STREAM_TIME: Duration = Duration::from_secs(4);
const CHANGES: u64 = 42;
/// Clock ticks of processor time in one second.
const TICKS_PER_S: u64 = 100;
/// Direct and added rows alternate this often, so that a drifting machine meets both.
const ROUNDS: usize = 5;

struct Load {
    latency_us: Histogram<u64>,
    per_s: f64,
}

/// Prints all tables.
pub(crate) fn run(args: &PathArgs) -> Result<(), Error> {
    let mut settings = FleetOptions::default().settings;
    settings.push(("limits", "max_connections", "16384".to_owned()));
    // All streams open at once before one engine: this is about memory, not about limits.
    settings.push(("limits", "max_waiting_tokens", "1000000".to_owned()));
    let engine_args = vec!["--slots".to_owned(), "4096".to_owned()];
    let options =
        FleetOptions { instances: 1, engines: 1, settings, engine_args, ..FleetOptions::default() };
    let fleet = Fleet::start(options)?;
    let api_keys = fleet.apply_initial_ticket(1)?;
    let idle_kib = resident_kib(&fleet);
    let runtime = compio::runtime::Runtime::new().map_err(|source| Error::Io { source })?;
    let (direct, entry) = (fleet.service_address, fleet.instances[0].caller_address);
    let mut rows = Vec::new();
    for concurrency in [1, CONCURRENCY] {
        let requests = args.requests / ROUNDS;
        let (mut base, mut added) = (Vec::new(), Vec::new());
        for _ in 0..ROUNDS {
            base.push(runtime.block_on(load(direct, requests, concurrency)));
            added.push(runtime.block_on(load(entry, requests, concurrency)));
        }
        rows.push(row("direct", concurrency, &base));
        rows.push(row("through one instance", concurrency, &added));
    }
    let columns = ["way", "connections", "median (µs)", "95th (µs)", "99th (µs)", "requests/s"];
    table("Stock look-ups", &columns, &rows);
    let running = runtime.block_on(streams(&fleet, &api_keys.authorized, args.streams));
    let streams_kib = running.resident_kib;
    println!(
        "\n{} tokens in {:.1} s of wall time: {:.1} µs of processor time a token",
        running.tokens,
        STREAM_TIME.as_secs_f64(),
        running.cpu_ms as f64 * 1_000.0 / running.tokens as f64
    );
    let rows = vec![
        vec!["idle".to_owned(), format!("{:.1}", idle_kib as f64 / 1_024.0)],
        vec![
            format!("{} open streams", args.streams),
            format!("{:.1}", streams_kib as f64 / 1_024.0),
        ],
    ];
    table("Memory of one instance", &["state", "resident (MiB)"], &rows);
    drop(fleet);
    measure_changes()
}

/// Time from an operator's ticket until every one of six instances has it.
fn measure_changes() -> Result<(), Error> {
    let settings = vec![("platform", "group_commit_ms", "5".to_owned())];
    let fleet = Fleet::start(FleetOptions { instances: 6, settings, ..FleetOptions::default() })?;
    fleet.apply_initial_ticket(1)?;
    let mut times_ms = Histogram::<u64>::new_with_bounds(1, 60_000, 3).expect("constant bounds");
    for number in 2..CHANGES {
        let start = Instant::now();
        let ticket = crate::fleet::ticket(number, crate::fleet::workspace(number));
        let reply = fleet.apply(0, &ticket)?;
        if let cowslip_proto::TicketReply::Accepted(accepted) = reply {
            fleet.wait_for_offset(accepted.offset)?;
            times_ms.saturating_record(u64::try_from(start.elapsed().as_millis()).unwrap_or(0));
        }
    }
    let rows = vec![vec![
        times_ms.len().to_string(),
        times_ms.value_at_quantile(0.5).to_string(),
        times_ms.max().to_string(),
    ]];
    table(
        "A change in force at all six instances",
        &["changes", "median (ms)", "longest (ms)"],
        &rows,
    );
    Ok(())
}

fn row(way: &str, concurrency: usize, rounds: &[Load]) -> Vec<String> {
    let mut latency_us = rounds[0].latency_us.clone();
    for round in &rounds[1..] {
        latency_us.add(&round.latency_us).expect("equal bounds");
    }
    let mut per_s: Vec<f64> = rounds.iter().map(|round| round.per_s).collect();
    per_s.sort_by(f64::total_cmp);
    let at = |quantile: f64| latency_us.value_at_quantile(quantile).to_string();
    vec![
        way.to_owned(),
        concurrency.to_string(),
        at(0.5),
        at(0.95),
        at(0.99),
        format!("{:.0}", per_s[per_s.len() / 2]),
    ]
}

fn client() -> Client {
    Client::new(ClientOptions { connect_timeout: TIMEOUT, user_timeout: TIMEOUT })
}

async fn load(address: SocketAddr, requests: usize, concurrency: usize) -> Load {
    let start = Instant::now();
    let each = requests / concurrency;
    let histograms = join_all((0..concurrency).map(|_| sender(address, each))).await;
    let elapsed_s = start.elapsed().as_secs_f64();
    let mut latency_us = empty_histogram();
    for histogram in histograms {
        latency_us.add(&histogram).expect("equal bounds");
    }
    Load { latency_us, per_s: (each * concurrency) as f64 / elapsed_s }
}

fn empty_histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 60_000_000, 3).expect("constant bounds")
}

async fn sender(address: SocketAddr, requests: usize) -> Histogram<u64> {
    let client = client();
    let mut latency_us = empty_histogram();
    for _ in 0..requests {
        let request = Request::get("/stock/twine")
            .header("host", "bench")
            .body(empty_body())
            .expect("constants form a request");
        let start = Instant::now();
        let response = client.send(address, request).await.expect("an answer");
        assert!(response.status().is_success(), "{response:?}");
        read_body(response.into_body(), MAX_BYTES).await.expect("a whole answer");
        let elapsed_us = u64::try_from(start.elapsed().as_micros()).unwrap_or(u64::MAX);
        latency_us.saturating_record(elapsed_us);
    }
    latency_us
}

/// What an instance took while streams ran.
struct Running {
    resident_kib: u64,
    cpu_ms: u64,
    tokens: u64,
}

/// Reads so many streams for a while.
async fn streams(fleet: &Fleet, token: &str, count: usize) -> Running {
    let address = fleet.instances[0].caller_address;
    let client = Rc::new(client());
    let open = (0..count).map(|index| {
        let client = client.clone();
        let body = format!(
            r#"{{"model":"hay","stream":true,"max_tokens":4000,"messages":[{{"role":"user","content":"{index}"}}]}}"#
        );
        async move {
            let request = Request::post("/v1/chat/completions")
                .header("host", "bench")
                .header("authorization", format!("Bearer {token}"))
                .body(full_body(body))
                .expect("constants form a request");
            client.send(address, request).await.ok().filter(|head| head.status().is_success())
        }
    });
    let heads = join_all(open).await;
    println!("\nopen streams: {}", heads.iter().flatten().count());
    let (cpu_before_ms, tokens_before) = (cpu_ms(fleet), tokens(fleet));
    let readers = heads.into_iter().flatten().map(|head| async move {
        let mut body = head.into_body();
        while let Some(Ok(_)) = body.frame().await {}
    });
    // The streams outlast the time: they are dropped when it is over.
    let _ = compio::time::timeout(STREAM_TIME, join_all(readers)).await;
    Running {
        resident_kib: resident_kib(fleet),
        cpu_ms: cpu_ms(fleet) - cpu_before_ms,
        tokens: tokens(fleet) - tokens_before,
    }
}

fn tokens(fleet: &Fleet) -> u64 {
    std::thread::scope(|scope| {
        let stats = scope.spawn(|| fleet.engine_stats(0).map_or(0, |stats| stats.tokens));
        stats.join().unwrap_or(0)
    })
}

/// Processor time of the first entry instance, in milliseconds.
fn cpu_ms(fleet: &Fleet) -> u64 {
    let path = format!("/proc/{}/stat", fleet.instances[0].process.id());
    let stat = std::fs::read_to_string(path).unwrap_or_default();
    let ticks: u64 = stat
        .split_whitespace()
        .skip(13)
        .take(2)
        .filter_map(|ticks| ticks.parse::<u64>().ok())
        .sum();
    ticks * 1_000 / TICKS_PER_S
}

/// Resident memory of the first entry instance, in KiB.
fn resident_kib(fleet: &Fleet) -> u64 {
    let path = format!("/proc/{}/status", fleet.instances[0].process.id());
    let status = std::fs::read_to_string(path).unwrap_or_default();
    status
        .lines()
        .find_map(|line| line.strip_prefix("VmRSS:")?.split_whitespace().next()?.parse().ok())
        .unwrap_or(0)
}
