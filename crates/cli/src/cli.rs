//! Command line of `cowslip`.

use std::net::SocketAddr;
use std::path::PathBuf;

use clap::{Args, Parser, Subcommand};
use clap_complete::Shell;
use cowslip_name::Name;

/// Operates cowslipvale through numbered change tickets.
///
/// Exit codes: 0 success; 1 failure; 2 usage error or a file with errors; 3 refused or superseded;
/// 4 outcome unknown, apply the same ticket again; 5 recorded, but not yet in force at a majority.
#[derive(Debug, Parser)]
#[command(name = "cowslip", version)]
pub(crate) struct Cli {
    #[command(subcommand)]
    pub(crate) command: Command,
}

#[derive(Debug, Subcommand)]
pub(crate) enum Command {
    /// Check settings (.ini) or tickets (.json) without an instance
    Check {
        /// Files to check
        #[arg(required = true)]
        files: Vec<PathBuf>,
    },
    /// Show what a ticket would change
    Plan {
        /// Ticket file
        ticket: PathBuf,
        #[command(flatten)]
        instance_args: InstanceArgs,
    },
    /// Apply a ticket
    Apply {
        /// Ticket file
        ticket: PathBuf,
        #[command(flatten)]
        instance_args: InstanceArgs,
    },
    /// Show instances, upstreams and terms
    Status {
        /// Print JSON
        #[arg(long)]
        json: bool,
        #[command(flatten)]
        instance_args: InstanceArgs,
    },
    /// Show the newest changes with their time, author and ticket
    Audit {
        /// Print JSON
        #[arg(long)]
        json: bool,
        #[command(flatten)]
        instance_args: InstanceArgs,
    },
    /// Drain an upstream, or return it to service, through a ticket
    Drain(DrainArgs),
    /// Create an API key: give the token to the caller and put the object into a ticket
    Key {
        /// Name of the key, which is public
        name: Name,
        /// Workspace that the key belongs to
        workspace: Name,
    },
    /// Print shell completions
    Completions {
        /// Shell for which to print completions
        shell: Shell,
    },
}

#[derive(Args, Debug)]
pub(crate) struct InstanceArgs {
    /// Operator address of any instance
    #[arg(long, env = "COWSLIP_INSTANCE")]
    pub(crate) instance: SocketAddr,
}

#[derive(Args, Debug)]
pub(crate) struct DrainArgs {
    /// Upstream to drain
    pub(crate) upstream: Name,
    /// Deployment of the upstream
    #[arg(long)]
    pub(crate) deployment: Name,
    /// Number of the ticket
    #[arg(long)]
    pub(crate) number: u64,
    /// Author of the change
    #[arg(long)]
    pub(crate) author: Name,
    /// Return the upstream to service
    #[arg(long)]
    pub(crate) undo: bool,
    #[command(flatten)]
    pub(crate) instance_args: InstanceArgs,
}
