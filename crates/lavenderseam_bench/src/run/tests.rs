//! Tests of the audit of edits.

use googletest::prelude::*;

use super::work::Audit;
use crate::load::{Edit, EditOutcome};

fn edit(id: &str, outcome: EditOutcome) -> Edit {
    Edit {
        id: id.to_owned(),
        outcome,
    }
}

#[gtest]
fn compares_runs_with_what_callers_were_told() {
    let runs = ["a", "b", "b", "c", "d"].map(str::to_owned);
    let told = [
        edit("a", EditOutcome::Answered),
        edit("b", EditOutcome::Answered),
        edit("c", EditOutcome::NotRun),
        edit("d", EditOutcome::Unknown),
        edit("e", EditOutcome::Answered),
        edit("f", EditOutcome::NotRun),
    ];
    let audit = Audit::new(runs.iter(), &told);
    let expected = Audit {
        ran_twice: 1,
        refused_but_ran: 1,
        answered_not_run: 1,
        unknown_ran: 1,
    };
    expect_that!(audit, eq(expected));
}
