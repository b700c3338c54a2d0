//! Exit codes of `cowslip-entry`.

/// Result of the process.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ExitCode {
    /// The instance shut down cleanly, or the checked settings are valid.
    Success,
    /// The instance could not start or failed while running.
    Failure,
    /// The settings are invalid.
    BadSettings,
}

impl From<ExitCode> for std::process::ExitCode {
    fn from(code: ExitCode) -> Self {
        match code {
            ExitCode::Success => Self::from(0),
            ExitCode::Failure => Self::from(1),
            ExitCode::BadSettings => Self::from(2),
        }
    }
}
