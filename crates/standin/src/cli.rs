//! Command line of `cowslip-standin`.

use std::net::SocketAddr;

use clap::{Args, Parser, Subcommand};
use cowslip_name::Name;
use cowslip_standin::{EngineOptions, PlatformOptions, ServiceOptions};

/// Runs a stand-in for an external system.
///
/// Faults are injected with POST /faults; see schema/standin.json.
#[derive(Debug, Parser)]
#[command(name = "cowslip-standin", version)]
pub(crate) struct Cli {
    #[command(subcommand)]
    pub(crate) command: Command,
}

#[derive(Debug, Subcommand)]
pub(crate) enum Command {
    /// The platform: an append-only log, the instance list and usage reports
    Platform(PlatformArgs),
    /// An inference engine
    Engine(EngineArgs),
    /// An HTTP service with a booking ledger and a stock list
    Service(ServiceArgs),
}

#[derive(Args, Debug)]
pub(crate) struct PlatformArgs {
    /// Address to listen on; repeatable, so that a fault can cut off the instances on one port
    #[arg(long, required = true)]
    listen: Vec<SocketAddr>,
    /// Number of newest log entries to keep
    #[arg(long, default_value_t = u64::MAX)]
    keep_entries: u64,
    /// Maximum number of appends accepted in one second
    #[arg(long, default_value_t = 500)]
    appends_per_s: u32,
    /// Delay before an announced instance appears in the instance list, in milliseconds
    #[arg(long, default_value_t = 200)]
    list_lag_ms: u64,
    /// Time after which idle connections are closed, in milliseconds
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
    /// Upstream name of the engine
    #[arg(long)]
    name: Name,
    /// Maximum number of sequences in one batch
    #[arg(long, default_value_t = 16)]
    slots: usize,
    /// Time of one batch step, in milliseconds
    #[arg(long, default_value_t = 5)]
    step_ms: u64,
    /// Maximum number of prompt tokens prefilled in one step
    #[arg(long, default_value_t = 512)]
    prefill_tokens_per_step: u64,
    /// Apply orders without checking their fencing tokens and sequence numbers
    #[arg(long)]
    ignore_fencing: bool,
    /// Time during which a role change blocks new requests, in milliseconds
    #[arg(long, default_value_t = 500)]
    role_change_ms: u64,
    /// Time after which idle connections are closed, in milliseconds
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
