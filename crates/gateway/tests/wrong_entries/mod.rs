//! Requests while entries of other writers name engines that are not at their addresses: no request
//! fails by them while an engine is there.

use crate::harness::Harness;
use peatgrade_ports::{EngineRecord, Instance, RouteKind};
use peatgrade_types::http::HttpStep;
use rstest::rstest;

/// Address of the engine `e0`, at which other entries stand too.
const SHARED_ADDRESS: &str = "10.0.0.0:1";

/// What a request meets at the address of an engine that is not there.
#[derive(Clone, Copy, Debug)]
enum Met {
    /// Another engine, which refuses the request.
    OtherEngine,
    /// Nobody: the connection is refused.
    Nobody,
}

fn miss(harness: &mut Harness, index: usize, met: Met) {
    match met {
        Met::OtherEngine => harness.respond(index, 421, &["id", "not-run"], ""),
        Met::Nobody => harness.fail(index, HttpStep::Refused),
    }
}

/// Adds entries at the address of `e0`.
fn add_entries(harness: &mut Harness, count: usize) {
    let directory = &harness.gateway.directory;
    let engines = (0..).map_while(|index| directory.get(&Instance(format!("e{index}"))));
    let mut records: Vec<EngineRecord> = engines.map(|state| state.record.clone()).collect();
    let engine = records[0].clone();
    records.extend((0..count).map(|index| EngineRecord {
        instance: Instance(format!("foreign-{index}")),
        address: SHARED_ADDRESS.into(),
        ..engine.clone()
    }));
    harness.gateway.directory.replace(harness.now, records);
}

/// Address of the engine that a request was sent to.
fn address(harness: &Harness, index: usize) -> String {
    let instance = Instance(harness.requests[index].engine.clone());
    let state = harness.gateway.directory.get(&instance).unwrap();
    state.record.address.clone()
}

#[rstest]
fn request_goes_on_to_the_engine_that_is_there(
    #[values(RouteKind::Safe, RouteKind::Unsafe)] kind: RouteKind,
    #[values(Met::OtherEngine, Met::Nobody)] met: Met,
) {
    let mut harness = Harness::new(kind, 9);
    harness.accepts_connections = false;
    harness.call();
    (0..8).for_each(|index| miss(&mut harness, index, met));
    harness.respond(8, 200, &["id", "signed"], "body");
    assert_eq!(harness.status(), Some(200));
}

/// Guards against a request that is sent to each entry of a long list that names no engine.
#[rstest]
fn request_ends_after_sixteen_engines_that_are_not_there(
    #[values(Met::OtherEngine, Met::Nobody)] met: Met,
) {
    let mut harness = Harness::new(RouteKind::Safe, 40);
    harness.accepts_connections = false;
    harness.call();
    (0..16).for_each(|index| miss(&mut harness, index, met));
    assert_eq!((harness.status(), harness.requests.len()), (Some(503), 16));
}

/// A connection that is not established takes a part of the caller's time, unlike one that is
/// refused.
#[test]
fn connect_timeouts_end_a_request_after_six() {
    let mut harness = Harness::new(RouteKind::Safe, 9);
    harness.accepts_connections = false;
    harness.call();
    (0..6).for_each(|_| harness.wait_for_connect_timeout());
    assert_eq!((harness.status(), harness.requests.len()), (Some(503), 6));
}

#[test]
fn refusals_by_full_engines_end_a_request_after_four() {
    let mut harness = Harness::new(RouteKind::Safe, 9);
    harness.call();
    (0..4).for_each(|index| harness.respond(index, 503, &["id", "not-run"], ""));
    assert_eq!((harness.status(), harness.requests.len()), (Some(503), 4));
}

#[rstest]
fn other_entries_at_the_same_address_come_last(#[values(Met::OtherEngine, Met::Nobody)] met: Met) {
    for seed in 0..50 {
        let mut harness = Harness::with_seed(RouteKind::Safe, 3, seed);
        harness.accepts_connections = false;
        add_entries(&mut harness, 40);
        harness.call();
        if address(&harness, 0) == SHARED_ADDRESS {
            miss(&mut harness, 0, met);
            assert_ne!(address(&harness, 1), SHARED_ADDRESS, "seed {seed}");
        }
    }
}

#[rstest]
fn engine_that_answered_is_preferred_after_one_that_is_not_there(
    #[values(Met::OtherEngine, Met::Nobody)] met: Met,
) {
    for seed in 0..50 {
        let mut harness = Harness::with_seed(RouteKind::Safe, 1, seed);
        harness.call();
        harness.respond(0, 200, &["id", "signed"], "body");
        harness.accepts_connections = false;
        add_entries(&mut harness, 40);
        harness.next_call();
        if harness.requests[1].engine != "e0" {
            miss(&mut harness, 1, met);
            assert_eq!(harness.requests[2].engine, "e0", "seed {seed}");
        }
    }
}
