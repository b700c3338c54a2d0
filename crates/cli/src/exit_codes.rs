//! Exit codes of the command line.

/// How a command ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ExitCode {
    /// Done.
    Success,
    /// An instance cannot be reached or failed.
    Failure,
    /// Wrong use, or a file with errors.
    Usage,
    /// The ticket was refused, or every object has a newer state.
    Refused,
    /// The ticket may or may not be in the log.
    Unknown,
    /// The ticket is in the log, but not yet in force at a majority.
    RecordedOnly,
}

impl From<ExitCode> for std::process::ExitCode {
    fn from(code: ExitCode) -> Self {
        Self::from(match code {
            ExitCode::Success => 0,
            ExitCode::Failure => 1,
            ExitCode::Usage => 2,
            ExitCode::Refused => 3,
            ExitCode::Unknown => 4,
            ExitCode::RecordedOnly => 5,
        })
    }
}
