//! Responses of peers that are broken off or have an invalid head.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::thread;
use std::time::Duration;

use cowslip_harness::EarlyEnd;
use cowslip_net::PeerConnection;

const TIMEOUT: Duration = Duration::from_secs(10);
/// Time in which a request arrives.
const ARRIVAL: Duration = Duration::from_millis(50);
/// Empty `SETTINGS` frame of HTTP/2.
const SETTINGS: &[u8] = &[0, 0, 0, 4, 0, 0, 0, 0, 0];
/// Types and flags of frames.
const DATA: u8 = 0;
const HEADERS: u8 = 1;
const END_STREAM: u8 = 1;
const END_HEADERS: u8 = 4;
/// Field `:status: 200`.
const STATUS_200: &[u8] = b"\x88";

struct Case {
    name: &'static str,
    head: &'static [u8],
    data_flags: u8,
    /// How the connection ends; `None` leaves it open.
    end: Option<EarlyEnd>,
    is_whole: bool,
}

const WHOLE: Case =
    Case { name: "whole", head: STATUS_200, data_flags: END_STREAM, end: None, is_whole: true };
const BROKEN_OFF: Case = Case {
    name: "end, then reset",
    data_flags: 0,
    end: Some(EarlyEnd::EndThenReset),
    is_whole: false,
    ..WHOLE
};

const CASES: &[Case] = &[
    WHOLE,
    BROKEN_OFF,
    Case { name: "close", end: Some(EarlyEnd::Close), ..BROKEN_OFF },
    Case { name: "reset", end: Some(EarlyEnd::Reset), ..BROKEN_OFF },
    Case { name: "status 000", head: b"\x08\x03000", is_whole: false, ..WHOLE },
    Case { name: "blank in a name", head: b"\x88\0\x03a b\x01v", is_whole: false, ..WHOLE },
    Case {
        name: "control byte in a name",
        head: b"\x88\0\x03a\x01b\x01v",
        is_whole: false,
        ..WHOLE
    },
];

/// Returns a frame of the first stream.
fn frame(kind: u8, flags: u8, payload: &[u8]) -> Vec<u8> {
    let size = u8::try_from(payload.len()).expect("a short payload");
    [&[0, 0, size, kind, flags, 0, 0, 0, 1], payload].concat()
}

/// Starts a server for one connection.
fn start_server(case: &Case) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    let response =
        [frame(HEADERS, END_HEADERS, case.head), frame(DATA, case.data_flags, b"part")].concat();
    let end = case.end;
    thread::spawn(move || {
        let (mut tcp, _) = listener.accept().expect("a connection");
        tcp.write_all(SETTINGS).expect("settings");
        thread::sleep(ARRIVAL);
        let _ = tcp.read(&mut [0; 4_096]);
        // The client closes the connection where a frame is invalid.
        let _ = match end {
            Some(end) => end.send(tcp, &response),
            None => {
                tcp.write_all(&response).and_then(|()| tcp.read_to_end(&mut Vec::new())).map(drop)
            }
        };
    });
    address
}

#[test]
fn response_of_a_peer_is_whole_only_with_its_last_frame() {
    let runtime = compio::runtime::Runtime::new().expect("a runtime");
    for case in CASES {
        let address = start_server(case);
        let result = runtime.block_on(async {
            let peer = PeerConnection::connect(address, TIMEOUT).await.expect("a connection");
            peer.call("/", "request".into(), 1_024).await
        });
        assert_eq!(result.is_ok_and(|body| body == "part"), case.is_whole, "{}", case.name);
    }
}
