//! The `lab` command: compares queue orders by replaying a generated load in simulated time.
//!
//! The planner is the production one; workers, store and arrivals are simulated without faults. The
//! lab shows how a queue order affects users at a given load, not how the system handles failures.

pub mod credit;
pub mod fleet;
pub mod replay;
pub mod sheet;

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use lacewingrail_fleet::queue::QueueOrder;
use serde::Serialize;

use crate::lab::credit::CreditFigures;
use crate::lab::sheet::LoadSheet;
use crate::report::{self, PlotLine};

/// The queue orders that can be compared.
const ORDERS: [NamedOrder; 4] = [
    NamedOrder { name: "value", order: QueueOrder::Value },
    NamedOrder { name: "arrival", order: QueueOrder::Arrival },
    NamedOrder { name: "deadline", order: QueueOrder::Deadline },
    NamedOrder { name: "density", order: QueueOrder::Density },
];
/// The figure shown in the plot.
const PLOTTED_FIGURE: &str = "credit all";

/// Options of the `lab` command.
pub struct LabOptions {
    /// The path of the load sheet.
    pub sheet: PathBuf,
    /// The factors applied to the arrival rates of the sheet; each above 0.
    pub factors: Vec<f64>,
    /// The number of consecutive seeds.
    pub seeds: u64,
    /// The first seed.
    pub first_seed: u64,
    /// The names of the queue orders to compare.
    pub orders: Vec<String>,
    /// The time during which jobs arrive, in simulated seconds.
    pub seconds: u64,
    /// The number of replay threads; 0 counts as 1.
    pub max_parallel: usize,
    /// The directory for the results; created if missing.
    pub output_dir: PathBuf,
}

/// A queue order and its name on the command line.
#[derive(Clone, Copy, Debug, PartialEq)]
struct NamedOrder {
    name: &'static str,
    order: QueueOrder,
}

/// The parameters of one replay.
#[derive(Clone, Copy, Debug)]
struct LabCase {
    order: NamedOrder,
    factor: f64,
    seed: u64,
}

/// The mean figures of one queue order at one load factor.
#[derive(Clone, Debug, Serialize)]
struct LabResult {
    order: String,
    factor: f64,
    seeds: u64,
    first_seed: u64,
    figures: CreditFigures,
}

/// Replays the load under every selected queue order and writes tables, JSON and a plot.
///
/// Fails for an invalid factor, sheet or order name, or if the results can't be written.
pub fn run(options: &LabOptions) -> Result<(), String> {
    if let Some(factor) =
        options.factors.iter().find(|factor| !(factor.is_finite() && **factor > 0.0))
    {
        return Err(format!("invalid load factor {factor}; it must be finite and above 0"));
    }
    let sheet = LoadSheet::read(&options.sheet)?;
    let name = options.sheet.file_stem().map_or("load".into(), |stem| stem.to_string_lossy());
    let orders = options.orders.iter().map(|name| find_order(name));
    let orders = orders.collect::<Result<Vec<NamedOrder>, String>>()?;
    let mut cases = Vec::new();
    for factor in &options.factors {
        for seed in options.first_seed..options.first_seed + options.seeds {
            cases.extend(orders.iter().map(|order| LabCase {
                order: *order,
                factor: *factor,
                seed,
            }));
        }
    }
    let measured = replay_all(&sheet, &cases, options);
    let mut results = Vec::new();
    for factor in &options.factors {
        for order in &orders {
            let matching = |(case, _): &&(LabCase, CreditFigures)| {
                case.order == *order && case.factor == *factor
            };
            let figures: Vec<&CreditFigures> =
                measured.iter().filter(matching).map(|(_, figures)| figures).collect();
            results.push(LabResult {
                order: order.name.to_owned(),
                factor: *factor,
                seeds: options.seeds,
                first_seed: options.first_seed,
                figures: mean_figures(&figures),
            });
        }
    }
    let text = format_tables(&results, &options.factors);
    println!("{name}, seeds {} from {}\n\n{text}", options.seeds, options.first_seed);
    let path = |extension: &str| options.output_dir.join(format!("lab-{name}.{extension}"));
    report::write_json(&path("json"), &results)?;
    report::write_text(&path("md"), &text)?;
    plot_results(&path("svg"), &orders, &results)
}

/// Returns the queue order of a name; the error lists all names.
fn find_order(name: &str) -> Result<NamedOrder, String> {
    let order = ORDERS.iter().find(|order| order.name == name).copied();
    order.ok_or_else(|| {
        let names = ORDERS.map(|order| order.name).join(", ");
        format!("unknown order {name:?}; expected one of {names}")
    })
}

/// Replays all cases on the configured number of threads; returns the figures in the order of
/// `cases`.
fn replay_all(
    sheet: &LoadSheet,
    cases: &[LabCase],
    options: &LabOptions,
) -> Vec<(LabCase, CreditFigures)> {
    let (next_index, figures_by_case) = (AtomicUsize::new(0), Mutex::new(BTreeMap::new()));
    let replay_cases = || {
        loop {
            let index = next_index.fetch_add(1, Ordering::Relaxed);
            let Some(case) = cases.get(index) else {
                break;
            };
            let jobs =
                sheet.generate_jobs(case.factor, Duration::from_secs(options.seconds), case.seed);
            let record = replay::replay(sheet, &jobs, case.order.order);
            let figures = credit::measure(sheet, &jobs, &record);
            let mut figures_by_case =
                figures_by_case.lock().unwrap_or_else(PoisonError::into_inner);
            figures_by_case.insert(index, (*case, figures));
        }
    };
    std::thread::scope(|scope| {
        for _ in 0..options.max_parallel.max(1) {
            scope.spawn(replay_cases);
        }
    });
    // Results are keyed by case index, so that floating-point sums don't depend on the order in
    // which threads finish.
    let figures_by_case = figures_by_case.into_inner().unwrap_or_else(PoisonError::into_inner);
    figures_by_case.into_values().collect()
}

/// Returns the mean of each figure over the replays that have it.
fn mean_figures(figures: &[&CreditFigures]) -> CreditFigures {
    let mut sums: BTreeMap<String, (f64, f64)> = BTreeMap::new();
    for (name, value) in figures.iter().flat_map(|set| set.iter()) {
        let (sum, count) = sums.entry(name.clone()).or_default();
        *sum += value;
        *count += 1.0;
    }
    sums.into_iter().map(|(name, (sum, count))| (name, sum / count)).collect()
}

fn format_tables(results: &[LabResult], factors: &[f64]) -> String {
    let mut text = String::new();
    for factor in factors {
        let matching: Vec<&LabResult> =
            results.iter().filter(|result| result.factor == *factor).collect();
        let names = matching.first().map(|result| result.figures.keys()).into_iter().flatten();
        let row = |name: &String| {
            let values = matching.iter().map(|result| result.figures.get(name).copied());
            let values = values.map(|value| value.map_or("-".into(), report::format_number));
            std::iter::once(name.clone()).chain(values).collect::<Vec<String>>()
        };
        let header: Vec<&str> = std::iter::once("figure")
            .chain(matching.iter().map(|result| result.order.as_str()))
            .collect();
        let rows: Vec<Vec<String>> = names.map(row).collect();
        text += &format!("Load x {factor}\n\n{}\n", report::format_table(&header, &rows));
    }
    text
}

fn plot_results(path: &Path, orders: &[NamedOrder], results: &[LabResult]) -> Result<(), String> {
    let lines = orders.iter().map(|order| {
        let matching = results.iter().filter(|result| result.order == order.name);
        let value =
            |result: &LabResult| result.figures.get(PLOTTED_FIGURE).copied().unwrap_or_default();
        PlotLine {
            name: order.name.to_owned(),
            points: matching.map(|result| (result.factor, value(result))).collect(),
        }
    });
    report::plot_lines(
        path,
        "multiple of the load",
        PLOTTED_FIGURE,
        &lines.collect::<Vec<PlotLine>>(),
    )
}
