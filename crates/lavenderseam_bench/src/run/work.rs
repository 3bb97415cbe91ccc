//! What the backend servers' journals say.

use std::collections::HashMap;

use crate::Error;
use crate::launcher::{Cluster, Placement};
use crate::load::{Edit, EditOutcome};
use crate::standins::backend::{Journal, Line};

/// What one backend server did.
#[derive(Clone, Debug)]
pub(crate) struct Work {
    pub(crate) placement: Placement,
    /// When requests and feeds arrived, in milliseconds since the epoch.
    pub(crate) arrivals: Vec<u64>,
    /// Requests that ran.
    pub(crate) ran: u64,
    /// Edits that ran.
    pub(crate) edits: Vec<String>,
    /// Most work while cold over what was borne.
    pub(crate) overload_peak: f64,
    /// Times that it fell over.
    pub(crate) falls: u64,
}

/// What the runs of the edits show.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Audit {
    /// Edits that ran more than once.
    pub(crate) ran_twice: u64,
    /// Edits that ran although their caller was told that they did not.
    pub(crate) refused_but_ran: u64,
    /// Edits that did not run although they were answered.
    pub(crate) answered_not_run: u64,
    /// Edits with unknown outcome that ran.
    pub(crate) unknown_ran: u64,
}

impl Work {
    /// Reads the journals of all backend servers of a cluster; requests before a time are left
    /// out, runs of edits and overloads are not.
    pub(crate) fn read_all(cluster: &Cluster, start_ms: u64) -> Result<Vec<Self>, Error> {
        let read = |placement: &Placement| Self::read(cluster, placement, start_ms);
        cluster.placements().iter().map(read).collect()
    }

    fn read(cluster: &Cluster, placement: &Placement, start_ms: u64) -> Result<Self, Error> {
        let mut work = Self {
            placement: placement.clone(),
            arrivals: Vec::new(),
            ran: 0,
            edits: Vec::new(),
            overload_peak: 0.0,
            falls: 0,
        };
        for line in Journal::read(&cluster.journal(placement))? {
            match line {
                Line::Arrival(at) | Line::Began(at) if at < start_ms => {}
                Line::Arrival(at) => work.arrivals.push(at),
                Line::Began(_) => work.ran += 1,
                Line::Run { id, .. } => work.edits.push(id),
                Line::Overload(peak) => work.overload_peak = work.overload_peak.max(peak),
                Line::Fall(_) => work.falls += 1,
            }
        }
        Ok(work)
    }
}

impl Audit {
    /// Compares the runs with what the callers were told.
    pub(crate) fn new<'a>(runs: impl Iterator<Item = &'a String>, told: &[Edit]) -> Self {
        let mut counts: HashMap<&str, u64> = HashMap::new();
        for id in runs {
            *counts.entry(id).or_default() += 1;
        }
        let mut audit = Self {
            ran_twice: counts.values().filter(|count| **count > 1).count() as u64,
            ..Self::default()
        };
        for edit in told {
            let ran = counts.contains_key(edit.id.as_str());
            match edit.outcome {
                EditOutcome::Answered => audit.answered_not_run += u64::from(!ran),
                EditOutcome::NotRun => audit.refused_but_ran += u64::from(ran),
                EditOutcome::Unknown => audit.unknown_ran += u64::from(ran),
            }
        }
        audit
    }
}
