//! A server that ends its response before it has received the whole request.

use std::io::{self, ErrorKind, Read, Write};
use std::net::{Shutdown, TcpStream};
use std::thread;
use std::time::Duration;

/// Time between the end of the server's side of a connection and the reset.
const RESET_DELAY: Duration = Duration::from_millis(3);
/// Most bytes of the request that are read before the end.
const MAX_READ_BYTES: usize = 1_048_576;

/// How a server ends the connection while the request still arrives.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EarlyEnd {
    /// Ends its side, and resets the connection shortly after.
    EndThenReset,
    /// Closes the connection when it has read all that has arrived of a request of more than 1 MiB, so
    /// that the end is sent and the rest of the request meets a reset.
    Close,
    /// Resets the connection.
    Reset,
}

impl EarlyEnd {
    const ALL: [Self; 3] = [Self::EndThenReset, Self::Close, Self::Reset];

    /// Returns the way with this debug form.
    #[must_use]
    pub fn named(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|end| format!("{end:?}") == name)
    }

    /// Sends a response and ends the connection.
    ///
    /// # Errors
    /// Returns an error if the other side has closed the connection.
    pub fn send(self, mut tcp: TcpStream, response: &[u8]) -> io::Result<()> {
        tcp.write_all(response)?;
        match self {
            Self::EndThenReset => {
                tcp.shutdown(Shutdown::Write)?;
                thread::sleep(RESET_DELAY);
                reset(&tcp)
            }
            Self::Close => read_arrived(&mut tcp),
            Self::Reset => reset(&tcp),
        }
    }
}

/// Has the connection be reset when it is closed.
fn reset(tcp: &TcpStream) -> io::Result<()> {
    socket2::SockRef::from(tcp).set_linger(Some(Duration::ZERO))
}

/// Reads until the read buffer is empty.
fn read_arrived(tcp: &mut TcpStream) -> io::Result<()> {
    tcp.set_nonblocking(true)?;
    let (mut chunk, mut total_bytes) = (vec![0; 262_144], 0);
    while total_bytes < MAX_READ_BYTES {
        match tcp.read(&mut chunk) {
            Ok(0) => break,
            Ok(count) => total_bytes += count,
            Err(error) if error.kind() == ErrorKind::WouldBlock => break,
            Err(error) => return Err(error),
        }
    }
    Ok(())
}
