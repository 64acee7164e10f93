//! Straight lines through measured points.

use serde::Serialize;

/// Holds one measured quantity at several sizes.
#[derive(Clone, Debug, Serialize)]
pub struct MeasuredSeries {
    /// Name, such as `scheduler: processor time`.
    pub name: String,
    /// Unit of the sizes.
    pub size_unit: String,
    /// Unit of the values.
    pub unit: String,
    /// Sizes and values; the largest size is kept out of the fit and checks it.
    pub points: Vec<SeriesPoint>,
}

/// Holds one measurement.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct SeriesPoint {
    /// Size.
    pub size: f64,
    /// Value.
    pub value: f64,
}

/// Describes the line `slope x size + base`.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct LineFit {
    /// Rise of the value for one more unit of size.
    pub slope: f64,
    /// Value at size 0.
    pub base: f64,
    /// Largest distance of a fitted point from the line.
    pub spread: f64,
    /// Size of the point that was kept out.
    pub check_size: f64,
    /// Value that the line predicts there.
    pub predicted: f64,
    /// Value measured there.
    pub measured: f64,
}

impl MeasuredSeries {
    /// Creates a series without points.
    pub fn new(name: &str, size_unit: &str, unit: &str) -> Self {
        let owned_text = |text: &str| text.to_owned();
        Self {
            name: owned_text(name),
            size_unit: owned_text(size_unit),
            unit: owned_text(unit),
            points: Vec::new(),
        }
    }

    /// Adds a measurement.
    pub fn push(&mut self, size: f64, value: f64) {
        self.points.push(SeriesPoint { size, value });
    }

    /// Fits a line by least squares to all points but the largest, which checks it.
    ///
    /// Nothing is returned for fewer than five points.
    pub fn fit(&self) -> Option<LineFit> {
        let mut points = self.points.clone();
        points.sort_by(|left, right| left.size.total_cmp(&right.size));
        let held_out = points.pop()?;
        if points.len() < 4 {
            return None;
        }
        let count = points.len() as f64;
        let mean_size = points.iter().map(|point| point.size).sum::<f64>() / count;
        let mean_value = points.iter().map(|point| point.value).sum::<f64>() / count;
        let covariance: f64 =
            points.iter().map(|point| (point.size - mean_size) * (point.value - mean_value)).sum();
        let variance: f64 = points.iter().map(|point| (point.size - mean_size).powi(2)).sum();
        let slope = if variance > 0.0 { covariance / variance } else { 0.0 };
        let base = mean_value - slope * mean_size;
        let predict = |size: f64| slope * size + base;
        let residuals = points.iter().map(|point| (point.value - predict(point.size)).abs());
        Some(LineFit {
            slope,
            base,
            spread: residuals.fold(0.0, f64::max),
            check_size: held_out.size,
            predicted: predict(held_out.size),
            measured: held_out.value,
        })
    }
}

impl LineFit {
    /// Returns the value of the line at a size.
    pub fn value_at(&self, size: f64) -> f64 {
        self.slope * size + self.base
    }

    /// Returns the error of the prediction as a share of the measured value.
    pub fn relative_error(&self) -> f64 {
        if self.measured == 0.0 { 0.0 } else { (self.predicted - self.measured) / self.measured }
    }
}
