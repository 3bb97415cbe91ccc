//! Tests of resources, of the phases of a planned stop and of panics in tasks.

use std::sync::Arc;
use std::time::Duration;

use googletest::prelude::*;
use lavenderseam_app::{App, Error, Plugin, ShutdownPhase};
use parking_lot::Mutex;

struct Number(u32);

struct Provider;

impl Plugin for Provider {
    fn build(&self, app: &mut App) -> std::result::Result<(), Error> {
        app.insert_resource(Number(7));
        Ok(())
    }
}

struct Consumer;

impl Plugin for Consumer {
    fn build(&self, app: &mut App) -> std::result::Result<(), Error> {
        app.resource::<Number>().map(|_| ())
    }
}

#[gtest]
fn plugin_gets_the_resource_of_an_earlier_plugin() -> Result<()> {
    let mut app = App::new();
    app.add_plugin(&Provider).or_fail()?;
    app.add_plugin(&Consumer).or_fail()?;
    verify_that!(app.resource::<Number>().or_fail()?.0, eq(7))
}

#[gtest]
fn missing_resource_error_names_its_type() {
    let mut app = App::new();
    let error = app
        .add_plugin(&Consumer)
        .err()
        .map(|error| error.to_string());
    expect_that!(error, some(contains_substring("Number")));
}

#[gtest]
#[tokio::test]
async fn tasks_terminate_only_after_every_drain_guard_is_dropped() -> Result<()> {
    let events = Arc::new(Mutex::new(Vec::new()));
    let mut app = App::new();
    let stop = app.stop_handle();

    let mut shutdown = app.shutdown();
    let drain_guard = shutdown.drain_guard();
    let log = Arc::clone(&events);
    app.add_task("drainer", async move {
        shutdown.wait_for_draining().await;
        tokio::task::yield_now().await;
        log.lock().push("drained");
        drop(drain_guard);
    });

    let mut shutdown = app.shutdown();
    let log = Arc::clone(&events);
    app.add_task("server", async move {
        shutdown.wait_for_terminating().await;
        log.lock().push("halted");
    });

    expect_that!(app.shutdown().phase(), eq(ShutdownPhase::Running));
    let running = tokio::spawn(app.run());
    stop.stop();
    let result = tokio::time::timeout(Duration::from_secs(10), running)
        .await
        .or_fail()?;
    result.or_fail()?.or_fail()?;
    verify_that!(*events.lock(), elements_are![eq(&"drained"), eq(&"halted")])
}

#[gtest]
#[tokio::test]
async fn panicking_task_fails_the_app_with_its_name() {
    let mut app = App::new();
    app.add_task("faulty", async { panic!("injected") });
    let result = app.run().await.err().map(|error| error.to_string());
    expect_that!(result, some(contains_substring("faulty")));
}
