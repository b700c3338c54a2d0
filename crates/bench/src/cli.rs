//! Command line of `cowslip-bench`.

use clap::{Args, Parser, Subcommand};

/// Benchmarks cowslipvale. Build with --release.
#[derive(Debug, Parser)]
#[command(name = "cowslip-bench", version)]
pub(crate) struct Cli {
    #[command(subcommand)]
    pub(crate) command: Command,
}

#[derive(Debug, Subcommand)]
pub(crate) enum Command {
    /// State size, message size and processing time of the crates that do no I/O, up to the
    /// target fleet size
    Capacity,
    /// Routing, limits and fairness compared with simple policies, on a time-stepped engine model
    Policy(PolicyArgs),
    /// Latency, throughput and memory overhead of one entry instance
    Path(OverheadArgs),
}

#[derive(Args, Debug)]
pub(crate) struct PolicyArgs {
    /// Seed of the first run; each further run uses the next seed
    #[arg(long, default_value_t = 1)]
    pub(crate) seed: u64,
    /// Runs per policy
    #[arg(long, default_value_t = 7)]
    pub(crate) runs: u64,
}

#[derive(Args, Debug)]
pub(crate) struct OverheadArgs {
    /// Requests per table row
    #[arg(long, default_value_t = 20_000)]
    pub(crate) requests: usize,
    /// Number of open streams in the memory table
    #[arg(long, default_value_t = 1_000)]
    pub(crate) streams: usize,
}
