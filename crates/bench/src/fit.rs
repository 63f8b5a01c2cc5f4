//! Straight lines through measured points.

use serde::Serialize;

/// `y = intercept + slope * x`, by least squares.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Fit {
    /// Value at 0.
    pub intercept: f64,
    /// Change for each unit of x.
    pub slope: f64,
    /// Largest distance of a point from the line.
    pub residual: f64,
}

impl Fit {
    /// The line through some points; flat if they do not differ in x.
    pub fn through(points: &[(f64, f64)]) -> Self {
        let count = points.len().max(1) as f64;
        let mean_x = points.iter().map(|point| point.0).sum::<f64>() / count;
        let mean_y = points.iter().map(|point| point.1).sum::<f64>() / count;
        let spread: f64 = points.iter().map(|point| (point.0 - mean_x).powi(2)).sum();
        let shared: f64 = points
            .iter()
            .map(|point| (point.0 - mean_x) * (point.1 - mean_y))
            .sum();
        let slope = if spread > 0.0 { shared / spread } else { 0.0 };
        let mut fit = Self {
            intercept: mean_y - slope * mean_x,
            slope,
            residual: 0.0,
        };
        let distances = points.iter().map(|point| (point.1 - fit.at(point.0)).abs());
        fit.residual = distances.fold(0.0, f64::max);
        fit
    }

    /// The line's value at x.
    pub fn at(&self, x: f64) -> f64 {
        self.intercept + self.slope * x
    }
}
