//! `cowslip-standin` refuses a command line without the required arguments.

use std::process::Command;

#[test]
fn every_stand_in_requires_an_address() {
    for command in ["platform", "engine", "service"] {
        let output = Command::new(env!("CARGO_BIN_EXE_cowslip-standin")).arg(command).output();
        assert_eq!(output.expect("the program runs").status.code(), Some(2), "{command}");
    }
}
