//! Exit codes of the daemon.

/// How the daemon ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ExitCode {
    /// Stopped in order, or the settings are right.
    Success,
    /// Failed while running.
    Failure,
    /// The settings cannot be used.
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
