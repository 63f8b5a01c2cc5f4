//! Many machines that know the same of engines do not all go to the same one.

use peatgrade_fleet::{choose_best_of_two, EngineSnapshot, WeightedCandidate};
use peatgrade_types::Duration;

const GATEWAYS: usize = 60;

fn engine(usual_ms: u64, occupied: u32) -> EngineSnapshot {
    EngineSnapshot {
        is_reachable: true,
        is_avoided: false,
        is_suspect: false,
        active_requests: occupied,
        slots: 6,
        slowdown: 1.0,
        mean_latency: Some(Duration::from_millis(usual_ms)),
        event_interval_us: None,
        has_peer_load: false,
        peer_failure_age: None,
    }
}

/// Numbers in 0..1 that differ from machine to machine, spread evenly.
fn draws(machine: usize) -> [f64; 2] {
    let golden = 0.618_033_988_749_895;
    let first = (machine as f64 * golden).fract();
    let second = (machine as f64 * golden * golden + 0.37).fract();
    [first, second]
}

fn weighed(engines: &[EngineSnapshot]) -> Vec<WeightedCandidate> {
    let weigh = |outlook: &EngineSnapshot| {
        let expected = outlook.expected_latency().0 as f64;
        WeightedCandidate::new(outlook, expected)
    };
    engines.iter().map(weigh).collect()
}

fn chosen(engines: &[EngineSnapshot]) -> Vec<usize> {
    let engines = weighed(engines);
    let mut counts = vec![0; engines.len()];
    for machine in 0..GATEWAYS {
        let choice = choose_best_of_two(&engines, draws(machine)).expect("there are engines");
        counts[choice] += 1;
    }
    counts
}

#[test]
fn machines_with_the_same_news_spread_over_engines_that_are_alike() {
    let counts = chosen(&[engine(20, 0); 10]);
    assert!(counts.iter().all(|count| *count > 0), "{counts:?}");
    assert!(
        counts.iter().all(|count| *count <= GATEWAYS / 4),
        "{counts:?}"
    );
}

#[test]
fn one_free_engine_among_full_ones_is_not_run_over() {
    let mut engines = vec![engine(20, 11); 10];
    engines[3] = engine(20, 0);
    let counts = chosen(&engines);
    let even = GATEWAYS / engines.len();
    assert!(counts[3] > even, "it is used more than others: {counts:?}");
    assert!(counts[3] < GATEWAYS / 2, "but not by all: {counts:?}");
}

#[test]
fn the_better_of_two_is_taken() {
    let engines = [engine(20, 0), engine(80, 0)];
    assert_eq!(chosen(&engines), [GATEWAYS, 0]);
}

#[test]
fn what_others_doubt_or_avoid_is_left_to_the_last() {
    let mut doubted = engine(5, 0);
    doubted.is_suspect = true;
    let mut avoided = engine(5, 0);
    avoided.is_avoided = true;
    assert_eq!(chosen(&[engine(90, 0), doubted, avoided]), [GATEWAYS, 0, 0]);
    assert_eq!(chosen(&[doubted, avoided]), [GATEWAYS, 0]);
    assert_eq!(chosen(&[avoided]), [GATEWAYS]);
    assert_eq!(choose_best_of_two(&[], [0.0, 0.0]), None);
}
