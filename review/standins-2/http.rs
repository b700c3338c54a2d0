//! The little of HTTP/1.1 that the stand-ins need.

use std::io::Read;
use std::net::TcpStream;

/// A request with its whole body.
pub struct Request {
    pub target: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(header, _)| header == name);
        found.map(|(_, value)| value.as_str())
    }
}

/// Returns the length of a message's head, and its first line and headers.
pub fn parse_head(bytes: &[u8]) -> Option<(usize, String, Vec<(String, String)>)> {
    let length = bytes.windows(4).position(|window| window == b"\r\n\r\n")? + 4;
    let text = String::from_utf8_lossy(&bytes[..length]);
    let mut lines = text.lines();
    let first = lines.next()?.to_owned();
    let headers = lines
        .filter_map(|line| line.split_once(':'))
        .map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()))
        .collect();
    Some((length, first, headers))
}

/// Reads the next request, whose body has a length; `None` at the end of the connection. `buffer`
/// keeps the bytes that follow it.
pub fn read_request(tcp: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<Request> {
    let mut chunk = [0; 16_384];
    loop {
        if let Some((length, first, headers)) = parse_head(buffer) {
            let size = headers
                .iter()
                .find(|(name, _)| name == "content-length")
                .map_or(0, |(_, value)| value.parse().unwrap_or(0));
            if buffer.len() >= length + size {
                let body = buffer[length..length + size].to_vec();
                buffer.drain(..length + size);
                let target = first.split(' ').nth(1)?.to_owned();
                return Some(Request { target, headers, body });
            }
        }
        match tcp.read(&mut chunk) {
            Ok(0) | Err(_) => return None,
            Ok(count) => buffer.extend_from_slice(&chunk[..count]),
        }
    }
}
