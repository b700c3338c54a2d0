//! Free addresses, settings files, and waiting.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::time::{Duration, Instant};

use snafu::ResultExt;

use crate::error::{Error, IoSnafu, WaitSnafu};

const WAIT: Duration = Duration::from_secs(30);
const POLL: Duration = Duration::from_millis(25);

/// Text of a settings file.
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

/// An address that nothing listens on.
pub(crate) fn free_address() -> Result<SocketAddr, Error> {
    let listener = TcpListener::bind("127.0.0.1:0").context(IoSnafu)?;
    listener.local_addr().context(IoSnafu)
}

/// Several such addresses.
pub(crate) fn free_addresses(count: usize) -> Result<Vec<SocketAddr>, Error> {
    // All are held at once, so that none comes twice.
    let listeners: Vec<TcpListener> = (0..count)
        .map(|_| TcpListener::bind("127.0.0.1:0").context(IoSnafu))
        .collect::<Result<_, _>>()?;
    listeners.iter().map(|listener| listener.local_addr().context(IoSnafu)).collect()
}

/// Waits until something listens at `address`.
pub(crate) fn wait_for_listener(address: SocketAddr) -> Result<(), Error> {
    wait_until(&format!("a listener at {address}"), || {
        std::net::TcpStream::connect(address).is_ok()
    })
}

/// Waits for a condition.
pub(crate) fn wait_until<F>(what: &str, mut condition: F) -> Result<(), Error>
where
    F: FnMut() -> bool,
{
    let deadline = Instant::now() + WAIT;
    while !condition() {
        if Instant::now() >= deadline {
            return WaitSnafu { what }.fail();
        }
        std::thread::sleep(POLL);
    }
    Ok(())
}
