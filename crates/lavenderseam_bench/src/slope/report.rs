//! Results of one scaling measurement (a slope): a control-plane cost measured at several sizes of
//! the deployment, with a line fitted to each column.

use std::fmt;

use serde::Serialize;

use super::Fit;

/// Values at one size.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Row {
    /// Size of the deployment, in the unit of [`Report::size`].
    pub size: f64,
    /// One value per column.
    pub figures: Vec<f64>,
}

/// Costs measured at each size of the deployment, displayed as a table with the line fitted to each
/// column.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Report {
    /// Name of the measurement.
    pub name: &'static str,
    /// Seed of the measurement.
    pub seed: u64,
    /// Unit of the sizes.
    pub size: &'static str,
    /// Names of the columns, with their units.
    pub columns: Vec<&'static str>,
    /// One row per size.
    pub rows: Vec<Row>,
}

impl Report {
    /// Creates a report without rows.
    #[must_use]
    pub fn new(
        name: &'static str,
        seed: u64,
        size: &'static str,
        columns: &[&'static str],
    ) -> Self {
        Self {
            name,
            seed,
            size,
            columns: columns.to_vec(),
            rows: Vec::new(),
        }
    }

    /// Adds the values at a size.
    pub fn add_row(&mut self, size: usize, figures: Vec<f64>) {
        let size = size as f64;
        self.rows.push(Row { size, figures });
    }

    /// Returns the linear fit of each column.
    #[must_use]
    pub fn fits(&self) -> Vec<Fit> {
        let points = |column: usize| {
            let rows = self.rows.iter();
            let points = rows.map(|row| (row.size, row.figures[column]));
            points.collect::<Vec<_>>()
        };
        (0..self.columns.len())
            .map(|column| Fit::new(&points(column)))
            .collect()
    }
}

impl fmt::Display for Report {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(formatter, "slope {} (seed {})", self.name, self.seed)?;
        write!(formatter, "{:>12}", self.size)?;
        for column in &self.columns {
            write!(formatter, " | {column}")?;
        }
        writeln!(formatter)?;
        for row in &self.rows {
            write!(formatter, "{:>12}", row.size)?;
            for (figure, column) in row.figures.iter().zip(&self.columns) {
                write!(formatter, " | {figure:>width$.3}", width = column.len())?;
            }
            writeln!(formatter)?;
        }
        for (fit, column) in self.fits().iter().zip(&self.columns) {
            let Fit {
                slope,
                intercept,
                residual,
            } = fit;
            let percent = residual * 100.0;
            writeln!(
                formatter,
                "  {column}: {intercept:.4} + {slope:.6} x, residual {percent:.1} %"
            )?;
        }
        Ok(())
    }
}
