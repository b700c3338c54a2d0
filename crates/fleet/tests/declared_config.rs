//! Authorization of requests and the choice of services by a declared configuration.

use std::collections::HashMap;
use std::sync::Arc;

use cowslip_fleet::{DeclaredConfig, Denial, KeyOwner, RetrySafety, Route, ServiceShare};

fn route(host: &str, path_prefix: &str, is_open: bool) -> Arc<Route> {
    Arc::new(Route {
        name: Arc::from(path_prefix),
        host: Arc::from(host),
        path_prefix: Arc::from(path_prefix),
        retry_safety: RetrySafety::Idempotent,
        timeout_ms: 1_000,
        slo_ms: 300,
        priority: 2,
        shares: vec![
            ServiceShare { service: Arc::from("old"), weight: 90 },
            ServiceShare { service: Arc::from("new"), weight: 10 },
        ],
        max_attempts: 1,
        is_open,
    })
}

fn config() -> DeclaredConfig {
    let owner = |priority| KeyOwner { workspace: Arc::from("alpha"), priority };
    DeclaredConfig {
        version: 1,
        routes: vec![
            route("a.example", "/", false),
            route("a.example", "/deep/", false),
            route("a.example", "/open/", true),
            route("b.example", "/", false),
        ],
        keys: Some(HashMap::from([
            (Arc::from("k1"), owner(None)),
            (Arc::from("k2"), owner(Some(0))),
        ])),
        ..DeclaredConfig::default()
    }
}

#[test]
fn host_path_and_key_determine_authorization() {
    struct Case {
        host: &'static str,
        path: &'static str,
        key: Option<&'static str>,
        expected: Result<(&'static str, Option<&'static str>, u8), Denial>,
    }
    let alpha = Some("alpha");
    let cases = [
        Case { host: "a.example", path: "/x", key: Some("k1"), expected: Ok(("/", alpha, 2)) },
        Case { host: "A.Example", path: "/x", key: Some("k1"), expected: Ok(("/", alpha, 2)) },
        Case {
            host: "a.example",
            path: "/deep/x?y=/open/",
            key: Some("k2"),
            expected: Ok(("/deep/", alpha, 0)),
        },
        Case { host: "a.example", path: "/deep", key: Some("k1"), expected: Ok(("/", alpha, 2)) },
        Case { host: "a.example", path: "/open/x", key: None, expected: Ok(("/open/", None, 2)) },
        Case { host: "a.example", path: "/x", key: None, expected: Err(Denial::BadKey) },
        Case { host: "a.example", path: "/x", key: Some("k3"), expected: Err(Denial::BadKey) },
        Case { host: "c.example", path: "/x", key: Some("k1"), expected: Err(Denial::NoRoute) },
        Case {
            host: "a.example",
            path: "?/deep/",
            key: Some("k1"),
            expected: Err(Denial::NoRoute),
        },
    ];
    let config = config();
    for Case { host, path, key, expected } in cases {
        let authorized = config.authorize(host, path, key).map(|authorized| {
            (authorized.route.path_prefix.to_string(), authorized.workspace, authorized.priority)
        });
        let expected = expected.map(|(prefix, workspace, priority)| {
            (prefix.to_owned(), workspace.map(Arc::from), priority)
        });
        assert_eq!(authorized, expected, "{host}{path}");
    }
}

#[test]
fn no_key_is_required_if_none_is_declared() {
    let config = DeclaredConfig { keys: None, ..config() };
    assert!(config.authorize("a.example", "/x", None).is_ok());
}

#[test]
fn requests_are_split_by_service_weight() {
    let route = route("a.example", "/", false);
    let picks = |name: &str| {
        (0..1_000).filter(|random| &**route.pick_service(*random).unwrap() == name).count()
    };
    assert_eq!((picks("old"), picks("new")), (900, 100));
    let without_shares = Route { shares: Vec::new(), ..(*route).clone() };
    assert_eq!(without_shares.pick_service(3), None);
}
