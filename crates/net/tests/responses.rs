//! Responses without a length, which end with their connection: they are whole only if the server
//! has received the whole request and the connection did not fail.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::Duration;

use cowslip_harness::EarlyEnd;
use cowslip_net::{Body, ChunkSender, Client, ClientOptions, body_channel, full_body, read_body};
use http::Request;
use socket2::SockRef;

const HEAD: &[u8] = b"HTTP/1.1 200 OK\r\nx-framing: none\r\n\r\n";
const PART_BYTES: usize = 4;
/// More than a client takes before its body is read.
const LARGE_PART_BYTES: usize = 100_000;
const LARGE_BYTES: usize = 3_500_000;
/// Fits into no send buffer, so that a write still waits when the connection ends.
const UNSENT_BYTES: usize = 16_000_000;
/// Fits into the send buffer of a connection, and not into the read buffer of the server.
const BUFFERED_BYTES: usize = 300_000;
const READ_BUFFER_BYTES: usize = 65_536;
/// Time in which what was sent arrives.
const ARRIVAL: Duration = Duration::from_millis(50);
const TIMEOUT: Duration = Duration::from_secs(10);
const ROUNDS: usize = 10;

#[derive(Clone, Copy)]
enum Upload {
    /// A body of this size.
    Whole(usize),
    /// The first part of a body whose rest is not ready yet.
    Paused,
}

#[derive(Clone, Copy)]
enum End {
    Early(EarlyEnd),
    /// Closes the connection after the whole request has been read.
    AfterRequest,
}

#[derive(Clone, Copy)]
struct Case {
    name: &'static str,
    upload: Upload,
    /// Size of the part of the body that is sent before the end.
    part_bytes: usize,
    end: End,
    /// Whether the body is read only after the connection has ended. The write of an upload then
    /// takes the error of the socket, where the part is a large one, and a later read sees an end.
    is_read_late: bool,
    is_whole: bool,
}

const RESET: Case = Case {
    name: "reset",
    upload: Upload::Whole(LARGE_BYTES),
    part_bytes: PART_BYTES,
    end: End::Early(EarlyEnd::Reset),
    is_read_late: false,
    is_whole: false,
};
const END_THEN_RESET: Case =
    Case { name: "end, then reset", end: End::Early(EarlyEnd::EndThenReset), ..RESET };
const CLOSE: Case = Case {
    name: "close while the upload pauses",
    upload: Upload::Paused,
    end: End::Early(EarlyEnd::Close),
    ..RESET
};
const AFTER_REQUEST: Case =
    Case { name: "close after the request", end: End::AfterRequest, is_whole: true, ..RESET };

const CASES: &[Case] = &[
    RESET,
    Case {
        name: "reset that the upload meets first",
        upload: Upload::Whole(UNSENT_BYTES),
        part_bytes: LARGE_PART_BYTES,
        is_read_late: true,
        ..RESET
    },
    Case { name: "reset of a sent upload", upload: Upload::Whole(BUFFERED_BYTES), ..RESET },
    END_THEN_RESET,
    Case { name: "end and reset before a read", is_read_late: true, ..END_THEN_RESET },
    Case {
        name: "end and reset that the upload meets first",
        upload: Upload::Whole(UNSENT_BYTES),
        part_bytes: LARGE_PART_BYTES,
        is_read_late: true,
        ..END_THEN_RESET
    },
    Case {
        name: "end, then reset of a sent upload",
        upload: Upload::Whole(BUFFERED_BYTES),
        ..END_THEN_RESET
    },
    Case {
        name: "end and reset of a sent upload before a read",
        upload: Upload::Whole(BUFFERED_BYTES),
        is_read_late: true,
        ..END_THEN_RESET
    },
    CLOSE,
    Case { name: "close while the upload pauses, read late", is_read_late: true, ..CLOSE },
    Case { name: "close amid the upload", upload: Upload::Whole(LARGE_BYTES), ..CLOSE },
    AFTER_REQUEST,
    Case {
        name: "close after the request, read late",
        part_bytes: LARGE_PART_BYTES,
        is_read_late: true,
        ..AFTER_REQUEST
    },
    Case { name: "close after no body", upload: Upload::Whole(0), ..AFTER_REQUEST },
];

/// Starts a server for one connection.
fn start_server(Case { end, part_bytes, .. }: Case) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    SockRef::from(&listener).set_recv_buffer_size(READ_BUFFER_BYTES).expect("a buffer size");
    let address = listener.local_addr().expect("an address");
    let response = [HEAD, &vec![b'a'; part_bytes]].concat();
    thread::spawn(move || {
        let (mut tcp, _) = listener.accept().expect("a connection");
        let mut request = vec![0; 65_536];
        let count = tcp.read(&mut request).expect("a request");
        let text = String::from_utf8_lossy(&request[..count]).into_owned();
        match end {
            End::Early(end) => {
                thread::sleep(ARRIVAL);
                // The client may have closed the connection.
                let _ = end.send(tcp, &response);
            }
            End::AfterRequest => {
                read_rest(&mut tcp, &text);
                tcp.write_all(&response).expect("a response");
            }
        }
    });
    address
}

/// Reads the rest of a request that begins with `text`.
fn read_rest(tcp: &mut TcpStream, text: &str) {
    let (head, body) = text.split_once("\r\n\r\n").expect("a head");
    let length = head.lines().find_map(|line| line.strip_prefix("content-length: "));
    let length: usize = length.map_or(0, |length| length.parse().expect("a length"));
    tcp.read_exact(&mut vec![0; length - body.len()]).expect("a body");
}

/// Returns the body of the request, and its sender if more of it follows.
fn body_of(upload: Upload) -> (Body, Option<ChunkSender>) {
    match upload {
        Upload::Whole(bytes) => (full_body(vec![b'a'; bytes]), None),
        Upload::Paused => {
            let (sender, body) = body_channel();
            (body, Some(sender))
        }
    }
}

async fn is_whole(case: Case) -> bool {
    let options =
        ClientOptions { connect_timeout: TIMEOUT, user_timeout: TIMEOUT, max_idle: TIMEOUT };
    let (body, sender) = body_of(case.upload);
    if let Some(sender) = &sender {
        sender.send("a part".into()).await;
    }
    let request = Request::post("/").header("host", "a").body(body).expect("a request");
    let Ok(response) = Client::new(options).send(start_server(case), request).await else {
        return false;
    };
    if case.is_read_late {
        compio::time::sleep(2 * ARRIVAL).await;
    }
    let body = read_body(response.into_body(), LARGE_PART_BYTES).await;
    body.is_ok_and(|body| body.len() == case.part_bytes)
}

#[test]
fn response_without_a_length_is_whole_only_after_its_request() {
    let runtime = compio::runtime::Runtime::new().expect("a runtime");
    let failures: Vec<(&str, usize)> = CASES
        .iter()
        .map(|case| {
            let is_wrong = |_: &usize| runtime.block_on(is_whole(*case)) != case.is_whole;
            (case.name, (0..ROUNDS).filter(is_wrong).count())
        })
        .filter(|(_, count)| *count > 0)
        .collect();
    assert!(failures.is_empty(), "wrong responses of {ROUNDS}: {failures:?}");
}
