//! Gateways that know the same of engines, because others told them.

use crate::harness::Harness;
use peatgrade_observations::Observation;
use peatgrade_ports::{EngineLoad, Instance, RouteKind};
use std::collections::BTreeMap;

const GATEWAYS: u64 = 60;
const ENGINES: usize = 10;
const FREE: &str = "e3";

/// What each of the gateways chooses that were told `told` of each engine.
fn choices(told: impl Fn(&str) -> Vec<Observation>) -> BTreeMap<String, u64> {
    let mut choices = BTreeMap::new();
    for seed in 0..GATEWAYS {
        let mut harness = Harness::with_seed(RouteKind::Safe, ENGINES, seed);
        for number in 0..ENGINES {
            let observations = told(&format!("e{number}"));
            let directory = &mut harness.gateway.directory;
            directory.take_observations(harness.now, "gateway", observations);
        }
        harness.call();
        let engine = harness.requests[0].engine.as_str().to_string();
        *choices.entry(engine).or_insert(0) += 1;
    }
    choices
}

fn observation(engine: &str, source: &str) -> Observation {
    Observation {
        engine: Instance(engine.into()),
        source: source.into(),
        // The scene begins later than this.
        seen: Harness::with_seed(RouteKind::Safe, 1, 1).now,
        ..Observation::default()
    }
}

/// All are told by the leader that nine of ten engines are full.
#[test]
fn gateways_do_not_all_choose_the_one_idle_engine() {
    let choices = choices(|engine| {
        let load = EngineLoad {
            waiting: 20,
            slowdown_percent: Some(100),
            ..EngineLoad::default()
        };
        let load = Some(load).filter(|_| engine != FREE);
        vec![Observation {
            load,
            ..observation(engine, "leader")
        }]
    });
    let free = choices[FREE];
    assert!(
        free > GATEWAYS / ENGINES as u64,
        "it is preferred: {choices:?}"
    );
    assert!(free < GATEWAYS, "but not by all: {choices:?}");
    assert!(choices.len() > ENGINES / 2, "{choices:?}");
}

#[test]
fn an_engine_reported_failing_by_two_machines_is_used_only_as_a_last_resort() {
    let fails = |engine: &str| {
        let failed = |source| Observation {
            failures: 1,
            ..observation(engine, source)
        };
        vec![failed("leader"), failed("gateway-2")]
    };
    let some = choices(|engine| {
        if engine < "e5" {
            fails(engine)
        } else {
            Vec::new()
        }
    });
    assert!(
        some.keys().all(|engine| engine.as_str() >= "e5"),
        "{some:?}"
    );
    // What was told alone refuses nobody.
    let all: u64 = choices(fails).values().sum();
    assert_eq!(all, GATEWAYS);
}

#[test]
fn an_engine_reported_failing_by_one_machine_is_chosen_last() {
    let doubted = choices(|engine| {
        let failed = Observation {
            failures: 1,
            ..observation(engine, "leader")
        };
        Some(failed).filter(|_| engine < "e5").into_iter().collect()
    });
    assert!(
        doubted.keys().all(|engine| engine.as_str() >= "e5"),
        "{doubted:?}"
    );
}

/// No connection came up to any engine a while ago, and others still tell that all fail:
/// the own wait is over, so the request is offered, not rejected.
#[test]
fn reports_of_others_do_not_make_an_own_failure_last_longer() {
    let mut harness = Harness::with_seed(RouteKind::Safe, ENGINES, 1);
    let failed_at = harness.now;
    harness.advance(2_000);
    for number in 0..ENGINES {
        let engine = format!("e{number}");
        let directory = &mut harness.gateway.directory;
        let state = directory.get_mut(&Instance(engine.clone()));
        let state = state.expect("listed");
        state.experience.did_not_connect(failed_at);
        let told = ["leader", "gateway-2"].map(|source| Observation {
            failures: 1,
            ..observation(&engine, source)
        });
        directory.take_observations(harness.now, "gateway", told);
    }
    harness.call();
    assert_eq!(harness.requests.len(), 1);
}
