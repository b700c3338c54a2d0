//! A child process that is killed when dropped.

use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};

use snafu::ResultExt;

use crate::error::{Error, IoSnafu, StartSnafu};

/// A child process; dropping it kills the process.
#[derive(Debug)]
pub struct Process {
    child: Child,
}

impl Process {
    /// Starts a program of this cargo workspace and appends its output to the file at `log_path`.
    ///
    /// # Errors
    /// Returns an error when the program cannot be started, usually because it was not built.
    pub fn start(
        program: &str,
        args: &[String],
        log_path: &std::path::Path,
    ) -> Result<Self, Error> {
        let log = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(log_path)
            .context(IoSnafu)?;
        let stdout = log.try_clone().context(IoSnafu)?;
        Self::spawn(program, args, stdout.into(), log.into())
    }

    /// Starts a program whose standard output is a pipe that is never read.
    ///
    /// # Errors
    /// Returns an error when the program cannot be started, usually because it was not built.
    pub fn start_with_blocked_output(program: &str, args: &[String]) -> Result<Self, Error> {
        Self::spawn(program, args, Stdio::piped(), Stdio::null())
    }

    fn spawn(program: &str, args: &[String], stdout: Stdio, stderr: Stdio) -> Result<Self, Error> {
        let path = binary_folder()?.join(program);
        let child = Command::new(&path)
            .args(args)
            .stdin(Stdio::null())
            .stdout(stdout)
            .stderr(stderr)
            .spawn()
            .context(StartSnafu { path })?;
        Ok(Self { child })
    }

    /// Sends a signal to the process.
    ///
    /// # Panics
    /// Never panics: a process id fits into `i32`.
    pub fn signal(&self, signal: i32) {
        let pid = i32::try_from(self.child.id()).expect("a process id is positive");
        // SAFETY: kill has no memory effects. Once the child is reaped, its id may be reused.
        unsafe { libc::kill(pid, signal) };
    }

    /// Returns the process id.
    #[must_use]
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Suspends the process with SIGSTOP.
    pub fn suspend(&self) {
        self.signal(libc::SIGSTOP);
    }

    /// Resumes the process with SIGCONT.
    pub fn resume(&self) {
        self.signal(libc::SIGCONT);
    }

    /// Kills the process with SIGKILL and reaps it.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Sends SIGTERM and waits until the process exits.
    ///
    /// # Errors
    /// Returns an error when waiting for the process fails.
    pub fn stop(&mut self) -> Result<ExitStatus, Error> {
        self.signal(libc::SIGTERM);
        self.child.wait().context(IoSnafu)
    }

    /// Whether the process has exited.
    pub fn has_exited(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Returns the folder of the built programs: that of this program, or its parent for test programs,
/// which cargo puts into `deps`.
fn binary_folder() -> Result<PathBuf, Error> {
    let current_program = std::env::current_exe().context(IoSnafu)?;
    let folder = current_program.parent().unwrap_or(&current_program).to_path_buf();
    let is_test_program = folder.file_name().is_some_and(|name| name == "deps");
    Ok(if is_test_program { folder.parent().unwrap_or(&folder).to_path_buf() } else { folder })
}
