//! Command line of the measurements.

use clap::{Args, Parser, Subcommand};

/// Measures cowslipvale. Build with --release.
#[derive(Debug, Parser)]
#[command(name = "cowslip-bench", version)]
pub(crate) struct Cli {
    #[command(subcommand)]
    pub(crate) kind: Kind,
}

#[derive(Debug, Subcommand)]
pub(crate) enum Kind {
    /// Slopes of state, messages and time, up to the target size
    Capacity,
    /// Routing and fairness against naive ways, on a time-stepped model of engines
    Policy(PolicyArgs),
    /// Added latency, throughput and memory of one entry instance
    Path(PathArgs),
}

#[derive(Args, Debug)]
pub(crate) struct PolicyArgs {
    /// First seed; each further run takes the next
    #[arg(long, default_value_t = 1)]
    pub(crate) seed: u64,
    /// Runs per way
    #[arg(long, default_value_t = 7)]
    pub(crate) runs: u64,
}

#[derive(Args, Debug)]
pub(crate) struct PathArgs {
    /// Requests per row
    #[arg(long, default_value_t = 20_000)]
    pub(crate) requests: usize,
    /// Open streams for the memory row
    #[arg(long, default_value_t = 1_000)]
    pub(crate) streams: usize,
}
