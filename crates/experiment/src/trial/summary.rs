//! Combines the figures of all seeds.

use std::collections::BTreeMap;

use serde::Serialize;

use crate::report::{format_number, format_table};
use crate::trial::figures::FigureSet;

/// The figures of one configuration over all seeds.
#[derive(Clone, Debug, Serialize)]
pub struct ConfigurationFigures {
    /// The name of the configuration, such as its placement policy.
    pub name: String,
    /// The figures of each seed.
    pub seeds: BTreeMap<u64, BTreeMap<String, f64>>,
    /// The mean and range of each figure over the seeds.
    pub figures: BTreeMap<String, SpreadFigure>,
}

/// The mean and range of a figure over all seeds that have it.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct SpreadFigure {
    /// The mean over the seeds.
    pub mean: f64,
    /// The smallest value over the seeds.
    pub least: f64,
    /// The largest value over the seeds.
    pub largest: f64,
}

impl ConfigurationFigures {
    /// Combines the figures of all seeds; samples are reduced to their median, 99th percentile and
    /// count.
    pub fn new(name: String, sets: BTreeMap<u64, FigureSet>) -> Self {
        let seeds: BTreeMap<u64, BTreeMap<String, f64>> =
            sets.into_iter().map(|(seed, set)| (seed, flatten_samples(set))).collect();
        let mut values: BTreeMap<String, Vec<f64>> = BTreeMap::new();
        for (figure, value) in seeds.values().flatten() {
            values.entry(figure.clone()).or_default().push(*value);
        }
        let combine = |values: &Vec<f64>| SpreadFigure {
            mean: values.iter().sum::<f64>() / values.len().max(1) as f64,
            least: values.iter().copied().fold(f64::INFINITY, f64::min),
            largest: values.iter().copied().fold(f64::NEG_INFINITY, f64::max),
        };
        let figures =
            values.iter().map(|(figure, values)| (figure.clone(), combine(values))).collect();
        Self { name, seeds, figures }
    }
}

/// Formats a Markdown table with one row per figure and one column per configuration.
pub fn summary_table(configurations: &[ConfigurationFigures]) -> String {
    let mut header = vec!["figure"];
    header.extend(configurations.iter().map(|configuration| configuration.name.as_str()));
    let mut names: Vec<&String> =
        configurations.iter().flat_map(|configuration| configuration.figures.keys()).collect();
    names.sort_unstable();
    names.dedup();
    let rows = names.into_iter().map(|name| {
        let cells =
            configurations.iter().map(|configuration| match configuration.figures.get(name) {
                Some(figure) => format!(
                    "{} ({}..{})",
                    format_number(figure.mean),
                    format_number(figure.least),
                    format_number(figure.largest)
                ),
                None => "-".to_owned(),
            });
        // The digits at the start of a name only sort the rows.
        let label = name.trim_start_matches(|letter: char| letter.is_ascii_digit()).trim_start();
        std::iter::once(label.to_owned()).chain(cells).collect()
    });
    format_table(&header, &rows.collect::<Vec<_>>())
}

/// Reduces the samples of each figure to `p50`, `p99` and `number`.
fn flatten_samples(set: FigureSet) -> BTreeMap<String, f64> {
    let mut values = set.values;
    for (name, mut samples) in set.samples {
        samples.sort_by(f64::total_cmp);
        values.insert(format!("{name}, p50"), quantile(&samples, 0.5));
        values.insert(format!("{name}, p99"), quantile(&samples, 0.99));
        values.insert(format!("{name}, number"), samples.len() as f64);
    }
    values
}

/// Returns the nearest-rank quantile of sorted values; 0 if there are none.
fn quantile(sorted: &[f64], share: f64) -> f64 {
    let rank = (sorted.len() as f64 * share).ceil() as usize;
    sorted.get(rank.saturating_sub(1)).copied().unwrap_or(0.0)
}
