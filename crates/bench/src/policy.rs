//! Routing and fairness against naive ways, on a time-stepped model of engines.
use crate::cli::PolicyArgs;

pub(crate) fn run(_args: &PolicyArgs) {}
