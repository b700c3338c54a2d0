//! Requests that try to reach more than their route allows, sent over a raw connection.

mod common;

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::Duration;

use common::lock_fleet;
use cowslip_harness::{Fleet, FleetOptions};

/// Longest wait for a response.
const READ_TIMEOUT: Duration = Duration::from_secs(10);

/// A request as it is sent, with `KEY` for the caller's API key and `ESCAPED` for the key
/// with its first character escaped.
struct Case {
    name: &'static str,
    text: &'static str,
    status_line: &'static str,
    code: &'static str,
}

const CASES: &[Case] = &[
    Case {
        name: "the open route",
        text: "GET /stock/twine HTTP/1.1\r\nhost: shop\r\n\r\n",
        status_line: "HTTP/1.1 200",
        code: "",
    },
    Case {
        name: "dots behind an open route",
        text: "GET /stock/../bookings HTTP/1.1\r\nhost: shop\r\n\r\n",
        status_line: "HTTP/1.1 400",
        code: "bad_path",
    },
    Case {
        name: "escaped dots behind an open route",
        text: "GET /stock/%2e%2e/bookings HTTP/1.1\r\nhost: shop\r\n\r\n",
        status_line: "HTTP/1.1 400",
        code: "bad_path",
    },
    Case {
        name: "an escaped slash behind a service",
        text: "GET /services/shop/stock/..%2fbookings HTTP/1.1\r\nhost: shop\r\nauthorization: Bearer KEY\r\n\r\n",
        status_line: "HTTP/1.1 400",
        code: "bad_path",
    },
    Case {
        name: "a key in the query, one character escaped",
        text: "GET /services/shop/stock/twine?k=ESCAPED HTTP/1.1\r\nhost: shop\r\nauthorization: Bearer KEY\r\n\r\n",
        status_line: "HTTP/1.1 400",
        code: "key_in_request",
    },
    Case {
        name: "two keys",
        text: "GET /services/shop/stock/twine HTTP/1.1\r\nhost: shop\r\nauthorization: Bearer KEY\r\nauthorization: Bearer other\r\n\r\n",
        status_line: "HTTP/1.1 400",
        code: "repeated_authorization",
    },
    Case {
        name: "no host",
        text: "GET /stock/twine HTTP/1.1\r\n\r\n",
        status_line: "HTTP/1.1 400",
        code: "bad_host",
    },
    Case {
        name: "two hosts",
        text: "GET /stock/twine HTTP/1.1\r\nhost: shop\r\nhost: other\r\n\r\n",
        status_line: "HTTP/1.1 400",
        code: "bad_host",
    },
    Case {
        name: "an old version",
        text: "GET /stock/twine HTTP/1.0\r\nhost: shop\r\n\r\n",
        status_line: "HTTP/1.0 400",
        code: "bad_version",
    },
    Case {
        name: "a tunnel",
        text: "CONNECT shop:80 HTTP/1.1\r\nhost: shop:80\r\n\r\n",
        status_line: "HTTP/1.1 400",
        code: "no_tunnels",
    },
];

fn send(fleet: &Fleet, text: &str) -> String {
    let mut tcp = TcpStream::connect(fleet.instances[0].caller_address).expect("a connection");
    tcp.set_read_timeout(Some(READ_TIMEOUT)).expect("a timeout");
    tcp.write_all(text.as_bytes()).expect("the request is sent");
    let mut response = Vec::new();
    let mut chunk = [0; 4_096];
    while !is_complete(&response) {
        match tcp.read(&mut chunk) {
            Ok(0) | Err(_) => break,
            Ok(count) => response.extend_from_slice(&chunk[..count]),
        }
    }
    String::from_utf8_lossy(&response).into_owned()
}

/// Returns whether a response has a body that ends with an object, as all of them do.
fn is_complete(response: &[u8]) -> bool {
    response.ends_with(b"}")
}

#[test]
fn requests_outside_their_route_are_refused_before_any_upstream() {
    let _guard = lock_fleet();
    let fleet = Fleet::start(FleetOptions::default()).expect("the fleet starts");
    let api_keys = fleet.apply_initial_ticket(1).expect("the initial ticket applies");
    let key = api_keys.authorized.as_str();
    let escaped = key.replacen('c', "%63", 1);
    for Case { name, text, status_line, code } in CASES {
        let response = send(&fleet, &text.replace("ESCAPED", &escaped).replace("KEY", key));
        assert!(response.starts_with(status_line), "{name}: {response}");
        assert!(response.contains(code), "{name}: {response}");
    }
}
