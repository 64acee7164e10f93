//! Figures over all seeds.

use std::collections::BTreeMap;

use serde::Serialize;

use crate::report::{format_number, format_table};
use crate::trial::figures::FigureSet;

/// Holds the figures of one configuration over all seeds.
#[derive(Clone, Debug, Serialize)]
pub struct ConfigurationFigures {
    /// Name, such as the placement policy.
    pub name: String,
    /// Figures by seed.
    pub seeds: BTreeMap<u64, BTreeMap<String, f64>>,
    /// Mean and spread over the seeds.
    pub figures: BTreeMap<String, SpreadFigure>,
}

/// Holds one figure over all seeds.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct SpreadFigure {
    /// Mean over the seeds.
    pub mean: f64,
    /// Smallest value of a seed.
    pub least: f64,
    /// Largest value of a seed.
    pub largest: f64,
}

impl ConfigurationFigures {
    /// Combines the figures of all seeds; of samples, the median, the 99th percentile and the number.
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

/// Formats a table with one column for each configuration.
pub fn summary_table(configurations: &[ConfigurationFigures]) -> String {
    let mut header = vec!["figure"];
    header.extend(configurations.iter().map(|configuration| configuration.name.as_str()));
    let mut names: Vec<&String> =
        configurations.iter().flat_map(|entry| entry.figures.keys()).collect();
    names.sort_unstable();
    names.dedup();
    let rows = names.into_iter().map(|name| {
        let cells = configurations.iter().map(|entry| match entry.figures.get(name) {
            Some(figure) => format!(
                "{} ({}..{})",
                format_number(figure.mean),
                format_number(figure.least),
                format_number(figure.largest)
            ),
            None => "-".to_owned(),
        });
        let label = name.trim_start_matches(|letter: char| letter.is_ascii_digit()).trim_start();
        std::iter::once(label.to_owned()).chain(cells).collect()
    });
    format_table(&header, &rows.collect::<Vec<_>>())
}

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

/// Returns the smallest value that a share of the sorted values does not exceed.
fn quantile(sorted: &[f64], share: f64) -> f64 {
    let rank = (sorted.len() as f64 * share).ceil() as usize;
    sorted.get(rank.saturating_sub(1)).copied().unwrap_or(0.0)
}
