//! Runs the `cowslip` program and checks its exit codes and output.

use std::path::PathBuf;
use std::process::{Command, Output};

/// Temporary folder in which the program runs.
struct TestFolder {
    folder: PathBuf,
}

impl TestFolder {
    fn new(test: &str) -> Self {
        let folder =
            std::env::temp_dir().join(format!("cowslip-cli-{test}-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a folder");
        Self { folder }
    }

    fn file(&self, name: &str, text: &str) -> String {
        let path = self.folder.join(name);
        std::fs::write(&path, text).expect("a file");
        path.display().to_string()
    }

    fn run(&self, args: &[&str]) -> Output {
        Command::new(env!("CARGO_BIN_EXE_cowslip"))
            .args(args)
            .current_dir(&self.folder)
            .output()
            .expect("the program runs")
    }
}

impl Drop for TestFolder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

struct Case {
    name: &'static str,
    file: &'static str,
    text: &'static str,
    code: i32,
    errors: &'static [&'static str],
}

const VALID_INI: &str = "[instance]\nname = e-0\nfailure_domain = uusimaa\nregion = uusimaa\n\
caller_address = 127.0.0.1:1\npeer_address = 127.0.0.1:2\noperator_address = 127.0.0.1:3\n\
[platform]\naddress = 127.0.0.1:4\n";

const CASES: &[Case] = &[
    Case { name: "valid settings", file: "a.ini", text: VALID_INI, code: 0, errors: &[] },
    Case {
        name: "several errors",
        file: "b.ini",
        text: "[instance]\nname = Bad Name\ncaler_address = x\n[authority]\nlease_ms = soon\n",
        code: 2,
        errors: &[
            "line 2: [instance] name",
            "line 3: [instance] caler_address: unknown key; did you mean [instance] caller_address?",
            "line 5: [authority] lease_ms: \"soon\" is not a whole number",
            "[platform] address: must be given",
        ],
    },
    Case {
        name: "duplicate section",
        file: "c.ini",
        text: "[limits]\nmax_connections = 1\n[limits]\nmax_connections = 2\n",
        code: 2,
        errors: &["[limits] max_connections: the key or its section is given twice"],
    },
    Case {
        name: "ticket with an unknown key",
        file: "d.json",
        text: "{\n\"number\": 1, \"auhtor\": \"a\"}",
        code: 2,
        errors: &["line 2", "unknown field `auhtor`"],
    },
    Case {
        name: "ticket with two errors",
        file: "e.json",
        text: r#"{"number":0,"author":"a","reason":"","objects":[]}"#,
        code: 2,
        errors: &["number: ticket numbers start at 1", "objects: touches no object"],
    },
    Case {
        name: "unknown file extension",
        file: "f.txt",
        text: "",
        code: 2,
        errors: &["neither .ini nor"],
    },
];

#[test]
fn check_lists_all_errors_of_a_file() {
    let folder = TestFolder::new("check");
    for case in CASES {
        let file = folder.file(case.file, case.text);
        let output = folder.run(&["check", &file]);
        let errors = String::from_utf8_lossy(&output.stderr);
        assert_eq!(output.status.code(), Some(case.code), "{}: {errors}", case.name);
        for expected in case.errors {
            assert!(errors.contains(expected), "{}: {errors}", case.name);
        }
    }
}

#[test]
fn error_is_printed_on_one_line() {
    let folder = TestFolder::new("line");
    let output = folder.run(&["status", "--instance", "127.0.0.1:1"]);
    let errors = String::from_utf8_lossy(&output.stderr);
    assert_eq!(output.status.code(), Some(1));
    assert_eq!(errors.lines().count(), 1, "{errors}");
    assert!(errors.starts_with("cowslip: cannot reach the instance"), "{errors}");
}

#[test]
fn object_of_new_key_does_not_contain_the_secret() {
    let folder = TestFolder::new("key");
    let output = folder.run(&["key", "co-op", "co-op"]);
    let text = String::from_utf8_lossy(&output.stdout);
    let token = text.lines().next().and_then(|line| line.split_whitespace().last());
    let secret = token.and_then(|token| token.rsplit('_').next()).expect("a token");
    let object = text.lines().nth(1).expect("an object");
    assert!(!object.contains(secret), "{object}");
}
