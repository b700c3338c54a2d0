//! Checks of paths, heads and exposed keys.

use cowslip_ingress::{Defect, check_head, check_path, exposes_key};
use http::{HeaderMap, HeaderValue, Method, Request, Version};
use proptest::prelude::*;

#[test]
fn only_paths_in_normal_form_are_accepted() {
    struct Case {
        path: &'static str,
        is_accepted: bool,
    }
    let accepted = |path| Case { path, is_accepted: true };
    let refused = |path| Case { path, is_accepted: false };
    let cases = [
        accepted("/"),
        accepted("/stock/"),
        accepted("/stock/a.b/..c/..."),
        accepted("/stock/%C3%A4/a%20b"),
        accepted("/stock/a;v=1"),
        refused(""),
        refused("stock"),
        refused("//stock"),
        refused("/stock//a"),
        refused("/stock/../bookings"),
        refused("/stock/./a"),
        refused("/stock/.."),
        refused("/stock/%2e%2E/bookings"),
        refused("/stock/.%2e/bookings"),
        refused("/stock/%2e"),
        refused("/stock/..;/bookings"),
        refused("/stock/..%3Bv/bookings"),
        refused("/stock/..%2fbookings"),
        refused("/stock/a%2Fb"),
        refused("/stock/a%5cb"),
        refused("/stock/a\\b"),
        refused("/stock/%252e%252e/bookings"),
        refused("/stock/a%252fb"),
        refused("/stock/%00"),
        refused("/stock/%0d%0a"),
        refused("/stock/%c0%ae%c0%ae/bookings"),
        refused("/stock/%e"),
        refused("/stock/%zz"),
        refused("/stock/%"),
        refused("/stock/;a"),
    ];
    for Case { path, is_accepted } in cases {
        assert_eq!(check_path(path).is_ok(), is_accepted, "{path}");
    }
}

proptest! {
    /// A server that decodes escapes up to twice, in any order with resolving dots, ends at the path
    /// that was accepted.
    #[test]
    fn resolving_an_accepted_path_changes_nothing(path in "(/|\\.|%2e|%2F|%25|%5c|\\\\|;|a|%61){0,12}") {
        let path = format!("/{path}");
        if check_path(&path).is_ok() {
            let decode = |text: &str| percent_encoding_of(text);
            let once = decode(&path);
            for text in [path.clone(), once.clone(), decode(&once)] {
                let text = text.replace('\\', "/");
                prop_assert_eq!(&resolve_dots(&text), &text, "{}", path);
                prop_assert_eq!(text.matches('/').count(), path.matches('/').count(), "{}", path);
            }
        }
    }
}

/// Decodes escapes one at a time.
fn percent_encoding_of(text: &str) -> String {
    let mut decoded = String::new();
    let mut rest = text;
    while let Some(character) = rest.chars().next() {
        let digits = rest.strip_prefix('%').and_then(|digits| digits.get(..2));
        if let Some(code) = digits.and_then(|digits| u8::from_str_radix(digits, 16).ok()) {
            decoded.push(char::from(code));
            rest = &rest[3..];
        } else {
            decoded.push(character);
            rest = &rest[character.len_utf8()..];
        }
    }
    decoded
}

/// Resolves dots and repeated slashes as servers do.
fn resolve_dots(path: &str) -> String {
    let mut segments: Vec<&str> = Vec::new();
    let ends_with_slash = path.ends_with('/') || path.ends_with("/.") || path.ends_with("/..");
    for segment in path.split('/') {
        match segment.split(';').next().unwrap_or_default() {
            "" | "." => {}
            ".." => drop(segments.pop()),
            _ => segments.push(segment),
        }
    }
    let end = if ends_with_slash && !segments.is_empty() { "/" } else { "" };
    format!("/{}{end}", segments.join("/"))
}

#[test]
fn ambiguous_heads_are_refused() {
    struct Case {
        name: &'static str,
        method: Method,
        version: Version,
        target: &'static str,
        headers: &'static [(&'static str, &'static str)],
        defect: Option<Defect>,
    }
    const PLAIN: Case = Case {
        name: "a plain request",
        method: Method::POST,
        version: Version::HTTP_11,
        target: "/stock/a?b=../c",
        headers: &[("host", "shop.example"), ("authorization", "Bearer k")],
        defect: None,
    };
    let cases = [
        PLAIN,
        Case { name: "no host", headers: &[], defect: Some(Defect::Host), ..PLAIN },
        Case {
            name: "two hosts",
            headers: &[("host", "shop.example"), ("host", "shop.example")],
            defect: Some(Defect::Host),
            ..PLAIN
        },
        Case {
            name: "an absolute target at the same host",
            target: "http://shop.example/stock/a",
            ..PLAIN
        },
        Case {
            name: "an absolute target at another host",
            target: "http://other.example/stock/a",
            defect: Some(Defect::Host),
            ..PLAIN
        },
        Case {
            name: "two keys",
            headers: &[
                ("host", "shop.example"),
                ("authorization", "Bearer a"),
                ("authorization", "Bearer b"),
            ],
            defect: Some(Defect::Authorization),
            ..PLAIN
        },
        Case {
            name: "a tunnel",
            method: Method::CONNECT,
            target: "shop.example:443",
            defect: Some(Defect::Tunnel),
            ..PLAIN
        },
        Case {
            name: "an old version",
            version: Version::HTTP_10,
            defect: Some(Defect::Version),
            ..PLAIN
        },
        Case { name: "dots", target: "/stock/../b", defect: Some(Defect::Path), ..PLAIN },
        Case { name: "no path", target: "*", defect: Some(Defect::Path), ..PLAIN },
    ];
    for Case { name, method, version, target, headers, defect } in cases {
        let mut request = Request::builder().method(method).version(version).uri(target);
        for (header, value) in headers {
            request = request.header(*header, *value);
        }
        let (parts, ()) = request.body(()).expect("a request").into_parts();
        assert_eq!(check_head(&parts).err(), defect, "{name}");
    }
}

#[test]
fn exposed_keys_are_found_however_they_are_escaped() {
    struct Case {
        name: &'static str,
        target: &'static str,
        header: &'static str,
        body: &'static str,
        is_exposed: bool,
    }
    const NONE: Case = Case {
        name: "nowhere",
        target: "/a?b=%20",
        header: "text",
        body: r#"{"a":"\n\u0041 100%"}"#,
        is_exposed: false,
    };
    let cases = [
        NONE,
        Case { name: "in the path", target: "/csk_a_12345/b", is_exposed: true, ..NONE },
        Case { name: "in the query", target: "/a?k=csk_a_12345", is_exposed: true, ..NONE },
        Case {
            name: "one character escaped",
            target: "/a?k=cs%6B_a_12345",
            is_exposed: true,
            ..NONE
        },
        Case { name: "in a header", header: "k=csk_a_12345", is_exposed: true, ..NONE },
        Case { name: "escaped in a header", header: "csk%5fa_12345", is_exposed: true, ..NONE },
        Case { name: "in the body", body: "xcsk_a_12345x", is_exposed: true, ..NONE },
        Case {
            name: "as a JSON escape",
            body: r#"{"k":"cs\u006b_a_12345"}"#,
            is_exposed: true,
            ..NONE
        },
        Case { name: "as a form field", body: "k=%63sk_a_12345", is_exposed: true, ..NONE },
    ];
    for Case { name, target, header, body, is_exposed } in cases {
        let mut headers = HeaderMap::new();
        headers.insert("authorization", HeaderValue::from_static("Bearer csk_a_12345"));
        headers.insert("x-text", HeaderValue::from_static(header));
        let target = target.parse().expect("a target");
        assert_eq!(
            exposes_key("csk_a_12345", &target, &headers, body.as_bytes()),
            is_exposed,
            "{name}"
        );
    }
}

#[test]
fn short_keys_are_found_unless_they_occur_in_ordinary_text() {
    struct Case {
        key: &'static str,
        is_exposed: bool,
    }
    let cases = [
        Case { key: "csk_a_1", is_exposed: true },
        // The shortest key that `cowslip-entry` accepts.
        Case { key: "csk_a_", is_exposed: true },
        Case { key: "a", is_exposed: false },
        Case { key: "", is_exposed: false },
    ];
    for Case { key, is_exposed } in cases {
        let target = "/a".parse().expect("a target");
        let headers = HeaderMap::new();
        assert_eq!(exposes_key(key, &target, &headers, b"a csk_a_1"), is_exposed, "{key:?}");
    }
}
