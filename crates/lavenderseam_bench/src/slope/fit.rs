//! Linear fit by least squares, which gives the growth of a control-plane cost with the size of the
//! deployment (its slope).

use serde::Serialize;

/// A line fitted to the values of a column.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Fit {
    /// Growth of the value per unit of size.
    pub slope: f64,
    /// Value at size zero.
    pub intercept: f64,
    /// Root mean square deviation from the line, relative to the mean value.
    pub residual: f64,
}

impl Fit {
    /// Fits a line to points of size and value.
    #[must_use]
    pub fn new(points: &[(f64, f64)]) -> Self {
        let count = points.len().max(1) as f64;
        let mean = |of: fn(&(f64, f64)) -> f64| points.iter().map(of).sum::<f64>() / count;
        let (mean_x, mean_y) = (mean(|point| point.0), mean(|point| point.1));
        let variance_x: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
        let covariance: f64 = points
            .iter()
            .map(|(x, y)| (x - mean_x) * (y - mean_y))
            .sum();
        let slope = if variance_x > 0.0 {
            covariance / variance_x
        } else {
            0.0
        };
        let intercept = mean_y - slope * mean_x;
        let squared_deviation = |(x, y): &(f64, f64)| (y - intercept - slope * x).powi(2);
        let mean_square = points.iter().map(squared_deviation).sum::<f64>() / count;
        let residual = if mean_y.abs() > 0.0 {
            mean_square.sqrt() / mean_y.abs()
        } else {
            0.0
        };
        Self {
            slope,
            intercept,
            residual,
        }
    }

    /// Returns the value of the line at a size.
    #[must_use]
    pub fn value_at(&self, size: f64) -> f64 {
        self.intercept + self.slope * size
    }
}
