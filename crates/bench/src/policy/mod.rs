//! Routing and fairness against naive ways, on a time-stepped model of engines.

mod engine;
mod fairness;
mod limits;
mod routing;

use crate::cli::PolicyArgs;
use crate::output::table;

/// Prints all tables.
pub(crate) fn run(args: &PolicyArgs) {
    for fleet in routing::FLEETS {
        routing_table(args, *fleet);
    }
    for demand in limits::DEMANDS {
        limits_table(args, *demand);
    }
    fairness_table(args);
}

fn seeds(args: &PolicyArgs) -> impl Iterator<Item = u64> {
    args.seed..args.seed + args.runs
}

/// Lowest, median and highest of some figures.
fn spread(mut figures: Vec<f64>) -> [f64; 3] {
    figures.sort_by(f64::total_cmp);
    [figures[0], figures[figures.len() / 2], figures[figures.len() - 1]]
}

fn cells(figures: Vec<f64>) -> Vec<String> {
    spread(figures).iter().map(|figure| format!("{figure:.3}")).collect()
}

fn routing_table(args: &PolicyArgs, fleet: routing::Fleet) {
    let rows: Vec<Vec<String>> = routing::WAYS
        .iter()
        .map(|way| {
            let runs: Vec<f64> =
                seeds(args).map(|seed| routing::goodput(*way, fleet, seed)).collect();
            let mut row = vec![way.title().to_owned()];
            row.extend(cells(runs));
            row
        })
        .collect();
    let columns = ["way", "lowest", "median", "highest"];
    let title = format!("Part of answers in time, through a swinging mix, {}", fleet.title());
    table(&title, &columns, &rows);
}

fn limits_table(args: &PolicyArgs, demand: limits::Demand) {
    let rows: Vec<Vec<String>> = limits::WAYS
        .iter()
        .map(|way| {
            let runs: Vec<f64> =
                seeds(args).map(|seed| limits::goodput(*way, demand, seed)).collect();
            let mut row = vec![way.title.to_owned()];
            row.extend(cells(runs));
            row
        })
        .collect();
    let columns = ["way", "lowest", "median", "highest"];
    let title = format!("Part of requests answered in time, demand: {}", demand.title);
    table(&title, &columns, &rows);
}

fn fairness_table(args: &PolicyArgs) {
    let rows: Vec<Vec<String>> = fairness::WAYS
        .iter()
        .map(|way| {
            let runs: Vec<f64> =
                seeds(args).map(|seed| fairness::worst_share(*way, seed)).collect();
            let mut row = vec![way.title().to_owned()];
            row.extend(cells(runs));
            row
        })
        .collect();
    let columns = ["way", "lowest", "median", "highest"];
    table(
        "Worst-served workspace, part of what it may expect, while another floods",
        &columns,
        &rows,
    );
}
