//! Free addresses, settings files and polling helpers.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::time::{Duration, Instant};

use snafu::ResultExt;

use crate::error::{Error, IoSnafu, TimeoutSnafu};

/// Longest wait for a condition.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);
const POLL_INTERVAL: Duration = Duration::from_millis(25);

/// Returns the text of a settings file, with the rows grouped by section.
pub(crate) fn ini_text(rows: &[(&str, &str, String)]) -> String {
    let mut sections: BTreeMap<&str, Vec<String>> = BTreeMap::new();
    for (section, key, value) in rows {
        let keys = sections.entry(section).or_default();
        keys.push(format!("{key} = {value}"));
    }
    let texts: Vec<String> = sections
        .iter()
        .map(|(section, keys)| format!("[{section}]\n{}\n", keys.join("\n")))
        .collect();
    texts.concat()
}

/// Returns a loopback address that has no listener.
pub(crate) fn free_address() -> Result<SocketAddr, Error> {
    let listener = TcpListener::bind("127.0.0.1:0").context(IoSnafu)?;
    listener.local_addr().context(IoSnafu)
}

/// Returns `count` different loopback addresses that have no listener.
pub(crate) fn free_addresses(count: usize) -> Result<Vec<SocketAddr>, Error> {
    // Keeps all ports bound until the end, so that the addresses differ.
    let listeners: Vec<TcpListener> = (0..count)
        .map(|_| TcpListener::bind("127.0.0.1:0").context(IoSnafu))
        .collect::<Result<_, _>>()?;
    listeners.iter().map(|listener| listener.local_addr().context(IoSnafu)).collect()
}

/// Waits until a process listens at `address`.
pub(crate) fn wait_for_listener(address: SocketAddr) -> Result<(), Error> {
    wait_until(&format!("a listener at {address}"), || {
        std::net::TcpStream::connect(address).is_ok()
    })
}

/// Polls until `is_met` returns true, at most for `WAIT_TIMEOUT`.
pub(crate) fn wait_until<F>(condition: &str, mut is_met: F) -> Result<(), Error>
where
    F: FnMut() -> bool,
{
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while !is_met() {
        if Instant::now() >= deadline {
            return TimeoutSnafu { condition }.fail();
        }
        std::thread::sleep(POLL_INTERVAL);
    }
    Ok(())
}
