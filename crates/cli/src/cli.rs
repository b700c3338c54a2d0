//! Command line.

use std::net::SocketAddr;
use std::path::PathBuf;

use clap::{Args, Parser, Subcommand};
use clap_complete::Shell;
use cowslip_name::Name;

/// Drives cowslipvale by numbered change tickets.
///
/// Exit codes: 0 done; 1 failed; 2 wrong use or a file with errors; 3 refused or superseded;
/// 4 outcome not known, give the same ticket again; 5 recorded, but not yet in force at a majority.
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
        target: Target,
    },
    /// Apply a ticket
    Apply {
        /// Ticket file
        ticket: PathBuf,
        #[command(flatten)]
        target: Target,
    },
    /// Show instances, upstreams and terms
    Status {
        /// Print JSON
        #[arg(long)]
        json: bool,
        #[command(flatten)]
        target: Target,
    },
    /// Show who changed what, when and by which ticket
    Audit {
        /// Print JSON
        #[arg(long)]
        json: bool,
        #[command(flatten)]
        target: Target,
    },
    /// Take an upstream out of work, or back into it, by a ticket
    Drain(DrainArgs),
    /// Make a caller's key: the token goes to the caller, the object into a ticket
    Key {
        /// Public part of the key
        name: Name,
        /// Workspace that the key speaks for
        workspace: Name,
    },
    /// Print shell completions
    Completions {
        /// Shell to print them for
        shell: Shell,
    },
}

#[derive(Args, Debug)]
pub(crate) struct Target {
    /// Operator address of any instance
    #[arg(long, env = "COWSLIP_INSTANCE")]
    pub(crate) instance: SocketAddr,
}

#[derive(Args, Debug)]
pub(crate) struct DrainArgs {
    /// Upstream to drain
    pub(crate) upstream: Name,
    /// Deployment that it belongs to
    #[arg(long)]
    pub(crate) deployment: Name,
    /// Number of the ticket
    #[arg(long)]
    pub(crate) number: u64,
    /// Who asks for the change
    #[arg(long)]
    pub(crate) author: Name,
    /// Give the upstream work again
    #[arg(long)]
    pub(crate) undo: bool,
    #[command(flatten)]
    pub(crate) target: Target,
}
