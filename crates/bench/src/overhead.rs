//! Overhead of one entry instance compared with direct requests to the service stand-in.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use cowslip_harness::{Error, Fleet, FleetOptions};
use cowslip_net::{Client, ClientOptions, empty_body, full_body, read_body};
use futures_util::future::join_all;
use hdrhistogram::Histogram;
use http::Request;
use http_body_util::BodyExt;

use crate::cli::OverheadArgs;
use crate::markdown::print_table;

/// Timeout of connecting and of unacknowledged data.
const CONNECTION_TIMEOUT: Duration = Duration::from_secs(30);
const MAX_BODY_BYTES: usize = 1_048_576;
/// Connections of the concurrent rows.
const CONCURRENCY: usize = 64;
/// Time for which processor time and tokens of open streams are counted.
const STREAM_TIME: Duration = Duration::from_secs(4);
/// End of the range of ticket numbers, exclusive; the range starts at 2, after the initial ticket.
const TICKET_NUMBER_END: u64 = 42;
/// Clock ticks per second of the processor times in `/proc`.
const TICKS_PER_S: u64 = 100;
/// Rounds in which direct and proxied load alternate, so that drift of the machine affects both.
const ROUNDS: usize = 5;

/// Latencies and throughput of one round.
struct RoundResult {
    latency_us: Histogram<u64>,
    requests_per_s: f64,
}

/// Runs all overhead measurements and prints their tables.
pub(crate) fn run(args: &OverheadArgs) -> Result<(), Error> {
    let mut settings = FleetOptions::default().settings;
    settings.push(("limits", "max_connections", "16384".to_owned()));
    // All streams open at once before one engine, so the limits must not refuse any.
    settings.push(("limits", "max_waiting_tokens", "1000000".to_owned()));
    let engine_args = vec!["--slots".to_owned(), "4096".to_owned()];
    let options =
        FleetOptions { instances: 1, engines: 1, settings, engine_args, ..FleetOptions::default() };
    let fleet = Fleet::start(options)?;
    let api_keys = fleet.apply_initial_ticket(1)?;
    let idle_kib = resident_kib(&fleet);
    let runtime = compio::runtime::Runtime::new().map_err(|source| Error::Io { source })?;
    let (direct_address, instance_address) =
        (fleet.service_address, fleet.instances[0].caller_address);
    let mut rows = Vec::new();
    for concurrency in [1, CONCURRENCY] {
        let requests = args.requests / ROUNDS;
        let (mut direct_rounds, mut proxied_rounds) = (Vec::new(), Vec::new());
        for _ in 0..ROUNDS {
            direct_rounds.push(runtime.block_on(run_load(direct_address, requests, concurrency)));
            proxied_rounds.push(runtime.block_on(run_load(
                instance_address,
                requests,
                concurrency,
            )));
        }
        rows.push(latency_row("direct", concurrency, &direct_rounds));
        rows.push(latency_row("through one instance", concurrency, &proxied_rounds));
    }
    let columns = ["path", "connections", "median (µs)", "95th (µs)", "99th (µs)", "requests/s"];
    print_table("Stock lookups", &columns, &rows);
    let stream_usage = runtime.block_on(run_streams(&fleet, &api_keys.authorized, args.streams));
    let streams_kib = stream_usage.resident_kib;
    println!(
        "\n{} tokens in {:.1} s of wall time: {:.1} µs of processor time per token",
        stream_usage.tokens,
        STREAM_TIME.as_secs_f64(),
        stream_usage.cpu_ms as f64 * 1_000.0 / stream_usage.tokens as f64
    );
    let rows = vec![
        vec!["idle".to_owned(), format!("{:.1}", idle_kib as f64 / 1_024.0)],
        vec![
            format!("{} open streams", args.streams),
            format!("{:.1}", streams_kib as f64 / 1_024.0),
        ],
    ];
    print_table("Memory of one instance", &["state", "resident (MiB)"], &rows);
    drop(fleet);
    measure_ticket_latency()
}

/// Measures the time from submitting a ticket until all six instances have applied it.
fn measure_ticket_latency() -> Result<(), Error> {
    let settings = vec![("platform", "group_commit_ms", "5".to_owned())];
    let fleet = Fleet::start(FleetOptions { instances: 6, settings, ..FleetOptions::default() })?;
    fleet.apply_initial_ticket(1)?;
    let mut times_ms = Histogram::<u64>::new_with_bounds(1, 60_000, 3).expect("constant bounds");
    for number in 2..TICKET_NUMBER_END {
        let start = Instant::now();
        let ticket = crate::fixtures::ticket(number, crate::fixtures::workspace(number));
        let reply = fleet.submit_ticket(0, &ticket)?;
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
    print_table(
        "Time until all six instances have applied a ticket",
        &["tickets", "median (ms)", "longest (ms)"],
        &rows,
    );
    Ok(())
}

fn latency_row(label: &str, concurrency: usize, rounds: &[RoundResult]) -> Vec<String> {
    let mut latency_us = rounds[0].latency_us.clone();
    for round in &rounds[1..] {
        latency_us.add(&round.latency_us).expect("equal bounds");
    }
    let mut requests_per_s: Vec<f64> = rounds.iter().map(|round| round.requests_per_s).collect();
    requests_per_s.sort_by(f64::total_cmp);
    let percentile = |quantile: f64| latency_us.value_at_quantile(quantile).to_string();
    vec![
        label.to_owned(),
        concurrency.to_string(),
        percentile(0.5),
        percentile(0.95),
        percentile(0.99),
        format!("{:.0}", requests_per_s[requests_per_s.len() / 2]),
    ]
}

fn client() -> Client {
    Client::new(ClientOptions {
        connect_timeout: CONNECTION_TIMEOUT,
        user_timeout: CONNECTION_TIMEOUT,
        max_idle: CONNECTION_TIMEOUT,
    })
}

async fn run_load(address: SocketAddr, requests: usize, concurrency: usize) -> RoundResult {
    let start = Instant::now();
    let requests_per_connection = requests / concurrency;
    let histograms =
        join_all((0..concurrency).map(|_| send_sequentially(address, requests_per_connection)))
            .await;
    let elapsed_s = start.elapsed().as_secs_f64();
    let mut latency_us = empty_histogram();
    for histogram in histograms {
        latency_us.add(&histogram).expect("equal bounds");
    }
    RoundResult {
        latency_us,
        requests_per_s: (requests_per_connection * concurrency) as f64 / elapsed_s,
    }
}

fn empty_histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 60_000_000, 3).expect("constant bounds")
}

async fn send_sequentially(address: SocketAddr, requests: usize) -> Histogram<u64> {
    let client = client();
    let mut latency_us = empty_histogram();
    for _ in 0..requests {
        let request = Request::get("/stock/twine")
            .header("host", "bench")
            .body(empty_body())
            .expect("constant headers form a request");
        let start = Instant::now();
        let response = client.send(address, request).await.expect("a response");
        assert!(response.status().is_success(), "{response:?}");
        read_body(response.into_body(), MAX_BODY_BYTES).await.expect("a complete response");
        let elapsed_us = u64::try_from(start.elapsed().as_micros()).unwrap_or(u64::MAX);
        latency_us.saturating_record(elapsed_us);
    }
    latency_us
}

/// Resource usage of an instance while streams are open.
struct StreamUsage {
    resident_kib: u64,
    cpu_ms: u64,
    tokens: u64,
}

/// Opens `count` streams, reads them for `STREAM_TIME` and returns the resource usage of the
/// instance.
async fn run_streams(fleet: &Fleet, api_key: &str, count: usize) -> StreamUsage {
    let address = fleet.instances[0].caller_address;
    let client = Rc::new(client());
    let requests = (0..count).map(|index| {
        let client = client.clone();
        let body = format!(
            r#"{{"model":"hay","stream":true,"max_tokens":4000,"messages":[{{"role":"user","content":"{index}"}}]}}"#
        );
        async move {
            let request = Request::post("/v1/chat/completions")
                .header("host", "bench")
                .header("authorization", format!("Bearer {api_key}"))
                .body(full_body(body))
                .expect("constant headers form a request");
            client.send(address, request).await.ok().filter(|response| response.status().is_success())
        }
    });
    let responses = join_all(requests).await;
    println!("\nopen streams: {}", responses.iter().flatten().count());
    let (cpu_before_ms, tokens_before) = (cpu_ms(fleet), generated_tokens(fleet));
    let readers = responses.into_iter().flatten().map(|response| async move {
        let mut body = response.into_body();
        while let Some(Ok(_)) = body.frame().await {}
    });
    // The streams are longer than `STREAM_TIME` and are dropped at its end.
    let _ = compio::time::timeout(STREAM_TIME, join_all(readers)).await;
    StreamUsage {
        resident_kib: resident_kib(fleet),
        cpu_ms: cpu_ms(fleet) - cpu_before_ms,
        tokens: generated_tokens(fleet) - tokens_before,
    }
}

fn generated_tokens(fleet: &Fleet) -> u64 {
    std::thread::scope(|scope| {
        let stats = scope.spawn(|| fleet.engine_stats(0).map_or(0, |stats| stats.tokens));
        stats.join().unwrap_or(0)
    })
}

/// Returns the processor time of the first entry instance, in milliseconds.
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

/// Returns the resident memory of the first entry instance, in KiB.
fn resident_kib(fleet: &Fleet) -> u64 {
    let path = format!("/proc/{}/status", fleet.instances[0].process.id());
    let status = std::fs::read_to_string(path).unwrap_or_default();
    status
        .lines()
        .find_map(|line| line.strip_prefix("VmRSS:")?.split_whitespace().next()?.parse().ok())
        .unwrap_or(0)
}
