//! How gateways choose engines by the observations of other machines.

use crate::harness::Harness;
use peatgrade_observations::Observation;
use peatgrade_ports::{EngineLoad, Instance, RouteKind};
use std::collections::BTreeMap;

const GATEWAY_COUNT: u64 = 60;
const ENGINE_COUNT: usize = 10;
const IDLE_ENGINE: &str = "e3";

/// How many gateways choose each engine, given the observations reported of every engine.
fn choices(observations: impl Fn(&str) -> Vec<Observation>) -> BTreeMap<String, u64> {
    let mut counts = BTreeMap::new();
    for seed in 0..GATEWAY_COUNT {
        let mut harness = Harness::with_seed(RouteKind::Safe, ENGINE_COUNT, seed);
        for number in 0..ENGINE_COUNT {
            let observations = observations(&format!("e{number}"));
            let directory = &mut harness.gateway.directory;
            directory.apply_observations(harness.now, "gateway", observations);
        }
        harness.call();
        let engine = harness.requests[0].engine.as_str().to_string();
        *counts.entry(engine).or_insert(0) += 1;
    }
    counts
}

fn observation(engine: &str, source: &str) -> Observation {
    Observation {
        engine: Instance(engine.into()),
        source: source.into(),
        // The start time of the harness.
        observed_at: Harness::with_seed(RouteKind::Safe, 1, 1).now,
        ..Observation::default()
    }
}

/// Guards against a stampede when the leader reports all engines but one as full.
#[test]
fn gateways_do_not_all_choose_the_one_idle_engine() {
    let counts = choices(|engine| {
        let load = EngineLoad {
            waiting: 20,
            slowdown_percent: Some(100),
            ..EngineLoad::default()
        };
        let load = Some(load).filter(|_| engine != IDLE_ENGINE);
        vec![Observation {
            load,
            ..observation(engine, "leader")
        }]
    });
    let idle = counts[IDLE_ENGINE];
    assert!(
        idle > GATEWAY_COUNT / ENGINE_COUNT as u64,
        "the idle engine is preferred: {counts:?}"
    );
    assert!(idle < GATEWAY_COUNT, "but not by all: {counts:?}");
    assert!(counts.len() > ENGINE_COUNT / 2, "{counts:?}");
}

#[test]
fn an_engine_reported_failing_by_two_machines_is_used_only_as_a_last_resort() {
    let reported_by_two = |engine: &str| {
        let failed = |source| Observation {
            failures: 1,
            ..observation(engine, source)
        };
        vec![failed("leader"), failed("gateway-2")]
    };
    let counts = choices(|engine| {
        if engine < "e5" {
            reported_by_two(engine)
        } else {
            Vec::new()
        }
    });
    assert!(
        counts.keys().all(|engine| engine.as_str() >= "e5"),
        "{counts:?}"
    );
    // Reports of other machines alone never refuse a request.
    let total: u64 = choices(reported_by_two).values().sum();
    assert_eq!(total, GATEWAY_COUNT);
}

#[test]
fn an_engine_reported_failing_by_one_machine_is_chosen_last() {
    let counts = choices(|engine| {
        let failed = Observation {
            failures: 1,
            ..observation(engine, "leader")
        };
        Some(failed).filter(|_| engine < "e5").into_iter().collect()
    });
    assert!(
        counts.keys().all(|engine| engine.as_str() >= "e5"),
        "{counts:?}"
    );
}

/// Guards against rejecting requests after the backoff of an own failed connect has passed,
/// because other machines still report failures.
#[test]
fn reports_of_others_do_not_make_an_own_failure_last_longer() {
    let mut harness = Harness::with_seed(RouteKind::Safe, ENGINE_COUNT, 1);
    let failed_at = harness.now;
    harness.advance(2_000);
    for number in 0..ENGINE_COUNT {
        let engine = format!("e{number}");
        let directory = &mut harness.gateway.directory;
        let state = directory.get_mut(&Instance(engine.clone()));
        let state = state.expect("listed");
        state.stats.record_connect_timeout(failed_at);
        let observations = ["leader", "gateway-2"].map(|source| Observation {
            failures: 1,
            ..observation(&engine, source)
        });
        directory.apply_observations(harness.now, "gateway", observations);
    }
    harness.call();
    assert_eq!(harness.requests.len(), 1);
}
