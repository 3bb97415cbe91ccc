//! Checks random interleavings of threads that share a router, with shuttle.

#![expect(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

mod world;

use googletest::prelude::*;
use lavenderseam_core::flow::router::{Action, Lock, LockFamily, Settings};
use lavenderseam_core::flow::{Hint, Router};
use lavenderseam_core::id::Tag;
use shuttle::sync::{Arc, Mutex};
use shuttle::thread;
use world::{
    Deployment, continuing_packet, flow_key, instant_ms, opener_packet, service_address, tag,
};

/// Number of interleavings per test.
const ITERATIONS: usize = 2_000;

struct ShuttleLocks;

struct ShuttleLock<T>(Mutex<T>);

impl LockFamily for ShuttleLocks {
    type Lock<T> = ShuttleLock<T>;
}

impl<T> Lock<T> for ShuttleLock<T> {
    fn new(value: T) -> Self {
        Self(Mutex::new(value))
    }

    fn with<R>(&self, change: impl FnOnce(&mut T) -> R) -> R {
        change(&mut self.0.lock().unwrap())
    }
}

fn router() -> Router<ShuttleLocks> {
    Router::new(Settings {
        shard_count: 2,
        capacity: 32,
        ..Settings::default()
    })
}

fn target(action: Action) -> Tag {
    match action {
        Action::Forward { target, .. } => target,
        Action::Drop(reason) => panic!("dropped: {reason}"),
    }
}

#[gtest]
fn openers_of_one_flow_go_to_one_target() {
    let view = Arc::new(Deployment::new(3).view());
    let run = move || {
        let router = Arc::new(router());
        let senders: Vec<_> = (0..3)
            .map(|index: u32| {
                let (router, view) = (Arc::clone(&router), Arc::clone(&view));
                thread::spawn(move || {
                    router.record_load(tag(index as usize), 1_000 * index, instant_ms(1));
                    target(router.route(
                        &opener_packet(flow_key(9), service_address(0)),
                        &view,
                        instant_ms(2),
                    ))
                })
            })
            .collect();
        let targets: Vec<Tag> = senders.into_iter().map(|s| s.join().unwrap()).collect();
        assert!(targets.iter().all(|target| *target == targets[0]));
    };
    shuttle::check_random(run, ITERATIONS);
}

#[gtest]
fn concurrent_hints_converge_on_the_established_owner() {
    let view = Arc::new(Deployment::new(3).view());
    let run = move || {
        let router = Arc::new(router());
        let threads: Vec<_> = [(0, false), (1, true), (2, false)]
            .into_iter()
            .map(|(index, established)| {
                let (router, view) = (Arc::clone(&router), Arc::clone(&view));
                thread::spawn(move || {
                    let hint = Hint {
                        flow: flow_key(9),
                        owner: tag(index),
                        established,
                        flows: 1,
                    };
                    router.apply_hint(&hint, &view, instant_ms(1));
                    router.retain_targets(&view);
                    router.route(
                        &continuing_packet(flow_key(9), service_address(0)),
                        &view,
                        instant_ms(2),
                    );
                })
            })
            .collect();
        threads
            .into_iter()
            .for_each(|thread| thread.join().unwrap());
        let last = router.route(
            &continuing_packet(flow_key(9), service_address(0)),
            &view,
            instant_ms(3),
        );
        assert_eq!(target(last), tag(1));
    };
    shuttle::check_random(run, ITERATIONS);
}
