//! Exit codes of `cowslip`.

/// Result of a command.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ExitCode {
    /// The command succeeded.
    Success,
    /// The instance could not be reached or returned an error.
    Failure,
    /// The arguments are invalid, or a file has errors.
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
