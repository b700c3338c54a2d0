//! Which connection a server closes for a further one.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::Duration;

use cowslip_net::{ServerLimits, bind, full_body, read_body, serve_http};
use http::{Request, Response};
use hyper::body::Incoming;

/// Interval between the parts of a body, below the time for which it may pause.
const PART_INTERVAL: Duration = Duration::from_millis(300);
/// Time for which the handler of a request works.
const WORK: Duration = Duration::from_secs(3);

struct Case {
    name: &'static str,
    head: &'static str,
    /// Parts of the body that arrive before the further connection.
    parts: usize,
    /// Time between the last part and the further connection.
    pause: Duration,
    is_closed: bool,
}

const CASES: &[Case] = &[
    Case {
        name: "a body that arrives in parts",
        head: "POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 6\r\n\r\n",
        parts: 6,
        pause: Duration::ZERO,
        is_closed: false,
    },
    Case {
        name: "a body that has paused",
        head: "POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 6\r\n\r\n",
        parts: 1,
        pause: Duration::from_millis(1_300),
        is_closed: true,
    },
    Case {
        name: "a request without a body",
        head: "GET / HTTP/1.1\r\nhost: a\r\n\r\n",
        parts: 0,
        pause: Duration::from_millis(1_300),
        is_closed: false,
    },
];

async fn handle(request: Request<Incoming>) -> Response<cowslip_net::Body> {
    let _ = read_body(request.into_body(), 1_024).await;
    compio::time::sleep(WORK).await;
    Response::new(full_body("done"))
}

/// Starts a server for one connection, which ends with the test.
fn start_server() -> SocketAddr {
    let (sender, receiver) = std::sync::mpsc::channel();
    thread::spawn(move || {
        let runtime = compio::runtime::Runtime::new().expect("a runtime");
        runtime.block_on(async {
            let listener = bind("127.0.0.1:0".parse().expect("an address")).await;
            let listener = listener.expect("a listener");
            sender.send(listener.local_addr().expect("an address")).expect("a receiver");
            let (_stop, stopped) = async_channel::bounded(1);
            let limits = ServerLimits {
                max_connections: 1,
                max_header_bytes: 8_192,
                idle_timeout: Duration::from_mins(1),
                unread_timeout: Duration::from_mins(1),
            };
            serve_http(listener, limits, stopped, handle).await;
        });
    });
    receiver.recv().expect("an address")
}

#[test]
fn only_a_paused_body_gives_way_to_a_further_connection() {
    for Case { name, head, parts, pause, is_closed } in CASES {
        let address = start_server();
        let mut first = TcpStream::connect(address).expect("a connection");
        first.write_all(head.as_bytes()).expect("a head");
        for part in 0..*parts {
            // The last part is followed by the further connection at once.
            thread::sleep(if part > 0 { PART_INTERVAL } else { Duration::ZERO });
            first.write_all(b"x").expect("a part");
        }
        thread::sleep(*pause);
        let _further = TcpStream::connect(address).expect("a connection");
        let mut response = String::new();
        first.set_read_timeout(Some(WORK + Duration::from_secs(2))).expect("a timeout");
        let _ = first.read_to_string(&mut response);
        assert_eq!(response.is_empty(), *is_closed, "{name}: {response}");
    }
}
