//! Signals to the process, as messages.

use std::io;

use async_channel::Receiver;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

/// What a signal asks of the process.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Signal {
    /// Stop in order: SIGTERM or SIGINT.
    Stop,
    /// Check the settings file again: SIGHUP.
    Reload,
}

/// Receives the signals to this process from now on. The handlers stay installed until the process
/// ends, so a repeated signal never has its default action.
///
/// # Errors
/// Returns the error of the operating system if the handlers or their thread cannot be set up.
pub fn watch_signals() -> io::Result<Receiver<Signal>> {
    let mut signals = Signals::new([SIGTERM, SIGINT, SIGHUP])?;
    let (sender, receiver) = async_channel::unbounded();
    std::thread::Builder::new().name("signals".to_owned()).spawn(move || {
        for number in signals.forever() {
            let signal = if number == SIGHUP { Signal::Reload } else { Signal::Stop };
            // A closed channel means that the process ends.
            let _ = sender.send_blocking(signal);
        }
    })?;
    Ok(receiver)
}
