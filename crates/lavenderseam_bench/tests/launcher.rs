//! The launcher starts the stand-ins of a deployment and leaves no processes or files behind.

#![allow(clippy::unwrap_used, reason = "helpers of tests")]

use std::io::{BufRead, BufReader};
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};

use googletest::prelude::*;
use lavenderseam_bench::Error;
use lavenderseam_bench::http_client;
use lavenderseam_bench::launcher::{Cluster, Deployment, Options, Process, Programs, Signal};
use lavenderseam_bench::stand_ins::{REPORT_PATH, backend, fabric};

async fn start(deployment: Deployment) -> Cluster {
    let options = Options {
        stand_ins_only: true,
        ..Options::default()
    };
    let programs = Programs::new().unwrap();
    Cluster::start(deployment, &programs, &options)
        .await
        .unwrap()
}

/// Returns `true` if a process runs. A zombie, which has exited but not been reaped, doesn't count.
fn is_running(id: u32) -> bool {
    let status = std::fs::read_to_string(format!("/proc/{id}/status"));
    status.is_ok_and(|status| !status.contains("State:\tZ"))
}

#[gtest]
#[tokio::test]
async fn drop_kills_all_processes_and_removes_their_files() {
    let cluster = start(Deployment::khangai()).await;
    let ids: Vec<u32> = cluster
        .processes()
        .iter()
        .filter_map(Process::pid)
        .collect();
    expect_that!(ids, len(eq(12)));
    expect_that!(ids.iter().all(|id| is_running(*id)), eq(true));
    let control = cluster.network().backend_control(3);
    let report: backend::Report = http_client::get_json(control, REPORT_PATH).await.unwrap();
    expect_that!(report.target, eq("trail-status-4"));
    let control = cluster.network().fabric_control();
    let report: fabric::Report = http_client::get_json(control, REPORT_PATH).await.unwrap();
    expect_that!(report.serving, is_empty());
    let directory = cluster.files_directory().to_owned();
    drop(cluster);
    expect_that!(ids.iter().any(|id| is_running(*id)), eq(false));
    expect_that!(directory.exists(), eq(false));
}

#[gtest]
fn killed_bench_leaves_no_process_behind() {
    let mut bench = Command::new(env!("CARGO_BIN_EXE_lavenderseam_bench"))
        .args(["up", "khangai", "--stand-ins-only", "--seconds", "60"])
        .stdout(Stdio::piped())
        .spawn()
        .unwrap();
    let output = BufReader::new(bench.stdout.take().unwrap());
    let mut lines = output.lines().map_while(std::result::Result::ok);
    let files = lines.find_map(|line| line.strip_prefix("files in ").map(str::to_owned));
    let ids = lines.filter_map(|line| line.split_whitespace().next()?.parse().ok());
    let ids: Vec<u32> = ids.take(12).collect();
    expect_that!(ids, len(eq(12)));
    expect_that!(ids.iter().all(|id| is_running(*id)), eq(true));
    bench.kill().unwrap();
    bench.wait().unwrap();
    let deadline = Instant::now() + Duration::from_secs(10);
    while ids.iter().any(|id| is_running(*id)) && Instant::now() < deadline {
        std::thread::sleep(Duration::from_millis(10));
    }
    std::fs::remove_dir_all(files.unwrap()).unwrap();
    expect_that!(ids.iter().any(|id| is_running(*id)), eq(false));
}

#[gtest]
#[tokio::test]
async fn drop_kills_a_paused_process() {
    let mut cluster = start(Deployment::fiji()).await;
    let process = cluster.process("platform").unwrap();
    let id = process.pid().unwrap();
    process.signal(Signal::Stop);
    drop(cluster);
    expect_that!(is_running(id), eq(false));
}

#[gtest]
#[tokio::test]
async fn killed_process_can_be_restarted() {
    let mut cluster = start(Deployment::fiji()).await;
    let process = cluster.process("backend-ductview-1").unwrap();
    let before = process.pid();
    process.kill();
    expect_that!(process.pid(), none());
    process.start().unwrap();
    expect_that!(process.pid(), all!(some(anything()), not(eq(before))));
}

#[gtest]
#[tokio::test]
async fn unknown_process_is_an_error() {
    let mut cluster = start(Deployment::fiji()).await;
    let unknown = cluster.process("balancer-1").map(|_| ());
    expect_that!(
        unknown,
        err(matches_pattern!(Error::UnknownProcess(eq("balancer-1"))))
    );
}
