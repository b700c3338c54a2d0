//! Requests that go on while things are changed or lost, and whom an answer reaches.

mod common;

use common::{CHAT, chat, chat_body, no_engine_faults, turn};
use cowslip_harness::{Answer, Fleet, FleetOptions, Objects, ticket};
use cowslip_name::Name;
use cowslip_proto as proto;
use http::Method;

const STREAMS: usize = 6;
const TOKENS: u32 = 120;

/// What happens in the middle of the streams.
#[derive(Clone, Copy, Debug)]
enum Change {
    InstanceStops,
    EngineDies,
    EngineDrained,
    RoleChanged,
}

struct Case {
    name: &'static str,
    change: Change,
}

const CASES: &[Case] = &[
    Case { name: "an instance stops in order", change: Change::InstanceStops },
    Case { name: "an engine dies", change: Change::EngineDies },
    Case { name: "an engine is drained", change: Change::EngineDrained },
    Case { name: "an engine changes its role", change: Change::RoleChanged },
];

fn deployment(fleet: &Fleet, edit: impl FnOnce(&mut proto::Upstream)) -> proto::ObjectState {
    let mut upstreams = fleet.engine_rows();
    edit(&mut upstreams[0]);
    let name = Name::new("hay").expect("a name");
    proto::ObjectState::Deployment(proto::Deployment { name, upstreams, shares: Vec::new() })
}

fn make_change(fleet: &mut Fleet, change: Change) {
    match change {
        Change::InstanceStops => fleet.entries[0].process.signal(libc::SIGTERM),
        Change::EngineDies => fleet.engines[0].process.kill(),
        Change::EngineDrained => {
            let object = deployment(fleet, |upstream| upstream.drained = true);
            fleet.apply(1, &ticket(2, vec![object])).expect("an answer");
        }
        Change::RoleChanged => {
            let object = deployment(fleet, |upstream| upstream.role = proto::Role::Decode);
            fleet.apply(1, &ticket(2, vec![object])).expect("an answer");
        }
    }
}

/// Text of a streamed answer and whether it is whole.
fn read_stream(answer: &Answer) -> (String, bool) {
    let mut text = String::new();
    for line in answer.body.lines() {
        let Some(data) = line.strip_prefix("data: ") else { continue };
        let chunk: serde_json::Value = serde_json::from_str(data).unwrap_or_default();
        text.push_str(chunk["choices"][0]["delta"]["content"].as_str().unwrap_or_default());
    }
    (text, answer.body.ends_with("data: [DONE]\n\n"))
}

#[test]
fn no_stream_is_cut() {
    let _turn = turn();
    for case in CASES {
        let mut fleet = Fleet::start(FleetOptions::default()).expect("a fleet");
        let objects = fleet.configure(1).expect("a configuration");
        let bodies: Vec<String> =
            (0..STREAMS).map(|index| chat_body(&format!("s{index}"), true, TOKENS)).collect();
        let expected: Vec<String> =
            bodies.iter().map(|body| read_stream(&chat(&fleet, 1, &objects, body)).0).collect();
        let tokens_before = tokens(&fleet);
        let url = format!("http://{}{CHAT}", fleet.entries[0].caller);
        let bearer = format!("Bearer {}", objects.token);
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
            let wanted = tokens_before + 10 * STREAMS as u64;
            fleet.wait_until("streams to run", || tokens(&fleet) >= wanted).expect("streams");
            make_change(&mut fleet, case.change);
            for (sender, expected) in senders.into_iter().zip(&expected) {
                let answer = sender.join().expect("no panic").expect("a whole answer");
                let (text, is_whole) = read_stream(&answer);
                assert!(is_whole, "{}: {answer:?}", case.name);
                assert_eq!(text, *expected, "{}", case.name);
            }
        });
        after_change(&fleet, case.change, &objects);
    }
}

fn tokens(fleet: &Fleet) -> u64 {
    (0..fleet.engines.len())
        .filter_map(|index| fleet.engine_stats(index).ok())
        .map(|stats| stats.tokens)
        .sum()
}

fn after_change(fleet: &Fleet, change: Change, objects: &Objects) {
    let requests = || fleet.engine_stats(0).expect("stats").requests;
    match change {
        Change::InstanceStops => {}
        Change::EngineDies => assert!(fleet.entry_log(0).contains("E503"), "a stream resumed"),
        Change::EngineDrained => {
            let before = requests();
            for entry in [0, 1, 2, 0, 1, 2] {
                assert_eq!(chat(fleet, entry, objects, &chat_body("d", false, 2)).status, 200);
            }
            assert_eq!(requests(), before, "a drained engine gets no new work");
        }
        Change::RoleChanged => {
            for entry in 0..3 {
                assert!(
                    !fleet.entry_log(entry).contains("E503"),
                    "a planned change broke a stream"
                );
            }
            let role = |stats: proto::EngineStats| stats.orders.len() == 1;
            fleet
                .wait_until("the order", || fleet.engine_stats(0).is_ok_and(role))
                .expect("the role change");
        }
    }
}

#[test]
fn a_gone_caller_frees_its_engine() {
    let _turn = turn();
    let fleet = Fleet::start(FleetOptions { engines: 1, entries: 1, ..FleetOptions::default() })
        .expect("a fleet");
    let objects = fleet.configure(1).expect("a configuration");
    let body = chat_body("long", true, 4_000);
    let request = format!(
        "POST {CHAT} HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {}\r\ncontent-length: {}\r\n\r\n{body}",
        objects.token,
        body.len()
    );
    let mut caller = std::net::TcpStream::connect(fleet.entries[0].caller).expect("a connection");
    std::io::Write::write_all(&mut caller, request.as_bytes()).expect("sent");
    fleet.wait_until("the stream to run", || tokens(&fleet) > 5).expect("tokens");
    drop(caller);
    fleet
        .wait_until("the engine to be free", || {
            fleet.engine_stats(0).is_ok_and(|stats| stats.cancelled == 1)
                && fleet.status(0).is_ok_and(|status| status.upstreams[0].in_flight == 0)
        })
        .expect("a cancelled stream");
}

#[test]
fn keys_and_answers_stay_where_they_belong() {
    struct Case<'a> {
        name: &'static str,
        token: &'a str,
        content: &'a str,
        code: &'static str,
    }
    let _turn = turn();
    let fleet = Fleet::start(FleetOptions::default()).expect("a fleet");
    let objects = fleet.configure(1).expect("a configuration");
    let own_token = objects.token.clone();
    let cases = [
        Case {
            name: "another workspace",
            token: &objects.other_token,
            content: "x",
            code: "not_allowed",
        },
        Case {
            name: "wrong secret",
            token: "csk_co-op_wrong",
            content: "x",
            code: "invalid_api_key",
        },
        Case { name: "no such key", token: "csk_nobody_x", content: "x", code: "invalid_api_key" },
        Case { name: "no key at all", token: "", content: "x", code: "invalid_api_key" },
        Case {
            name: "key in the body",
            token: &own_token,
            content: &own_token,
            code: "key_in_request",
        },
        Case { name: "own key", token: &own_token, content: "x", code: "" },
    ];
    for case in cases {
        let bearer = format!("Bearer {}", case.token);
        let headers = [("authorization", bearer.as_str()), ("x-echo", own_token.as_str())];
        let body = chat_body(case.content, false, 2);
        let answer = fleet.call(0, &Method::POST, CHAT, &headers, &body).expect("an answer");
        assert_eq!(answer.code(), case.code, "{}: {answer:?}", case.name);
        assert!(!answer.body.contains(&own_token), "{}", case.name);
    }
    for engine in 0..2 {
        assert_eq!(fleet.engine_stats(engine).expect("stats").keys_seen, 0);
    }
    for entry in 0..3 {
        assert!(!fleet.entry_log(entry).contains("csk_"), "a key in the log");
        let url = format!("http://{}/audit", fleet.entries[entry].operator);
        let audit = cowslip_harness::request(&Method::GET, &url, &[], "").expect("the audit trail");
        assert!(!audit.body.contains("csk_") && !audit.body.contains("secret"), "{audit:?}");
    }
}

#[test]
fn a_crossed_answer_reaches_nobody() {
    let _turn = turn();
    let fleet = Fleet::start(FleetOptions::default()).expect("a fleet");
    let objects = fleet.configure(1).expect("a configuration");
    let body = chat_body("crossed", false, 4);
    let expected = chat(&fleet, 1, &objects, &body);
    for engine in &fleet.engines {
        let faults = proto::EngineFaults { cross_answers: 1, ..no_engine_faults() };
        fleet.set_faults(engine.address, &faults).expect("faults");
    }
    let answer = chat(&fleet, 0, &objects, &body);
    assert_eq!(answer.body, expected.body);
    assert!(fleet.entry_log(0).contains("E502"));
}

#[test]
fn a_poison_request_loses_a_bounded_number_of_engines() {
    const LIMIT: usize = 2;
    let _turn = turn();
    let mut options = FleetOptions { engines: 4, ..FleetOptions::default() };
    options.settings.push(("limits", "poison_limit", LIMIT.to_string()));
    let mut fleet = Fleet::start(options).expect("a fleet");
    let objects = fleet.configure(1).expect("a configuration");
    for engine in &fleet.engines {
        let faults = proto::EngineFaults { crash_on: "poison".to_owned(), ..no_engine_faults() };
        fleet.set_faults(engine.address, &faults).expect("faults");
    }
    for round in 0..9 {
        let entry = round % 3;
        let poison = chat(&fleet, entry, &objects, &chat_body("poison", false, 4));
        assert_eq!(poison.code(), "request_refused", "round {round}: {poison:?}");
        let good = chat(&fleet, entry, &objects, &chat_body("good", false, 4));
        assert_eq!(good.status, 200, "round {round}: {good:?}");
    }
    let lost: usize =
        fleet.engines.iter_mut().map(|engine| usize::from(engine.process.has_ended())).sum();
    assert_eq!(lost, LIMIT);
}
