//! Linear fit by least squares.

use serde::Serialize;

/// A line through the figures of a column.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Fit {
    /// Growth for each unit of size.
    pub slope: f64,
    /// Figure at size zero.
    pub intercept: f64,
    /// Root of the mean squared distance from the line, as a share of the mean figure.
    pub residual: f64,
}

impl Fit {
    /// Fits a line to points of size and figure.
    #[must_use]
    pub fn new(points: &[(f64, f64)]) -> Self {
        let count = points.len().max(1) as f64;
        let mean = |of: fn(&(f64, f64)) -> f64| points.iter().map(of).sum::<f64>() / count;
        let (mean_x, mean_y) = (mean(|point| point.0), mean(|point| point.1));
        let spread: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
        let shared: f64 = points
            .iter()
            .map(|(x, y)| (x - mean_x) * (y - mean_y))
            .sum();
        let slope = if spread > 0.0 { shared / spread } else { 0.0 };
        let intercept = mean_y - slope * mean_x;
        let distance = |(x, y): &(f64, f64)| (y - intercept - slope * x).powi(2);
        let squared = points.iter().map(distance).sum::<f64>() / count;
        let residual = if mean_y.abs() > 0.0 {
            squared.sqrt() / mean_y.abs()
        } else {
            0.0
        };
        Self {
            slope,
            intercept,
            residual,
        }
    }

    /// The line's figure at a size.
    #[must_use]
    pub fn at(&self, size: f64) -> f64 {
        self.intercept + self.slope * size
    }
}
