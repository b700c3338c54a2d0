//! Routing, limits and fairness compared with simple policies, on a time-stepped engine model.

mod engine;
mod fairness;
mod limits;
mod routing;

use crate::cli::PolicyArgs;
use crate::markdown::print_table;

/// Runs all policy simulations and prints their tables.
pub(crate) fn run(args: &PolicyArgs) {
    for speeds in routing::ENGINE_SPEEDS {
        routing_table(args, *speeds);
    }
    for demand in limits::DEMANDS {
        limits_table(args, *demand);
    }
    fairness_table(args);
}

fn seeds(args: &PolicyArgs) -> impl Iterator<Item = u64> {
    args.seed..args.seed + args.runs
}

/// Returns the lowest, median and highest value.
fn min_median_max(mut values: Vec<f64>) -> [f64; 3] {
    values.sort_by(f64::total_cmp);
    [values[0], values[values.len() / 2], values[values.len() - 1]]
}

fn cells(values: Vec<f64>) -> Vec<String> {
    min_median_max(values).iter().map(|value| format!("{value:.3}")).collect()
}

fn routing_table(args: &PolicyArgs, speeds: routing::EngineSpeeds) {
    let rows: Vec<Vec<String>> = routing::POLICIES
        .iter()
        .map(|policy| {
            let runs: Vec<f64> =
                seeds(args).map(|seed| routing::goodput(*policy, speeds, seed)).collect();
            let mut row = vec![policy.title().to_owned()];
            row.extend(cells(runs));
            row
        })
        .collect();
    let columns = ["policy", "lowest", "median", "highest"];
    let title =
        format!("Fraction of requests within the SLO, alternating traffic, {}", speeds.title());
    print_table(&title, &columns, &rows);
}

fn limits_table(args: &PolicyArgs, demand: limits::Demand) {
    let rows: Vec<Vec<String>> = limits::POLICIES
        .iter()
        .map(|policy| {
            let runs: Vec<f64> =
                seeds(args).map(|seed| limits::goodput(*policy, demand, seed)).collect();
            let mut row = vec![policy.title.to_owned()];
            row.extend(cells(runs));
            row
        })
        .collect();
    let columns = ["policy", "lowest", "median", "highest"];
    let title = format!("Fraction of requests within the SLO, demand: {}", demand.title);
    print_table(&title, &columns, &rows);
}

fn fairness_table(args: &PolicyArgs) {
    let rows: Vec<Vec<String>> = fairness::POLICIES
        .iter()
        .map(|policy| {
            let runs: Vec<f64> =
                seeds(args).map(|seed| fairness::min_served_fraction(*policy, seed)).collect();
            let mut row = vec![policy.title().to_owned()];
            row.extend(cells(runs));
            row
        })
        .collect();
    let columns = ["policy", "lowest", "median", "highest"];
    print_table(
        "Worst-served workspace, fraction of its requests served while another floods",
        &columns,
        &rows,
    );
}
