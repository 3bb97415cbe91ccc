//! Results of a comparison.

use std::fmt;

use serde::Serialize;

/// Results of one method.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Row {
    /// Name of the method.
    pub method: &'static str,
    /// Number of flows opened.
    pub flows: u64,
    /// Number of flows broken by a planned change.
    pub broken: u64,
    /// Number of packets of open flows that were dropped and must be retransmitted.
    pub lost: u64,
    /// Mean number of targets that a packet of an open flow visits.
    pub hops: f64,
    /// Share of packets that visit more than one target.
    pub walked: f64,
    /// Peak memory that a balancer used to find flows, in bytes.
    pub memory: usize,
    /// Control traffic of all processes without records, in bytes per second.
    pub control: u64,
    /// Highest ratio of the load of a serving target to the mean load, over all seconds.
    pub imbalance: f64,
}

/// Results of all methods; displayed as a Markdown table.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Report {
    /// One row per method.
    pub rows: Vec<Row>,
}

impl fmt::Display for Report {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            formatter,
            "| way | flows | broken | lost packets | hops a packet | walked % | memory B | control B/s | worst max/mean |"
        )?;
        writeln!(formatter, "|---|---|---|---|---|---|---|---|---|")?;
        for row in &self.rows {
            writeln!(
                formatter,
                "| {} | {} | {} | {} | {:.4} | {:.2} | {} | {} | {:.2} |",
                row.method,
                row.flows,
                row.broken,
                row.lost,
                row.hops,
                100.0 * row.walked,
                row.memory,
                row.control,
                row.imbalance
            )?;
        }
        Ok(())
    }
}
