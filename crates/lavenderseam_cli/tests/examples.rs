//! Tests that the documented records and settings are accepted.

use std::path::{Path, PathBuf};

use googletest::prelude::*;
use lavenderseam_cli::Settings;
use lavenderseam_cli::record::{Format, parse};

fn example(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../../docs/examples")
        .join(name)
}

#[gtest]
fn the_documented_records_are_accepted() {
    for name in [
        "khangai.toml",
        "khangai-schema-1.toml",
        "fiji.toml",
        "fiji-schema-1.toml",
    ] {
        let text = std::fs::read_to_string(example(name)).unwrap();
        expect_that!(parse(&text, Format::Toml), ok(len(eq(7))), "{name}");
    }
}

#[gtest]
fn the_documented_settings_are_accepted_and_unknown_keys_rejected() {
    expect_that!(Settings::load(&example("operator.toml")), ok(anything()));
    expect_that!(Settings::load(&example("balancer.toml")), err(anything()));
}
