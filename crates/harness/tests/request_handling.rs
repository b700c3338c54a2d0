//! Requests during planned changes and failures, checks of API keys, and delivery of responses.

mod common;

use common::{CHAT, chat, chat_body, lock_fleet, no_engine_faults};
use cowslip_harness::{Fleet, FleetOptions, HttpResponse, TestApiKeys, ticket};
use cowslip_name::Name;
use cowslip_proto as proto;
use http::Method;

const STREAMS: usize = 6;
const TOKENS: u32 = 120;

/// Planned change or failure while streams are in progress.
#[derive(Clone, Copy, Debug)]
enum Change {
    InstanceShutsDown,
    EngineKilled,
    EngineDrained,
    RoleChanged,
}

struct Case {
    name: &'static str,
    change: Change,
}

const CASES: &[Case] = &[
    Case { name: "an instance shuts down cleanly", change: Change::InstanceShutsDown },
    Case { name: "an engine is killed", change: Change::EngineKilled },
    Case { name: "an engine is drained", change: Change::EngineDrained },
    Case { name: "an engine changes its role", change: Change::RoleChanged },
];

fn deployment(fleet: &Fleet, edit: impl FnOnce(&mut proto::Upstream)) -> proto::ObjectState {
    let mut upstreams = fleet.engine_configs();
    edit(&mut upstreams[0]);
    let name = Name::new("hay").expect("a valid name");
    proto::ObjectState::Deployment(proto::Deployment { name, upstreams, shares: Vec::new() })
}

fn apply_change(fleet: &mut Fleet, change: Change) {
    match change {
        Change::InstanceShutsDown => fleet.instances[0].process.signal(libc::SIGTERM),
        Change::EngineKilled => fleet.engines[0].process.kill(),
        Change::EngineDrained => {
            let object = deployment(fleet, |upstream| upstream.drained = true);
            fleet.submit_ticket(1, &ticket(2, vec![object])).expect("a ticket reply");
        }
        Change::RoleChanged => {
            let object = deployment(fleet, |upstream| upstream.role = proto::Role::Decode);
            fleet.submit_ticket(1, &ticket(2, vec![object])).expect("a ticket reply");
        }
    }
}

/// Returns the text of a streamed response and whether its end marker arrived.
fn read_stream(response: &HttpResponse) -> (String, bool) {
    let mut text = String::new();
    for line in response.body.lines() {
        let Some(data) = line.strip_prefix("data: ") else { continue };
        let chunk: serde_json::Value = serde_json::from_str(data).unwrap_or_default();
        text.push_str(chunk["choices"][0]["delta"]["content"].as_str().unwrap_or_default());
    }
    (text, response.body.ends_with("data: [DONE]\n\n"))
}

#[test]
fn streams_complete_during_disruption() {
    let _guard = lock_fleet();
    for case in CASES {
        let mut fleet = Fleet::start(FleetOptions::default()).expect("the fleet starts");
        let api_keys = fleet.apply_initial_ticket(1).expect("the initial ticket applies");
        let bodies: Vec<String> =
            (0..STREAMS).map(|index| chat_body(&format!("s{index}"), true, TOKENS)).collect();
        let expected: Vec<String> =
            bodies.iter().map(|body| read_stream(&chat(&fleet, 1, &api_keys, body)).0).collect();
        let tokens_before = generated_tokens(&fleet);
        let url = format!("http://{}{CHAT}", fleet.instances[0].caller_address);
        let bearer = format!("Bearer {}", api_keys.authorized);
        std::thread::scope(|scope| {
            let senders: Vec<_> = bodies
                .iter()
                .map(|body| {
                    let (url, bearer) = (&url, &bearer);
                    scope.spawn(move || {
                        let headers = [("authorization", bearer.as_str())];
                        cowslip_harness::request(&Method::POST, url, &headers, body)
                    })
                })
                .collect();
            let min_tokens = tokens_before + 10 * STREAMS as u64;
            fleet
                .wait_until("the streams to produce tokens", || {
                    generated_tokens(&fleet) >= min_tokens
                })
                .expect("the streams produce tokens");
            apply_change(&mut fleet, case.change);
            for (sender, expected) in senders.into_iter().zip(&expected) {
                let response =
                    sender.join().expect("the sender does not panic").expect("a complete response");
                let (text, is_complete) = read_stream(&response);
                assert!(is_complete, "{}: {response:?}", case.name);
                assert_eq!(text, *expected, "{}", case.name);
            }
        });
        check_after_change(&fleet, case.change, &api_keys);
    }
}

fn generated_tokens(fleet: &Fleet) -> u64 {
    (0..fleet.engines.len())
        .filter_map(|index| fleet.engine_stats(index).ok())
        .map(|stats| stats.tokens)
        .sum()
}

fn check_after_change(fleet: &Fleet, change: Change, api_keys: &TestApiKeys) {
    let requests = || fleet.engine_stats(0).expect("engine counters").requests;
    match change {
        Change::InstanceShutsDown => {}
        Change::EngineKilled => assert!(
            fleet.instance_log(0).contains("E503"),
            "no stream resumed after the engine was killed"
        ),
        Change::EngineDrained => {
            let requests_before = requests();
            for instance in [0, 1, 2, 0, 1, 2] {
                assert_eq!(chat(fleet, instance, api_keys, &chat_body("d", false, 2)).status, 200);
            }
            assert_eq!(requests(), requests_before, "a drained engine received new requests");
        }
        Change::RoleChanged => {
            for instance in 0..3 {
                assert!(
                    !fleet.instance_log(instance).contains("E503"),
                    "a planned role change interrupted a stream"
                );
            }
            let has_one_order = |stats: proto::EngineStats| stats.orders.len() == 1;
            fleet
                .wait_until("the engine to apply the order", || {
                    fleet.engine_stats(0).is_ok_and(has_one_order)
                })
                .expect("the engine changes its role");
        }
    }
}

#[test]
fn client_disconnect_cancels_engine_stream() {
    let _guard = lock_fleet();
    let fleet = Fleet::start(FleetOptions { engines: 1, instances: 1, ..FleetOptions::default() })
        .expect("the fleet starts");
    let api_keys = fleet.apply_initial_ticket(1).expect("the initial ticket applies");
    let body = chat_body("long", true, 4_000);
    let request = format!(
        "POST {CHAT} HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {}\r\ncontent-length: {}\r\n\r\n{body}",
        api_keys.authorized,
        body.len()
    );
    let mut caller = std::net::TcpStream::connect(fleet.instances[0].caller_address)
        .expect("the instance accepts the connection");
    std::io::Write::write_all(&mut caller, request.as_bytes()).expect("the request is sent");
    fleet
        .wait_until("the stream to produce tokens", || generated_tokens(&fleet) > 5)
        .expect("the stream produces tokens");
    drop(caller);
    fleet
        .wait_until("the engine stream to be cancelled", || {
            fleet.engine_stats(0).is_ok_and(|stats| stats.cancelled == 1)
                && fleet.status(0).is_ok_and(|status| status.upstreams[0].in_flight == 0)
        })
        .expect("the engine cancels the stream");
}

#[test]
fn api_keys_are_checked_and_not_leaked() {
    struct Case<'a> {
        name: &'static str,
        api_key: &'a str,
        content: &'a str,
        code: &'static str,
    }
    let _guard = lock_fleet();
    let fleet = Fleet::start(FleetOptions::default()).expect("the fleet starts");
    let api_keys = fleet.apply_initial_ticket(1).expect("the initial ticket applies");
    let valid_key = api_keys.authorized.clone();
    let cases = [
        Case {
            name: "key of a workspace without access",
            api_key: &api_keys.unauthorized,
            content: "x",
            code: "not_allowed",
        },
        Case {
            name: "wrong secret",
            api_key: "csk_co-op_wrong",
            content: "x",
            code: "invalid_api_key",
        },
        Case {
            name: "unknown key",
            api_key: "csk_nobody_x",
            content: "x",
            code: "invalid_api_key",
        },
        Case { name: "no key", api_key: "", content: "x", code: "invalid_api_key" },
        Case {
            name: "key in the body",
            api_key: &valid_key,
            content: &valid_key,
            code: "key_in_request",
        },
        Case { name: "valid key", api_key: &valid_key, content: "x", code: "" },
    ];
    for case in cases {
        let bearer = format!("Bearer {}", case.api_key);
        let headers = [("authorization", bearer.as_str()), ("x-echo", valid_key.as_str())];
        let body = chat_body(case.content, false, 2);
        let response =
            fleet.send_request(0, &Method::POST, CHAT, &headers, &body).expect("a response");
        assert_eq!(response.code(), case.code, "{}: {response:?}", case.name);
        assert!(!response.body.contains(&valid_key), "{}", case.name);
    }
    for engine in 0..2 {
        assert_eq!(fleet.engine_stats(engine).expect("engine counters").keys_seen, 0);
    }
    for instance in 0..3 {
        assert!(!fleet.instance_log(instance).contains("csk_"), "the log holds an API key");
        let url = format!("http://{}/audit", fleet.instances[instance].operator_address);
        let audit = cowslip_harness::request(&Method::GET, &url, &[], "")
            .expect("the audit trail is readable");
        assert!(!audit.body.contains("csk_") && !audit.body.contains("secret"), "{audit:?}");
    }
}

#[test]
fn response_with_another_call_id_is_not_delivered() {
    let _guard = lock_fleet();
    let fleet = Fleet::start(FleetOptions::default()).expect("the fleet starts");
    let api_keys = fleet.apply_initial_ticket(1).expect("the initial ticket applies");
    let body = chat_body("crossed", false, 4);
    let expected = chat(&fleet, 1, &api_keys, &body);
    for engine in &fleet.engines {
        let faults = proto::EngineFaults { cross_answers: 1, ..no_engine_faults() };
        fleet.set_faults(engine.address, &faults).expect("a reply");
    }
    let response = chat(&fleet, 0, &api_keys, &body);
    assert_eq!(response.body, expected.body);
    assert!(fleet.instance_log(0).contains("E502"));
}

#[test]
fn poison_request_is_refused_after_poison_limit_crashes() {
    const POISON_LIMIT: usize = 2;
    let _guard = lock_fleet();
    let mut options = FleetOptions { engines: 4, ..FleetOptions::default() };
    options.settings.push(("limits", "poison_limit", POISON_LIMIT.to_string()));
    let mut fleet = Fleet::start(options).expect("the fleet starts");
    let api_keys = fleet.apply_initial_ticket(1).expect("the initial ticket applies");
    for engine in &fleet.engines {
        let faults = proto::EngineFaults { crash_on: "poison".to_owned(), ..no_engine_faults() };
        fleet.set_faults(engine.address, &faults).expect("a reply");
    }
    for round in 0..9 {
        let instance = round % 3;
        let poison = chat(&fleet, instance, &api_keys, &chat_body("poison", false, 4));
        assert_eq!(poison.code(), "request_refused", "round {round}: {poison:?}");
        let normal = chat(&fleet, instance, &api_keys, &chat_body("good", false, 4));
        assert_eq!(normal.status, 200, "round {round}: {normal:?}");
    }
    let crashed: usize =
        fleet.engines.iter_mut().map(|engine| usize::from(engine.process.has_exited())).sum();
    assert_eq!(crashed, POISON_LIMIT);
}

/// Crashes of engines that returned under their names were counted once, so a fleet of two engines was
/// crashed without end.
#[test]
fn poison_request_is_refused_although_its_engines_return_under_their_names() {
    const POISON_LIMIT: usize = 3;
    let _guard = lock_fleet();
    let mut fleet = Fleet::start(FleetOptions::default()).expect("the fleet starts");
    let api_keys = fleet.apply_initial_ticket(1).expect("the initial ticket applies");
    let faults = proto::EngineFaults { crash_on: "poison".to_owned(), ..no_engine_faults() };
    for engine in &fleet.engines {
        fleet.set_faults(engine.address, &faults).expect("a reply");
    }
    let url = format!("http://{}{CHAT}", fleet.instances[0].caller_address);
    let bearer = format!("Bearer {}", api_keys.authorized);
    let mut crashes = 0;
    std::thread::scope(|scope| {
        let sender = scope.spawn(|| {
            let headers = [("authorization", bearer.as_str())];
            let body = chat_body("poison", false, 4);
            // The retry budget may end an attempt before the limit is reached.
            let mut codes = (0..10).map(|_| {
                let response = cowslip_harness::request(&Method::POST, &url, &headers, &body);
                std::thread::sleep(std::time::Duration::from_millis(300));
                response.expect("a response").code()
            });
            codes.any(|code| code == "request_refused")
        });
        while !sender.is_finished() && crashes <= POISON_LIMIT {
            for index in 0..fleet.engines.len() {
                if fleet.engines[index].process.has_exited() {
                    crashes += 1;
                    fleet.restart_engine(index).expect("the engine starts");
                    fleet.set_faults(fleet.engines[index].address, &faults).expect("a reply");
                }
            }
            std::thread::sleep(std::time::Duration::from_millis(20));
        }
        assert_eq!(crashes, POISON_LIMIT);
        assert!(sender.join().expect("the sender does not panic"), "the request is refused");
    });
}

/// Requests in flight at the end of the grace were cut off without a response.
#[test]
fn requests_in_flight_at_the_end_of_the_grace_get_final_responses() {
    const GRACE_MS: u64 = 500;
    let _guard = lock_fleet();
    let mut options = FleetOptions::default();
    options.settings.push(("limits", "shutdown_grace_ms", GRACE_MS.to_string()));
    options.engine_args = ["--step-ms", "200"].map(str::to_owned).to_vec();
    let fleet = Fleet::start(options).expect("the fleet starts");
    let api_keys = fleet.apply_initial_ticket(1).expect("the initial ticket applies");
    let [buffered, streamed] =
        [false, true].map(|is_streamed| chat_body("long", is_streamed, 1_000));
    let tokens_before = generated_tokens(&fleet);
    std::thread::scope(|scope| {
        let pending =
            [&buffered, &streamed].map(|body| scope.spawn(|| chat(&fleet, 0, &api_keys, body)));
        fleet
            .wait_until("the requests to run", || generated_tokens(&fleet) >= tokens_before + 2)
            .expect("the requests run");
        fleet.instances[0].process.signal(libc::SIGTERM);
        let [buffered, streamed] =
            pending.map(|sender| sender.join().expect("a complete response"));
        assert_eq!((buffered.status, buffered.code().as_str()), (502, "outcome_unknown"));
        assert!(
            streamed.body.contains("event: error") && streamed.body.contains("outcome_unknown")
        );
    });
}
