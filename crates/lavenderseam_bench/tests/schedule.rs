//! Tests of the parsing of experiment files and of the errors for invalid ones.

use std::path::Path;

use googletest::prelude::*;
use lavenderseam_bench::Error;
use lavenderseam_bench::launcher::Deployment;
use lavenderseam_bench::schedule::{Action, Bound, Experiment, Subject, random_experiment};

/// Parses an invalid experiment and returns the key, the value and the allowed values that the
/// error reports.
fn invalid_setting(text: &str) -> (String, String, String) {
    match text.parse::<Experiment>() {
        Err(Error::InvalidSetting {
            key,
            value,
            allowed,
        }) => (key, value, allowed),
        other => panic!("expected an invalid setting, got {other:?}"),
    }
}

fn invalid_setting_of_fault(body: &str) -> (String, String, String) {
    invalid_setting(&format!("deployment = \"fiji\"\n[[fault]]\n{body}"))
}

#[gtest]
fn parses_every_experiment_file() {
    let directory = Path::new(env!("CARGO_MANIFEST_DIR")).join("experiments");
    let mut count = 0;
    for entry in std::fs::read_dir(directory).unwrap() {
        let path = entry.unwrap().path();
        let experiment = Experiment::load(&path).unwrap();
        expect_that!(experiment.about, not(eq("")), "{}", path.display());
        expect_that!(
            experiment.expectations,
            not(is_empty()),
            "{}",
            path.display()
        );
        count += 1;
    }
    expect_that!(count, ge(40));
}

#[gtest]
fn parses_load_faults_and_expectations() {
    let text = r#"
        deployment = "fiji"
        seconds = 9
        load.ductview.feeds = 3
        load.ductview.edits_per_second = 2.5

        [[fault]]
        at_ms = 700
        action = "cut"
        subject = "spanfetch/balancer-2"
        for_ms = 50

        [[fault]]
        at_ms = 300
        action = "store_slow"
        subject = "250ms"

        [expect]
        flows_broken = 0
        served_share = 0.9
    "#;
    let experiment: Experiment = text.parse().unwrap();
    expect_that!(experiment.load["ductview"].feeds, eq(3));
    expect_that!(experiment.load["ductview"].edits_per_second, eq(2.5));
    expect_that!(experiment.faults[0].action, eq(Action::StoreSlow));
    expect_that!(experiment.faults[0].subject, eq(&Subject::DelayMs(250)));
    expect_that!(experiment.faults[1].for_ms, eq(50));
    let bounds: Vec<Bound> = experiment.expectations.iter().map(|e| e.bound).collect();
    expect_that!(
        bounds,
        elements_are![eq(&Bound::AtMost(0.0)), eq(&Bound::AtLeast(0.9))]
    );
}

#[gtest]
fn reports_key_value_and_allowed_values() {
    let (key, value, allowed) = invalid_setting("deployment = \"gobi\"");
    expect_that!((key.as_str(), value.as_str()), eq(("deployment", "gobi")));
    expect_that!(allowed, contains_substring("khangai"));

    let (key, value, _) = invalid_setting("deployment = \"fiji\"\nsecnds = 3");
    expect_that!((key.as_str(), value.as_str()), eq(("secnds", "3")));

    let (key, value, _) = invalid_setting("deployment = \"fiji\"\nload.ductview.callers = 0");
    expect_that!(
        (key.as_str(), value.as_str()),
        eq(("load.ductview.callers", "0"))
    );

    let (key, value, _) = invalid_setting("deployment = \"fiji\"\nload.gobi.callers = 1");
    expect_that!(key, eq("load.gobi"));
    expect_that!(value, contains_substring("callers"));

    let (key, _, allowed) = invalid_setting("deployment = \"fiji\"\nexpect.flows_borken = 0");
    expect_that!(key, eq("expect.flows_borken"));
    expect_that!(allowed, contains_substring("flows_broken"));

    let (key, _, allowed) = invalid_setting("deployment = \"fiji\"\n\nseconds = = 3");
    expect_that!((key.as_str(), allowed.as_str()), eq(("line 3", "TOML")));
}

#[gtest]
fn reports_invalid_values_of_faults() {
    let (key, value, allowed) = invalid_setting_of_fault("at_ms = 1\naction = \"explode\"");
    expect_that!(
        (key.as_str(), value.as_str()),
        eq(("fault[0].action", "explode"))
    );
    expect_that!(allowed, contains_substring("store_lose_answers"));

    let body = "at_ms = 1\naction = \"kill\"\nsubject = \"balancer-9\"";
    let (key, value, _) = invalid_setting_of_fault(body);
    expect_that!(
        (key.as_str(), value.as_str()),
        eq(("fault[0].subject", "balancer-9"))
    );

    let (key, value, _) = invalid_setting_of_fault("at_ms = -1\naction = \"store_down\"");
    expect_that!((key.as_str(), value.as_str()), eq(("fault[0].at_ms", "-1")));

    let (key, value, _) = invalid_setting_of_fault("action = \"store_down\"");
    expect_that!(
        (key.as_str(), value.as_str()),
        eq(("fault[0].at_ms", "missing"))
    );

    let body = "at_ms = 1\naction = \"store_lose_answers\"\nsubject = \"101%\"";
    let (key, value, _) = invalid_setting_of_fault(body);
    expect_that!(
        (key.as_str(), value.as_str()),
        eq(("fault[0].subject", "101%"))
    );
}

#[gtest]
fn equal_seeds_give_equal_random_experiments() {
    for seed in 0..50 {
        let experiment = random_experiment(Deployment::khangai(), seed);
        expect_that!(experiment.faults, len(eq(2)));
        expect_that!(
            experiment,
            eq(&random_experiment(Deployment::khangai(), seed))
        );
    }
    let first = random_experiment(Deployment::khangai(), 1);
    expect_that!(first, not(eq(&random_experiment(Deployment::khangai(), 2))));
}
