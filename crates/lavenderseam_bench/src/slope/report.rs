//! The figures of one slope.

use std::fmt;

use serde::Serialize;

use super::Fit;

/// The figures at one size.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Row {
    /// The size.
    pub size: f64,
    /// A figure for each column.
    pub figures: Vec<f64>,
}

/// The figures of one slope.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Report {
    /// Name of the slope.
    pub name: &'static str,
    /// Seed that it was measured with.
    pub seed: u64,
    /// What the size counts.
    pub size: &'static str,
    /// What each figure is, with its unit.
    pub columns: Vec<&'static str>,
    /// The figures.
    pub rows: Vec<Row>,
}

impl Report {
    /// A report without figures.
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

    /// Adds the figures at a size.
    pub fn add(&mut self, size: usize, figures: Vec<f64>) {
        let size = size as f64;
        self.rows.push(Row { size, figures });
    }

    /// The fit of each column.
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
            let share = residual * 100.0;
            writeln!(
                formatter,
                "  {column}: {intercept:.4} + {slope:.6} x, residual {share:.1} %"
            )?;
        }
        Ok(())
    }
}
