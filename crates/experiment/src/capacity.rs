//! The `capacity` command: measures how the cost of each role grows with its size, for
//! docs/CAPACITY.md.
//!
//! Each quantity is measured at five or more sizes. A line fitted to all sizes but the largest
//! predicts the largest, and the prediction error shows how far the line can be extrapolated.
//!
//! The target size is 890 workers with 1,700 accelerators and 8,200 tasks in 7 failure domains, 180
//! customers and about 232 processes.

mod bursts;
mod entry;
mod membership;
mod placement;
mod scheduler;
mod settings;

use std::path::PathBuf;
use std::time::Duration;

use serde::Serialize;

use crate::linear_fit::{LineFit, MeasuredSeries};
use crate::report::{format_number, format_table, plot_series, write_json, write_text};

/// Options of the `capacity` command.
#[derive(Clone, Debug)]
pub struct CapacityOptions {
    /// The directory for JSON, tables and plots; created if missing.
    pub output_dir: PathBuf,
    /// The name of the only measurement to run; `None` runs all.
    pub only: Option<String>,
    /// The measuring time of each point in seconds; 0 counts as 1.
    pub point_seconds: u64,
}

/// The results of one measurement.
#[derive(Clone, Debug, Default, Serialize)]
pub struct CapacityResult {
    /// The measured series; those with at least five points get a fitted line.
    pub series: Vec<MeasuredSeries>,
    /// The figures that are measured at one size only.
    pub figures: Vec<CapacityFigure>,
}

/// A single measured figure.
#[derive(Clone, Debug, Serialize)]
pub struct CapacityFigure {
    /// The measured quantity.
    pub name: String,
    /// The measured value, in `unit`.
    pub value: f64,
    /// The unit of the value.
    pub unit: String,
}

/// A series and its fitted line in the JSON results; the line is `null` for fewer than five points.
#[derive(Serialize)]
struct SeriesRecord<'a> {
    series: &'a MeasuredSeries,
    fit: Option<LineFit>,
}

impl CapacityOptions {
    /// Returns the measuring time of each point.
    pub fn point_duration(&self) -> Duration {
        Duration::from_secs(self.point_seconds.max(1))
    }

    /// Returns whether the options select a measurement.
    fn includes(&self, name: &str) -> bool {
        self.only.as_deref().is_none_or(|only| only == name)
    }
}

impl CapacityResult {
    /// Adds and prints a figure.
    pub fn add_figure(&mut self, name: &str, value: f64, unit: &str) {
        println!("  {name}: {} {unit}", format_number(value));
        let (name, unit) = (name.to_owned(), unit.to_owned());
        self.figures.push(CapacityFigure { name, value, unit });
    }
}

/// Runs the selected measurements and writes the results.
///
/// Fails for an unknown measurement name, a failed measurement or an unwritable result.
pub async fn run(options: &CapacityOptions) -> Result<(), String> {
    let names = ["settings", "placement", "membership", "entry", "scheduler", "bursts"];
    if let Some(only) = &options.only
        && !names.contains(&only.as_str())
    {
        return Err(format!("unknown measurement {only:?}; expected one of {}", names.join(", ")));
    }
    for name in names.iter().filter(|name| options.includes(name)) {
        println!("measuring: {name}");
        let result = match *name {
            "settings" => settings::measure()?,
            "placement" => placement::measure(),
            "membership" => membership::measure(options).await?,
            "entry" => entry::measure(options).await?,
            "scheduler" => scheduler::measure(options).await?,
            _ => bursts::measure(options).await?,
        };
        write_result(options, name, &result)?;
    }
    Ok(())
}

fn write_result(
    options: &CapacityOptions,
    name: &str,
    result: &CapacityResult,
) -> Result<(), String> {
    let records: Vec<SeriesRecord<'_>> =
        result.series.iter().map(|series| SeriesRecord { series, fit: series.fit() }).collect();
    let json = serde_json::json!({ "series": records, "figures": result.figures });
    write_json(&options.output_dir.join(format!("{name}.json")), &json)?;
    let text = format_result(result);
    println!("{text}");
    write_text(&options.output_dir.join(format!("{name}.md")), &text)?;
    for series in &result.series {
        let file_stem: String = series.name.chars().map(to_file_character).collect();
        plot_series(&options.output_dir.join(format!("{file_stem}.svg")), series)?;
    }
    Ok(())
}

fn format_result(result: &CapacityResult) -> String {
    let mut text = String::new();
    if !result.series.is_empty() {
        let rows: Vec<Vec<String>> = result.series.iter().map(series_row).collect();
        let header = [
            "quantity",
            "unit",
            "slope",
            "per",
            "base",
            "spread",
            "check at",
            "predicted",
            "measured",
            "error",
        ];
        text.push_str(&format_table(&header, &rows));
    }
    if !result.figures.is_empty() {
        let row = |figure: &CapacityFigure| {
            vec![figure.name.clone(), format_number(figure.value), figure.unit.clone()]
        };
        let rows: Vec<Vec<String>> = result.figures.iter().map(row).collect();
        text.push('\n');
        text.push_str(&format_table(&["figure", "value", "unit"], &rows));
    }
    text
}

/// Returns the table row of a series.
fn series_row(series: &MeasuredSeries) -> Vec<String> {
    let mut row = vec![series.name.clone(), series.unit.clone()];
    let Some(fit) = series.fit() else {
        row.extend(vec!["too few points".to_owned(); 8]);
        return row;
    };
    row.extend([
        format_number(fit.slope),
        series.size_unit.clone(),
        format_number(fit.base),
        format_number(fit.spread),
        format_number(fit.check_size),
        format_number(fit.predicted),
        format_number(fit.measured),
        format!("{:+.0}%", fit.relative_error() * 100.0),
    ]);
    row
}

/// Returns the lowercase form of an ASCII letter or digit, and `-` for any other character.
fn to_file_character(character: char) -> char {
    if character.is_ascii_alphanumeric() { character.to_ascii_lowercase() } else { '-' }
}
