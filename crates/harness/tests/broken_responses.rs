//! Responses without a length whose connection ends while the request is still being sent.

mod common;

use std::io::Read;
use std::net::{SocketAddr, TcpListener};

use common::{BOOKINGS, CHAT, chat_body, lock_fleet};
use cowslip_harness::{EarlyEnd, Fleet, FleetOptions, initial_ticket, upstream_config};
use cowslip_proto as proto;
use http::Method;

const UPLOAD_BYTES: usize = 3_500_000;
const RESPONSE: &[u8] = b"HTTP/1.1 200 OK\r\nx-framing: none\r\n\r\n{}";

/// Starts an upstream whose responses end early.
fn start_upstream() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    std::thread::spawn(move || {
        for mut tcp in listener.incoming().flatten() {
            let _ = tcp.read(&mut [0; 4_096]);
            // The instance may have closed the connection.
            let _ = EarlyEnd::EndThenReset.send(tcp, RESPONSE);
        }
    });
    address
}

#[test]
fn response_that_ends_before_its_request_is_sent_is_not_whole() {
    let _guard = lock_fleet();
    let mut options = FleetOptions { instances: 1, engines: 0, ..FleetOptions::default() };
    options.settings.push(("limits", "max_body_bytes", (2 * UPLOAD_BYTES).to_string()));
    let fleet = Fleet::start(options).expect("the fleet starts");
    let is_ready = || fleet.status(0).is_ok_and(|status| status.ready);
    fleet.wait_until("the instance to be ready", is_ready).expect("the instance is ready");
    let upstream =
        |name: &str| vec![upstream_config(name, start_upstream(), proto::Fencing::Ignored)];
    let (ticket, api_keys) = initial_ticket(1, upstream("engine-0"), upstream("shop-0"));
    let reply = fleet.submit_ticket(0, &ticket).expect("a reply");
    assert!(matches!(reply, proto::TicketReply::Accepted(_)), "{reply:?}");
    let bearer = format!("Bearer {}", api_keys.authorized);
    let headers = [("authorization", bearer.as_str())];
    let body = chat_body(&"a".repeat(UPLOAD_BYTES), false, 4);
    for path in [BOOKINGS, CHAT] {
        let response = fleet.send_request(0, &Method::POST, path, &headers, &body);
        let response = response.expect("a response");
        let error = &response.json()["error"];
        assert_eq!(error["outcome_unknown"], true, "{path}: {response:?}");
    }
}
