//! Errors of the commands.

use std::path::PathBuf;

use snafu::Snafu;

use crate::exit_codes::ExitCode;

/// Reason why a command failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub(crate) enum Error {
    #[snafu(display("{}: {source}", path.display()))]
    ReadFile { path: PathBuf, source: std::io::Error },
    #[snafu(display("{}: {source}", path.display()))]
    Ticket { path: PathBuf, source: cowslip_codec::CodecError },
    #[snafu(display("{}: neither .ini nor .json", path.display()))]
    FileKind { path: PathBuf },
    #[snafu(display("cannot reach the instance: {source}"))]
    Http { source: cyper::Error },
    #[snafu(display("the instance responded with status {status}: {text}"))]
    Status { status: u16, text: String },
    #[snafu(display("cannot decode the response of the instance: {source}"))]
    Decode { source: cowslip_codec::CodecError },
    #[snafu(display("deployment {deployment} has no upstream {upstream}"))]
    NoUpstream { deployment: cowslip_name::Name, upstream: cowslip_name::Name },
    #[snafu(display("runtime: {source}"))]
    Runtime { source: std::io::Error },
}

impl Error {
    pub(crate) fn exit_code(&self) -> ExitCode {
        match self {
            Self::ReadFile { .. }
            | Self::Ticket { .. }
            | Self::FileKind { .. }
            | Self::NoUpstream { .. } => ExitCode::Usage,
            Self::Http { .. }
            | Self::Status { .. }
            | Self::Decode { .. }
            | Self::Runtime { .. } => ExitCode::Failure,
        }
    }
}
