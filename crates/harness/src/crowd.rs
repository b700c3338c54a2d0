//! Crowds of callers that press on the limits of a daemon, and what its process takes meanwhile.

use std::io::{self, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::thread;
use std::time::Duration;

/// Time after which a caller whose bytes are not read gives up sending.
const SEND_TIMEOUT: Duration = Duration::from_secs(1);
/// Size of the parts in which a body is sent, and of large chunks, in bytes.
const PART_BYTES: usize = 16_384;
const LARGE_CHUNK_BYTES: usize = 65_536;

/// How a caller sends the body of its request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Sending {
    /// With its length, in one write.
    Whole,
    /// With its length, in small writes.
    Parts,
    /// In chunks of 64 KiB.
    LargeChunks,
    /// In chunks of one byte.
    TinyChunks,
    /// With a length far over that of its bytes.
    Announced {
        /// The length.
        length_bytes: usize,
    },
}

/// Callers that connect from one address at the same time and stay connected.
#[derive(Clone, Debug)]
pub struct Crowd {
    /// Number of callers.
    pub callers: usize,
    /// Request line and headers of a request, each with its line end; `INDEX` stands for the number
    /// of the caller.
    pub head: String,
    /// How the bodies are sent.
    pub sending: Sending,
    /// Bytes of each body.
    pub body_bytes: usize,
    /// Whether the end of each body is missing.
    pub stops_short: bool,
}

impl Crowd {
    /// Connects all callers and has them send. Returns the connections, which stay open.
    #[must_use]
    pub fn send(&self, address: SocketAddr) -> Vec<TcpStream> {
        let callers: Vec<_> = (0..self.callers)
            .map(|index| {
                let crowd = self.clone();
                thread::spawn(move || crowd.send_one(address, index).ok())
            })
            .collect();
        callers.into_iter().filter_map(|caller| caller.join().ok().flatten()).collect()
    }

    fn send_one(&self, address: SocketAddr, index: usize) -> io::Result<TcpStream> {
        let mut tcp = TcpStream::connect(address)?;
        tcp.set_write_timeout(Some(SEND_TIMEOUT))?;
        // A caller whose connection is closed or not read has nothing left to send.
        let _ = self.write(&mut tcp, index);
        Ok(tcp)
    }

    fn write(&self, tcp: &mut TcpStream, index: usize) -> io::Result<()> {
        let framing = match self.sending {
            Sending::Whole | Sending::Parts => format!("content-length: {}", self.body_bytes),
            Sending::Announced { length_bytes } => format!("content-length: {length_bytes}"),
            Sending::LargeChunks | Sending::TinyChunks => "transfer-encoding: chunked".to_owned(),
        };
        let head = self.head.replace("INDEX", &index.to_string());
        tcp.write_all(format!("{head}{framing}\r\n\r\n").as_bytes())?;
        let sent_bytes = self.body_bytes - usize::from(self.stops_short);
        match self.sending {
            Sending::Whole | Sending::Announced { .. } => tcp.write_all(&vec![b'a'; sent_bytes]),
            Sending::Parts => write_all_in(tcp, sent_bytes, |size| vec![b'a'; size], PART_BYTES),
            Sending::LargeChunks => write_all_in(tcp, sent_bytes, chunk, LARGE_CHUNK_BYTES),
            Sending::TinyChunks => {
                write_all_in(tcp, sent_bytes, |size| chunk(1).repeat(size), PART_BYTES)
            }
        }?;
        let is_chunked = matches!(self.sending, Sending::LargeChunks | Sending::TinyChunks);
        if is_chunked && !self.stops_short {
            tcp.write_all(b"0\r\n\r\n")?;
        }
        Ok(())
    }
}

fn chunk(size: usize) -> Vec<u8> {
    let mut bytes = format!("{size:x}\r\n").into_bytes();
    bytes.resize(bytes.len() + size, b'a');
    bytes.extend_from_slice(b"\r\n");
    bytes
}

fn write_all_in<F>(tcp: &mut TcpStream, bytes: usize, part: F, part_bytes: usize) -> io::Result<()>
where
    F: Fn(usize) -> Vec<u8>,
{
    let sizes = (0..bytes).step_by(part_bytes).map(|start| part_bytes.min(bytes - start));
    sizes.map(part).try_for_each(|part| tcp.write_all(&part))
}

/// Closes the connections of a crowd.
pub fn leave(crowd: Vec<TcpStream>) {
    for tcp in crowd {
        // The daemon may have closed the connection before.
        let _ = tcp.shutdown(Shutdown::Both);
    }
}

/// Returns the peak memory of a process, in KiB.
///
/// # Errors
/// Returns an error if the process has ended.
pub fn peak_memory_kib(process_id: u32) -> io::Result<u64> {
    let status = std::fs::read_to_string(format!("/proc/{process_id}/status"))?;
    let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
    peak.and_then(|text| text.trim().trim_end_matches(" kB").parse().ok())
        .ok_or_else(|| io::Error::new(io::ErrorKind::InvalidData, "the status names no peak"))
}

/// Returns the number of open descriptors of a process.
///
/// # Errors
/// Returns an error if the process has ended.
pub fn open_descriptors(process_id: u32) -> io::Result<usize> {
    Ok(std::fs::read_dir(format!("/proc/{process_id}/fd"))?.count())
}
