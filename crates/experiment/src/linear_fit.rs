//! Linear regression over measured points, with the largest point held out as a check.

use serde::Serialize;

/// A quantity measured at several sizes.
#[derive(Clone, Debug, Serialize)]
pub struct MeasuredSeries {
    /// The name, such as `scheduler: processor time`.
    pub name: String,
    /// The unit of the sizes.
    pub size_unit: String,
    /// The unit of the values.
    pub unit: String,
    /// The measurements in any order. The largest size is excluded from the fit and checks it.
    pub points: Vec<SeriesPoint>,
}

/// One measurement of a series.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct SeriesPoint {
    /// The size, in the series' size unit.
    pub size: f64,
    /// The measured value, in the series' unit.
    pub value: f64,
}

/// The fitted line `slope x size + base` and its check against the held-out point.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct LineFit {
    /// The increase of the value per unit of size.
    pub slope: f64,
    /// The value of the line at size 0.
    pub base: f64,
    /// The largest absolute residual of the fitted points.
    pub spread: f64,
    /// The size of the held-out point.
    pub check_size: f64,
    /// The value predicted for the held-out point.
    pub predicted: f64,
    /// The value measured at the held-out point.
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

    /// Appends a measurement.
    pub fn push(&mut self, size: f64, value: f64) {
        self.points.push(SeriesPoint { size, value });
    }

    /// Fits a line by least squares to all points but the largest, which is held out as a check.
    ///
    /// Returns `None` for fewer than five points.
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

    /// Returns the signed prediction error at the held-out point, as a share of the measured value;
    /// 0 if that value is 0.
    pub fn relative_error(&self) -> f64 {
        if self.measured == 0.0 { 0.0 } else { (self.predicted - self.measured) / self.measured }
    }
}
