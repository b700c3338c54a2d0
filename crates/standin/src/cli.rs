//! Command line of the stand-ins.

use std::net::SocketAddr;

use clap::{Args, Parser, Subcommand};
use cowslip_name::Name;
use cowslip_standin::{EngineOptions, PlatformOptions, ServiceOptions};

/// Runs a stand-in for an outside system.
///
/// Faults are set with POST /faults; see schema/standin.json.
#[derive(Debug, Parser)]
#[command(name = "cowslip-standin", version)]
pub(crate) struct Cli {
    #[command(subcommand)]
    pub(crate) kind: Kind,
}

#[derive(Debug, Subcommand)]
pub(crate) enum Kind {
    /// The platform: log and instance list
    Platform(PlatformArgs),
    /// A model engine
    Engine(EngineArgs),
    /// A plain service with a booking ledger and a stock list
    Service(ServiceArgs),
}

#[derive(Args, Debug)]
pub(crate) struct PlatformArgs {
    /// Address to listen on; several may be given, to cut single instances off
    #[arg(long, required = true)]
    listen: Vec<SocketAddr>,
    /// Newest entries that are kept
    #[arg(long, default_value_t = u64::MAX)]
    keep_entries: u64,
    /// Appends that are taken in one second
    #[arg(long, default_value_t = 500)]
    appends_per_s: u32,
    /// How long the instance list lags
    #[arg(long, default_value_t = 200)]
    list_lag_ms: u64,
    /// Idle connections are closed after this time
    #[arg(long, default_value_t = 2_000)]
    idle_ms: u64,
}

impl From<PlatformArgs> for PlatformOptions {
    fn from(args: PlatformArgs) -> Self {
        Self {
            listen: args.listen,
            keep_entries: args.keep_entries,
            appends_per_s: args.appends_per_s,
            list_lag_ms: args.list_lag_ms,
            idle_ms: args.idle_ms,
        }
    }
}

#[derive(Args, Debug)]
pub(crate) struct EngineArgs {
    /// Address to listen on
    #[arg(long)]
    listen: SocketAddr,
    /// Name of the engine
    #[arg(long)]
    name: Name,
    /// Sequences in one batch
    #[arg(long, default_value_t = 16)]
    slots: usize,
    /// Time of one decode step
    #[arg(long, default_value_t = 5)]
    step_ms: u64,
    /// Prompt tokens prefilled in one step
    #[arg(long, default_value_t = 512)]
    prefill_tokens_per_step: u64,
    /// Ignore fencing numbers of orders
    #[arg(long)]
    ignore_fencing: bool,
    /// Time of a role change
    #[arg(long, default_value_t = 500)]
    role_change_ms: u64,
    /// Idle connections are closed after this time
    #[arg(long, default_value_t = 2_000)]
    idle_ms: u64,
}

impl From<EngineArgs> for EngineOptions {
    fn from(args: EngineArgs) -> Self {
        Self {
            listen: args.listen,
            name: args.name,
            slots: args.slots,
            step_ms: args.step_ms,
            prefill_tokens_per_step: args.prefill_tokens_per_step,
            checks_fencing: !args.ignore_fencing,
            role_change_ms: args.role_change_ms,
            idle_ms: args.idle_ms,
        }
    }
}

#[derive(Args, Debug)]
pub(crate) struct ServiceArgs {
    /// Address to listen on
    #[arg(long)]
    listen: SocketAddr,
}

impl From<ServiceArgs> for ServiceOptions {
    fn from(args: ServiceArgs) -> Self {
        Self { listen: args.listen }
    }
}
