//! Evaluates the journals of the backend server stand-ins.

use std::collections::HashMap;

use crate::Error;
use crate::launcher::{Cluster, Placement};
use crate::load::{EditOutcome, EditResult};
use crate::stand_ins::backend::{Journal, JournalEntry};

/// Work of one backend server, as its journal records it.
#[derive(Clone, Debug)]
pub(crate) struct BackendWork {
    pub(crate) placement: Placement,
    /// Arrival times of requests and feeds, in milliseconds since the epoch.
    pub(crate) arrivals: Vec<u64>,
    /// Number of requests that were executed.
    pub(crate) executed_requests: u64,
    /// Ids of the edits that were executed, once for each execution.
    pub(crate) executed_edits: Vec<String>,
    /// Highest ratio of concurrent work to capacity while the backend server was cold.
    pub(crate) overload_peak: f64,
    /// Number of times that the backend server failed from overload.
    pub(crate) overload_failures: u64,
}

/// Comparison of the executed edits with the outcomes that were reported to their callers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct EditAudit {
    /// Number of edits that were executed more than once.
    pub(crate) ran_twice: u64,
    /// Number of edits that were executed although they were reported as not executed.
    pub(crate) refused_but_ran: u64,
    /// Number of edits that were answered although they were not executed.
    pub(crate) answered_not_run: u64,
    /// Number of edits with unknown outcome that were executed.
    pub(crate) unknown_ran: u64,
}

impl BackendWork {
    /// Reads the journals of all backend servers of a cluster. Requests before `start_ms` are left
    /// out, but executions of edits and overloads at any time are included.
    pub(crate) fn read_all(cluster: &Cluster, start_ms: u64) -> Result<Vec<Self>, Error> {
        let read = |placement: &Placement| Self::read(cluster, placement, start_ms);
        cluster.placements().iter().map(read).collect()
    }

    /// Reads the journal of one backend server.
    fn read(cluster: &Cluster, placement: &Placement, start_ms: u64) -> Result<Self, Error> {
        let mut work = Self {
            placement: placement.clone(),
            arrivals: Vec::new(),
            executed_requests: 0,
            executed_edits: Vec::new(),
            overload_peak: 0.0,
            overload_failures: 0,
        };
        for line in Journal::read(&cluster.journal_path(placement))? {
            match line {
                JournalEntry::Arrival(at) | JournalEntry::Started(at) if at < start_ms => {}
                JournalEntry::Arrival(at) => work.arrivals.push(at),
                JournalEntry::Started(_) => work.executed_requests += 1,
                JournalEntry::EditRun { id, .. } => work.executed_edits.push(id),
                JournalEntry::Overload(peak) => work.overload_peak = work.overload_peak.max(peak),
                JournalEntry::Crash(_) => work.overload_failures += 1,
            }
        }
        Ok(work)
    }
}

impl EditAudit {
    /// Compares the ids of the executed edits with the outcomes that were reported to the callers.
    pub(crate) fn new<'a>(
        executed: impl Iterator<Item = &'a String>,
        reported: &[EditResult],
    ) -> Self {
        let mut execution_counts: HashMap<&str, u64> = HashMap::new();
        for id in executed {
            *execution_counts.entry(id).or_default() += 1;
        }
        let mut audit = Self {
            ran_twice: execution_counts
                .values()
                .filter(|count| **count > 1)
                .count() as u64,
            ..Self::default()
        };
        for edit in reported {
            let was_executed = execution_counts.contains_key(edit.id.as_str());
            match edit.outcome {
                EditOutcome::Answered => audit.answered_not_run += u64::from(!was_executed),
                EditOutcome::NotRun => audit.refused_but_ran += u64::from(was_executed),
                EditOutcome::Unknown => audit.unknown_ran += u64::from(was_executed),
            }
        }
        audit
    }
}
