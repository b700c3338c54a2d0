//! The little of HTTP/1.1 that the stand-ins speak.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// A request or a response with its complete body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub start_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn target(&self) -> &str {
        self.start_line.split(' ').nth(1).unwrap_or("")
    }

    pub fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or("")
    }

    pub fn query(&self, name: &str) -> Option<String> {
        let query = self.target().split_once('?')?.1;
        query.split('&').find_map(|pair| {
            let (key, value) = pair.split_once('=')?;
            (key == name).then(|| value.to_owned())
        })
    }
}

/// Reads messages from a connection; keeps the bytes after each message for the next one.
pub struct Reader {
    stream: TcpStream,
    buffer: Vec<u8>,
}

impl Reader {
    pub fn new(stream: TcpStream) -> Self {
        Self { stream, buffer: Vec::new() }
    }

    fn fill(&mut self) -> Option<usize> {
        let mut chunk = [0; 16_384];
        match self.stream.read(&mut chunk) {
            Ok(0) | Err(_) => None,
            Ok(count) => {
                self.buffer.extend_from_slice(&chunk[..count]);
                Some(count)
            }
        }
    }

    fn line(&mut self) -> Option<String> {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|pair| pair == b"\r\n") {
                let line: Vec<u8> = self.buffer.drain(..end + 2).collect();
                return Some(String::from_utf8_lossy(&line[..end]).into_owned());
            }
            self.fill()?;
        }
    }

    fn take(&mut self, count: usize) -> Option<Vec<u8>> {
        while self.buffer.len() < count {
            self.fill()?;
        }
        Some(self.buffer.drain(..count).collect())
    }

    /// Reads the start line and the headers.
    pub fn head(&mut self) -> Option<Message> {
        let start_line = self.line()?;
        let mut headers = Vec::new();
        loop {
            let line = self.line()?;
            if line.is_empty() {
                return Some(Message { start_line, headers, body: Vec::new() });
            }
            let (name, value) = line.split_once(':')?;
            headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
        }
    }

    /// Reads a request with a length or chunks.
    pub fn request(&mut self) -> Option<Message> {
        let mut message = self.head()?;
        if message.header("transfer-encoding").is_some() {
            while let Some(chunk) = self.chunk()? {
                message.body.extend(chunk);
            }
        } else if let Some(length) = message.header("content-length") {
            let length = length.parse().ok()?;
            message.body = self.take(length)?;
        }
        Some(message)
    }

    /// Reads a chunk; the inner `None` is the last one.
    fn chunk(&mut self) -> Option<Option<Vec<u8>>> {
        let line = self.line()?;
        let size = usize::from_str_radix(line.split(';').next()?.trim(), 16).ok()?;
        let chunk = self.take(size)?;
        self.take(2)?;
        Some((size > 0).then_some(chunk))
    }
}

/// What a client received for a request.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    /// 0 where the channel ended without an answer.
    pub status: u16,
    pub head: Message,
    pub body: Vec<u8>,
    /// Whether the body had the length or the last chunk that its head announced.
    pub is_complete: bool,
    pub took: Duration,
}

impl Answer {
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// A request that a client sends.
#[derive(Clone, Debug)]
pub struct Call<'a> {
    pub method: &'a str,
    pub path: &'a str,
    pub attempt: &'a str,
    pub key: &'a str,
    pub deadline_ms: u64,
    pub extra_headers: &'a str,
    pub body: &'a str,
}

pub const HOST: &str = "shop.example";
pub const KEY: &str = "key-of-alpha";

impl Call<'_> {
    pub fn text(&self) -> String {
        let Self { method, path, attempt, key, deadline_ms, extra_headers, body } = self;
        format!(
            "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nCowslipvale-Attempt-Id: {attempt}\r\n\
             Cowslipvale-Deadline-Ms: {deadline_ms}\r\nAuthorization: Bearer {key}\r\n{extra_headers}\
             Content-Length: {}\r\n\r\n{body}",
            body.len()
        )
    }

    /// Sends the request on a new channel and reads the answer.
    pub fn send(&self, address: SocketAddr) -> Answer {
        let started = Instant::now();
        match TcpStream::connect_timeout(&address, Duration::from_secs(1)) {
            Ok(stream) => self.send_on(stream, started),
            Err(_) => Answer::default(),
        }
    }

    /// Sends the request on an open channel and reads the answer.
    pub fn send_on(&self, mut stream: TcpStream, started: Instant) -> Answer {
        let _ = stream.set_nodelay(true);
        let limit = Duration::from_millis(self.deadline_ms + 1_000);
        let _ = stream.set_read_timeout(Some(limit));
        if stream.write_all(self.text().as_bytes()).is_err() {
            return Answer::default();
        }
        let mut answer = read_answer(stream).unwrap_or_default();
        answer.took = started.elapsed();
        answer
    }
}

/// Reads an answer to its end.
pub fn read_answer(stream: TcpStream) -> Option<Answer> {
    let mut reader = Reader::new(stream);
    let head = reader.head()?;
    let status = head.start_line.split(' ').nth(1)?.parse().ok()?;
    let mut answer = Answer { status, head, ..Answer::default() };
    if answer.head.header("transfer-encoding").is_some() {
        loop {
            match reader.chunk() {
                Some(Some(chunk)) => answer.body.extend(chunk),
                Some(None) => {
                    answer.is_complete = true;
                    break;
                }
                None => break,
            }
        }
    } else if let Some(length) = answer.head.header("content-length") {
        let length: usize = length.parse().ok()?;
        while answer.body.len() < length {
            if reader.buffer.is_empty() && reader.fill().is_none() {
                break;
            }
            let rest = reader.buffer.len().min(length - answer.body.len());
            answer.body.extend(reader.buffer.drain(..rest));
        }
        answer.is_complete = answer.body.len() == length;
    }
    Some(answer)
}

/// Sends a request on a new channel without waiting for its answer.
pub fn open(address: SocketAddr, text: &str) -> Option<TcpStream> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
    let _ = stream.set_nodelay(true);
    stream.write_all(text.as_bytes()).ok()?;
    Some(stream)
}

/// Returns the status of a plain GET request.
pub fn get_status(address: SocketAddr, path: &str) -> Option<u16> {
    let text = format!("GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
    let stream = open(address, &text)?;
    let _ = stream.set_read_timeout(Some(Duration::from_millis(800)));
    let head = Reader::new(stream).head()?;
    head.start_line.split(' ').nth(1)?.parse().ok()
}
