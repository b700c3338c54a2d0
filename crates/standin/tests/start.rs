//! The stand-ins refuse wrong arguments.

use std::process::Command;

#[test]
fn an_address_must_be_given() {
    for kind in ["platform", "engine", "service"] {
        let output = Command::new(env!("CARGO_BIN_EXE_cowslip-standin")).arg(kind).output();
        assert_eq!(output.expect("the program runs").status.code(), Some(2), "{kind}");
    }
}
