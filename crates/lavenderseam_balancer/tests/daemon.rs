//! Command line and planned stop of the balancer daemon.

#![expect(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use std::fs;
use std::net::{SocketAddr, UdpSocket};
use std::path::PathBuf;
use std::process::{Command, Output};
use std::sync::atomic::{AtomicU16, Ordering};
use std::time::Duration;

use googletest::prelude::*;

const PROGRAM: &str = env!("CARGO_BIN_EXE_lavenderseam-balancer");

/// Returns a loopback address that no other test uses: the process id determines the host part.
fn unused_address() -> SocketAddr {
    static PORT: AtomicU16 = AtomicU16::new(20_000);
    let [_, _, high, low] = std::process::id().to_be_bytes();
    let port = PORT.fetch_add(1, Ordering::Relaxed);
    SocketAddr::from(([127, 128 | high, low, 1], port))
}

/// Writes a settings file with the given fabric address; no store listens at its store address.
fn write_settings(name: &str, fabric: SocketAddr) -> PathBuf {
    let directory = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
    let (key, file) = (
        directory.join(format!("{name}.key")),
        directory.join(format!("{name}.toml")),
    );
    fs::write(&key, "0a".repeat(32)).unwrap();
    let text = format!(
        r#"
        name = "balancer-1"
        fabric = "{fabric}"
        [control]
        domain = "suva-a"
        region = "fiji"
        peer = "{}"
        rpc = "{}"
        store = "{}"
        key_file = "{}"
        "#,
        unused_address(),
        unused_address(),
        unused_address(),
        key.display()
    );
    fs::write(&file, text).unwrap();
    file
}

fn run_program(arguments: &[&str]) -> Output {
    Command::new(PROGRAM).args(arguments).output().unwrap()
}

#[gtest]
fn invalid_arguments_exit_with_2_and_a_valid_check_with_0() {
    let file = write_settings("check", unused_address());
    let file = file.to_str().unwrap();
    expect_that!(
        run_program(&["--settings", file, "--check"]).status.code(),
        some(eq(0))
    );
    expect_that!(run_program(&[]).status.code(), some(eq(2)));
    let missing = run_program(&["--settings", "/nonexistent.toml", "--check"]);
    expect_that!(missing.status.code(), some(eq(2)));
    let message = String::from_utf8(missing.stderr).unwrap();
    expect_that!(message, contains_substring("/nonexistent.toml"));
}

#[gtest]
fn a_planned_stop_exits_with_0_and_answers_health_checks_until_then() {
    let fabric = unused_address();
    let file = write_settings("stop", fabric);
    let mut daemon = Command::new(PROGRAM)
        .arg("--settings")
        .arg(file)
        .spawn()
        .unwrap();
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    socket
        .set_read_timeout(Some(Duration::from_millis(50)))
        .unwrap();
    let ping = || {
        let mut answer = [0; 16];
        let _ = socket.send_to(b"PING", fabric);
        let (length, _) = socket.recv_from(&mut answer).ok()?;
        Some(answer[..length].to_vec())
    };
    let first = loop {
        if let Some(answer) = ping() {
            break answer;
        }
    };
    expect_that!(first, eq(b"PONG\x00"), "no records are known yet");
    let id = daemon.id().to_string();
    let kill_status = Command::new("kill").args(["-TERM", &id]).status().unwrap();
    assert_that!(kill_status.success(), eq(true));
    expect_that!(ping(), some(eq(b"PONG\x00")));
    expect_that!(daemon.wait().unwrap().code(), some(eq(0)));
}
