//! The little HTTP/1.1 that the stand-ins need.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// A request or response: its first line, headers in lower case, and body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(header, _)| header == name).map(|(_, value)| value.as_str())
    }

    /// Returns a word of the first line.
    pub fn word(&self, index: usize) -> &str {
        self.first_line.split(' ').nth(index).unwrap_or_default()
    }

    /// Returns the path without its query.
    pub fn path(&self) -> &str {
        self.word(1).split('?').next().unwrap_or_default()
    }

    /// Returns a parameter of the query, percent-decoded.
    pub fn parameter(&self, name: &str) -> Option<String> {
        let query = self.word(1).split_once('?')?.1;
        let value = query.split('&').find_map(|pair| {
            let (key, value) = pair.split_once('=')?;
            (key == name).then_some(value)
        })?;
        Some(percent_decode(value))
    }

    pub fn number(&self, name: &str) -> Option<u64> {
        self.parameter(name)?.parse().ok()
    }
}

fn percent_decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut index = 0;
    while index < bytes.len() {
        let escaped = (bytes[index] == b'%')
            .then(|| text.get(index + 1..index + 3))
            .flatten()
            .and_then(|digits| u8::from_str_radix(digits, 16).ok());
        if let Some(byte) = escaped {
            out.push(byte);
            index += 3;
        } else {
            out.push(if bytes[index] == b'+' { b' ' } else { bytes[index] });
            index += 1;
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// Reads a message with a length or without a body; `rest` holds bytes after the previous message.
pub fn read_message(tcp: &mut TcpStream, rest: &mut Vec<u8>) -> Option<Message> {
    let mut chunk = [0; 16_384];
    let head_end = loop {
        if let Some(at) = rest.windows(4).position(|window| window == b"\r\n\r\n") {
            break at + 4;
        }
        match tcp.read(&mut chunk) {
            Ok(0) | Err(_) => return None,
            Ok(count) => rest.extend_from_slice(&chunk[..count]),
        }
    };
    let head = String::from_utf8_lossy(&rest[..head_end]).into_owned();
    let mut lines = head.split("\r\n");
    let first_line = lines.next().unwrap_or_default().to_owned();
    let headers: Vec<(String, String)> = lines
        .filter_map(|line| line.split_once(':'))
        .map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()))
        .collect();
    let mut message = Message { first_line, headers, body: Vec::new() };
    let length: usize =
        message.header("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
    while rest.len() < head_end + length {
        match tcp.read(&mut chunk) {
            Ok(0) | Err(_) => return None,
            Ok(count) => rest.extend_from_slice(&chunk[..count]),
        }
    }
    message.body = rest[head_end..head_end + length].to_vec();
    rest.drain(..head_end + length);
    Some(message)
}

/// Writes a response with a length.
pub fn write_response(
    tcp: &mut TcpStream,
    status: u16,
    headers: &[(&str, String)],
    body: &[u8],
) -> std::io::Result<()> {
    let mut out = format!("HTTP/1.1 {status} Status\r\ncontent-length: {}\r\n", body.len());
    for (name, value) in headers {
        out.push_str(&format!("{name}: {value}\r\n"));
    }
    out.push_str("\r\n");
    let mut bytes = out.into_bytes();
    bytes.extend_from_slice(body);
    tcp.write_all(&bytes)
}

/// Sends a request on a new connection and returns the response.
pub fn call(address: SocketAddr, request: &str, timeout: Duration) -> Option<Message> {
    let mut tcp = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
    tcp.set_read_timeout(Some(timeout)).ok()?;
    tcp.write_all(request.as_bytes()).ok()?;
    read_message(&mut tcp, &mut Vec::new())
}
