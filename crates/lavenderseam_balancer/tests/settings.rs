//! Valid and invalid settings files.

use googletest::prelude::*;
use lavenderseam_balancer::Settings;

const VALID_SETTINGS: &str = r#"
name = "balancer-1"
fabric = "127.0.0.1:4000"
fabric_sources = ["127.0.0.9", "127.0.0.9:80"]

[control]
domain = "suva-a"
region = "fiji"
peer = "127.0.0.1:4001"
rpc = "127.0.0.1:4002"
store = "127.0.0.1:4003"
key_file = "key"

[log]
level = "debug"
format = "json"

[metrics]
collector = "127.0.0.1:8125"
"#;

fn parse_result(text: &str) -> String {
    match text.parse::<Settings>() {
        Ok(_) => "accepted".to_owned(),
        Err(error) => error.to_string(),
    }
}

#[gtest]
fn a_full_file_is_accepted() {
    expect_that!(parse_result(VALID_SETTINGS), eq("accepted"));
}

#[gtest]
fn an_invalid_setting_is_reported_with_the_allowed_values() {
    let cases = [
        ("fabric = \"127.0.0.1:4000\"", "fabric = \"here\"", "here"),
        ("name = \"balancer-1\"", "name = \"Balancer 1\"", "a-z, 0-9"),
        ("[log]", "[log]\ncolour = true", "colour"),
        (
            "level = \"debug\"",
            "level = \"loud\"",
            "`error`, `warn`, `info`, `debug`",
        ),
        ("\"127.0.0.9\",", "\"somewhere\",", "invalid source"),
        (
            "[control]",
            "threads = 0\n[control]",
            "threads is 0; allowed: 1 to 64",
        ),
        (
            "[control]",
            "cached_flows = 0\n[control]",
            "cached_flows is 0; allowed: 1 to",
        ),
        (
            "fabric = \"127.0.0.1:4000\"",
            "fabric = \"127.0.0.1:4001\"",
            "fabric is 127.0.0.1:4001; allowed: an address other than control.peer",
        ),
        ("domain = \"suva-a\"", "", "domain"),
    ];
    for (valid, invalid, expected) in cases {
        let text = VALID_SETTINGS.replacen(valid, invalid, 1);
        expect_that!(parse_result(&text), contains_substring(expected));
    }
}
