//! Writes measurements as Markdown tables, JSON files and SVG plots.

use std::fmt::Write as _;
use std::path::Path;

use plotters::prelude::*;
use serde::Serialize;

use crate::linear_fit::MeasuredSeries;

/// Width and height of a plot.
const PLOT_SIZE_PX: (u32, u32) = (640, 360);

/// A named line of a plot.
pub struct PlotLine {
    /// The label in the legend.
    pub name: String,
    /// The (x, y) points by ascending x.
    pub points: Vec<(f64, f64)>,
}

/// Writes a value as indented JSON and creates missing parent directories.
///
/// Fails if the value can't be serialized, or with a message that names the file if it can't be
/// written.
pub fn write_json<T>(path: &Path, value: &T) -> Result<(), String>
where
    T: Serialize,
{
    let text = serde_json::to_string_pretty(value).map_err(|error| error.to_string())?;
    write_text(path, &(text + "\n"))
}

/// Writes a text file and creates missing parent directories.
///
/// Fails with a message that names the file.
pub fn write_text(path: &Path, text: &str) -> Result<(), String> {
    let to_error = |error: std::io::Error| format!("cannot write {}: {error}", path.display());
    if let Some(parent) = path.parent() {
        std::fs::create_dir_all(parent).map_err(to_error)?;
    }
    std::fs::write(path, text).map_err(to_error)
}

/// Formats a Markdown table with a header row.
pub fn format_table(header: &[&str], rows: &[Vec<String>]) -> String {
    let mut text = format!("| {} |\n|{}\n", header.join(" | "), "---|".repeat(header.len()));
    for row in rows {
        let _ = writeln!(text, "| {} |", row.join(" | "));
    }
    text
}

/// Formats a number with no decimals from 100, one from 10, two from 1 and four from 0.001, and in
/// scientific notation below that.
pub fn format_number(value: f64) -> String {
    let magnitude = value.abs();
    match magnitude {
        0.0 => "0".to_owned(),
        _ if magnitude >= 100.0 => format!("{value:.0}"),
        _ if magnitude >= 10.0 => format!("{value:.1}"),
        _ if magnitude >= 1.0 => format!("{value:.2}"),
        _ if magnitude >= 0.001 => format!("{value:.4}"),
        _ => format!("{value:.2e}"),
    }
}

/// Writes an SVG plot of a series with its fitted line, if it has one.
///
/// The parent directory must exist. Fails with a message that names the file.
pub fn plot_series(path: &Path, series: &MeasuredSeries) -> Result<(), String> {
    let to_error = |error: String| format!("cannot plot {}: {error}", path.display());
    let max_of = |values: &mut dyn Iterator<Item = f64>| values.fold(0.0, f64::max);
    let max_x = max_of(&mut series.points.iter().map(|point| point.size)) * 1.05;
    let max_y = max_of(&mut series.points.iter().map(|point| point.value)) * 1.15 + f64::EPSILON;
    let area = SVGBackend::new(path, PLOT_SIZE_PX).into_drawing_area();
    area.fill(&WHITE).map_err(|error| to_error(error.to_string()))?;
    let mut chart = ChartBuilder::on(&area)
        .margin(12)
        .caption(&series.name, ("sans-serif", 18))
        .x_label_area_size(36)
        .y_label_area_size(64)
        .build_cartesian_2d(0.0..max_x, 0.0..max_y)
        .map_err(|error| to_error(error.to_string()))?;
    chart
        .configure_mesh()
        .x_desc(&series.size_unit)
        .y_desc(&series.unit)
        .draw()
        .map_err(|error| to_error(error.to_string()))?;
    let markers = series.points.iter().map(|point| Circle::new((point.size, point.value), 4, BLUE));
    chart.draw_series(markers).map_err(|error| to_error(error.to_string()))?;
    if let Some(fit) = series.fit() {
        let end_points = [(0.0, fit.base), (max_x, fit.value_at(max_x))];
        chart
            .draw_series(LineSeries::new(end_points, RED))
            .map_err(|error| to_error(error.to_string()))?;
    }
    area.present().map_err(|error| to_error(error.to_string()))
}

/// Writes an SVG plot of named lines; `x` and `y` label the axes.
///
/// The parent directory must exist. Fails with a message that names the file.
pub fn plot_lines(path: &Path, x: &str, y: &str, lines: &[PlotLine]) -> Result<(), String> {
    let to_error = |error: String| format!("cannot plot {}: {error}", path.display());
    let points = || lines.iter().flat_map(|line| &line.points);
    let max_x = points().map(|point| point.0).fold(0.0, f64::max) * 1.05 + f64::EPSILON;
    let max_y = points().map(|point| point.1).fold(0.0, f64::max) * 1.15 + f64::EPSILON;
    let area = SVGBackend::new(path, PLOT_SIZE_PX).into_drawing_area();
    area.fill(&WHITE).map_err(|error| to_error(error.to_string()))?;
    let mut chart = ChartBuilder::on(&area)
        .margin(12)
        .x_label_area_size(36)
        .y_label_area_size(64)
        .build_cartesian_2d(0.0..max_x, 0.0..max_y)
        .map_err(|error| to_error(error.to_string()))?;
    chart
        .configure_mesh()
        .x_desc(x)
        .y_desc(y)
        .draw()
        .map_err(|error| to_error(error.to_string()))?;
    for (index, line) in lines.iter().enumerate() {
        let color = Palette99::pick(index).to_rgba();
        let series = LineSeries::new(line.points.iter().copied(), color.stroke_width(2));
        let drawn = chart.draw_series(series).map_err(|error| to_error(error.to_string()))?;
        drawn
            .label(&line.name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], color));
    }
    let labels = chart.configure_series_labels().border_style(BLACK).draw();
    labels.map_err(|error| to_error(error.to_string()))?;
    area.present().map_err(|error| to_error(error.to_string()))
}
