//! Requests while entries of other writers name engines that are not at their addresses: each
//! entry costs a refusal, and no request fails by them while an engine is there.

use crate::harness::Harness;
use peatgrade_ports::{EngineRecord, Instance, RouteKind};
use rstest::rstest;

/// Address of the engine `e0`, at which other entries stand too.
const SHARED_ADDRESS: &str = "10.0.0.0:1";

fn respond_misdirected(harness: &mut Harness, index: usize) {
    harness.respond(index, 421, &["id", "not-run"], "");
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
fn misdirected_requests_go_on_to_the_engine_that_is_there(
    #[values(RouteKind::Safe, RouteKind::Unsafe)] kind: RouteKind,
) {
    let mut harness = Harness::new(kind, 9);
    harness.call();
    (0..8).for_each(|index| respond_misdirected(&mut harness, index));
    harness.respond(8, 200, &["id", "signed"], "body");
    assert_eq!(harness.status(), Some(200));
}

/// Guards against a request that is sent to each entry of a long list that names no engine.
#[test]
fn misdirected_requests_end_after_sixteen_refusals() {
    let mut harness = Harness::new(RouteKind::Safe, 40);
    harness.call();
    (0..16).for_each(|index| respond_misdirected(&mut harness, index));
    assert_eq!((harness.status(), harness.requests.len()), (Some(503), 16));
}

#[test]
fn refusals_by_full_engines_end_a_request_after_four() {
    let mut harness = Harness::new(RouteKind::Safe, 9);
    harness.call();
    (0..4).for_each(|index| harness.respond(index, 503, &["id", "not-run"], ""));
    assert_eq!((harness.status(), harness.requests.len()), (Some(503), 4));
}

#[test]
fn address_of_a_misdirected_request_comes_last() {
    for seed in 0..50 {
        let mut harness = Harness::with_seed(RouteKind::Safe, 3, seed);
        add_entries(&mut harness, 40);
        harness.call();
        if address(&harness, 0) == SHARED_ADDRESS {
            respond_misdirected(&mut harness, 0);
            assert_ne!(address(&harness, 1), SHARED_ADDRESS, "seed {seed}");
        }
    }
}

#[test]
fn engine_that_answered_is_preferred_after_a_misdirected_request() {
    for seed in 0..50 {
        let mut harness = Harness::with_seed(RouteKind::Safe, 1, seed);
        harness.call();
        harness.respond(0, 200, &["id", "signed"], "body");
        add_entries(&mut harness, 40);
        harness.next_call();
        if harness.requests[1].engine != "e0" {
            respond_misdirected(&mut harness, 1);
            assert_eq!(harness.requests[2].engine, "e0", "seed {seed}");
        }
    }
}
