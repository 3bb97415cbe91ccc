//! The launcher starts the stand-ins of a deployment and leaves nothing behind.

#![allow(clippy::unwrap_used, reason = "helpers of tests")]

use std::path::Path;

use googletest::prelude::*;
use lavenderseam_bench::Error;
use lavenderseam_bench::launcher::{Cluster, Deployment, Options, Process, Programs, Signal};
use lavenderseam_bench::remote;
use lavenderseam_bench::standins::{REPORT_PATH, backend, fabric};

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

fn runs(id: u32) -> bool {
    Path::new(&format!("/proc/{id}")).exists()
}

#[gtest]
#[tokio::test]
async fn ends_all_processes_and_removes_their_files() {
    let cluster = start(Deployment::khangai()).await;
    let ids: Vec<u32> = cluster.processes().iter().filter_map(Process::id).collect();
    expect_that!(ids, len(eq(12)));
    expect_that!(ids.iter().all(|id| runs(*id)), eq(true));
    let control = cluster.network().backend_control(3);
    let report: backend::Report = remote::read(control, REPORT_PATH).await.unwrap();
    expect_that!(report.target, eq("trail-status-4"));
    let control = cluster.network().fabric_control();
    let report: fabric::Report = remote::read(control, REPORT_PATH).await.unwrap();
    expect_that!(report.serving, is_empty());
    let directory = cluster.directory().to_owned();
    drop(cluster);
    expect_that!(ids.iter().any(|id| runs(*id)), eq(false));
    expect_that!(directory.exists(), eq(false));
}

#[gtest]
#[tokio::test]
async fn ends_a_paused_process() {
    let mut cluster = start(Deployment::fiji()).await;
    let process = cluster.process("platform").unwrap();
    let id = process.id().unwrap();
    process.signal(Signal::Stop);
    drop(cluster);
    expect_that!(runs(id), eq(false));
}

#[gtest]
#[tokio::test]
async fn starts_a_killed_process_again() {
    let mut cluster = start(Deployment::fiji()).await;
    let process = cluster.process("backend-ductview-1").unwrap();
    let before = process.id();
    process.kill();
    expect_that!(process.id(), none());
    process.start().unwrap();
    expect_that!(process.id(), all!(some(anything()), not(eq(before))));
}

#[gtest]
#[tokio::test]
async fn names_an_unknown_process() {
    let mut cluster = start(Deployment::fiji()).await;
    let unknown = cluster.process("balancer-1").map(|_| ());
    expect_that!(
        unknown,
        err(matches_pattern!(Error::UnknownProcess(eq("balancer-1"))))
    );
}
