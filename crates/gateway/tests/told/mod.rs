//! Gateways that know the same of engines, because others told them.

use crate::scene::Scene;
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
        let mut scene = Scene::seeded(RouteKind::Safe, ENGINES, seed);
        for number in 0..ENGINES {
            let observations = told(&format!("e{number}"));
            let directory = &mut scene.gateway.directory;
            directory.apply_observations(scene.now, "gateway", observations);
        }
        scene.call();
        let engine = scene.sent[0].engine.as_str().to_string();
        *choices.entry(engine).or_insert(0) += 1;
    }
    choices
}

fn observation(engine: &str, source: &str) -> Observation {
    Observation {
        engine: Instance(engine.into()),
        source: source.into(),
        // The scene begins later than this.
        observed_at: Scene::seeded(RouteKind::Safe, 1, 1).now,
        ..Observation::default()
    }
}

/// All are told by the leader that nine of ten engines are full.
#[test]
fn gateways_that_were_told_of_one_free_engine_do_not_all_go_there() {
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
fn an_engine_that_two_machines_saw_fail_is_left_alone_until_no_other_is_left() {
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
fn an_engine_that_one_machine_saw_fail_is_chosen_after_the_others() {
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
fn what_others_told_does_not_make_an_own_failure_last_longer() {
    let mut scene = Scene::seeded(RouteKind::Safe, ENGINES, 1);
    let failed_at = scene.now;
    scene.wait(2_000);
    for number in 0..ENGINES {
        let engine = format!("e{number}");
        let directory = &mut scene.gateway.directory;
        let state = directory.get_mut(&Instance(engine.clone()));
        let state = state.expect("listed");
        state.stats.record_connect_timeout(failed_at);
        let told = ["leader", "gateway-2"].map(|source| Observation {
            failures: 1,
            ..observation(&engine, source)
        });
        directory.apply_observations(scene.now, "gateway", told);
    }
    scene.call();
    assert_eq!(scene.sent.len(), 1);
}
