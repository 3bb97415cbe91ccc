//! Tests of the audit that compares executed edits with the outcomes reported to callers.

use googletest::prelude::*;

use super::backend_work::EditAudit;
use crate::load::{EditOutcome, EditResult};

fn edit(id: &str, outcome: EditOutcome) -> EditResult {
    EditResult {
        id: id.to_owned(),
        outcome,
    }
}

#[gtest]
fn audit_compares_executed_edits_with_reported_outcomes() {
    let executed = ["a", "b", "b", "c", "d"].map(str::to_owned);
    let reported = [
        edit("a", EditOutcome::Answered),
        edit("b", EditOutcome::Answered),
        edit("c", EditOutcome::NotRun),
        edit("d", EditOutcome::Unknown),
        edit("e", EditOutcome::Answered),
        edit("f", EditOutcome::NotRun),
    ];
    let audit = EditAudit::new(executed.iter(), &reported);
    let expected = EditAudit {
        ran_twice: 1,
        refused_but_ran: 1,
        answered_not_run: 1,
        unknown_ran: 1,
    };
    expect_that!(audit, eq(expected));
}
