//! One child process, ended by its id when dropped.

use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};

use snafu::ResultExt;

use crate::error::{Error, IoSnafu, StartSnafu};

/// A running program.
#[derive(Debug)]
pub struct Process {
    child: Child,
}

impl Process {
    /// Starts a program of this workspace; its log goes to `log_path`.
    ///
    /// # Errors
    /// Returns an error when the program was not built.
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
        let out = log.try_clone().context(IoSnafu)?;
        Self::spawn(program, args, out.into(), log.into())
    }

    /// Starts a program whose standard output is a pipe that nobody reads.
    ///
    /// # Errors
    /// Returns an error when the program was not built.
    pub fn start_with_blocked_output(program: &str, args: &[String]) -> Result<Self, Error> {
        Self::spawn(program, args, Stdio::piped(), Stdio::null())
    }

    fn spawn(program: &str, args: &[String], out: Stdio, errors: Stdio) -> Result<Self, Error> {
        let path = binary_folder()?.join(program);
        let child = Command::new(&path)
            .args(args)
            .stdin(Stdio::null())
            .stdout(out)
            .stderr(errors)
            .spawn()
            .context(StartSnafu { path })?;
        Ok(Self { child })
    }

    /// Sends a signal.
    ///
    /// # Panics
    /// Never: a process id fits its type.
    pub fn signal(&self, signal: i32) {
        let pid = i32::try_from(self.child.id()).expect("a process id is positive");
        // SAFETY: kill has no memory effects; the id is that of a child that was not waited for.
        unsafe { libc::kill(pid, signal) };
    }

    /// Its process id.
    #[must_use]
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Stands the process still.
    pub fn freeze(&self) {
        self.signal(libc::SIGSTOP);
    }

    /// Lets it go on.
    pub fn thaw(&self) {
        self.signal(libc::SIGCONT);
    }

    /// Ends it at once.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Asks it to stop and waits until it has.
    ///
    /// # Errors
    /// Returns an error when it cannot be waited for.
    pub fn stop(&mut self) -> Result<ExitStatus, Error> {
        self.signal(libc::SIGTERM);
        self.child.wait().context(IoSnafu)
    }

    /// Whether it has ended.
    pub fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Folder of the built programs: next to this one, or above the folder of test programs.
fn binary_folder() -> Result<PathBuf, Error> {
    let own = std::env::current_exe().context(IoSnafu)?;
    let folder = own.parent().unwrap_or(&own).to_path_buf();
    let is_tests = folder.file_name().is_some_and(|name| name == "deps");
    Ok(if is_tests { folder.parent().unwrap_or(&folder).to_path_buf() } else { folder })
}
