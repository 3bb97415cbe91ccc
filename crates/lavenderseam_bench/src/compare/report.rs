//! The figures of a comparison.

use std::fmt;

use serde::Serialize;

/// The figures of one way.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Row {
    /// The way.
    pub method: &'static str,
    /// Flows opened.
    pub flows: u64,
    /// Flows broken by a planned change.
    pub broken: u64,
    /// Packets of open flows that were dropped, for the transport to send again.
    pub lost: u64,
    /// Targets that a packet of an open flow visits, on average.
    pub hops: f64,
    /// Share of packets that visit more than one target.
    pub walked: f64,
    /// Most bytes that a balancer held to find flows.
    pub memory: usize,
    /// Bytes of control traffic a second, records apart, over all processes.
    pub control: u64,
    /// Highest load of a serving target over the mean, at the worst second.
    pub imbalance: f64,
}

/// The figures of all ways; prints as a Markdown table.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Report {
    /// One row for each way.
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
