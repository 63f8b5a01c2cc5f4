//! Nodes with the same information must not all choose the same engine.

use peatgrade_fleet::{choose_best_of_two, EngineSnapshot, WeightedCandidate};
use peatgrade_types::Duration;

const GATEWAYS: usize = 60;

fn engine_with(latency_ms: u64, active_requests: u32) -> EngineSnapshot {
    EngineSnapshot {
        is_reachable: true,
        is_avoided: false,
        is_suspect: false,
        active_requests,
        slots: 6,
        slowdown: 1.0,
        mean_latency: Some(Duration::from_millis(latency_ms)),
        event_interval_us: None,
        has_peer_load: false,
        peer_failure_age: None,
    }
}

/// Evenly distributed numbers in `0..1` that differ between nodes.
fn spread_pair(node: usize) -> [f64; 2] {
    let golden = 0.618_033_988_749_895;
    let first = (node as f64 * golden).fract();
    let second = (node as f64 * golden * golden + 0.37).fract();
    [first, second]
}

fn candidates(engines: &[EngineSnapshot]) -> Vec<WeightedCandidate> {
    let candidate = |engine: &EngineSnapshot| {
        let expected = engine.expected_latency().0 as f64;
        WeightedCandidate::new(engine, expected)
    };
    engines.iter().map(candidate).collect()
}

fn count_choices(engines: &[EngineSnapshot]) -> Vec<usize> {
    let engines = candidates(engines);
    let mut counts = vec![0; engines.len()];
    for node in 0..GATEWAYS {
        let index = choose_best_of_two(&engines, spread_pair(node)).expect("there are engines");
        counts[index] += 1;
    }
    counts
}

#[test]
fn nodes_spread_over_equal_engines() {
    let counts = count_choices(&[engine_with(20, 0); 10]);
    assert!(counts.iter().all(|count| *count > 0), "{counts:?}");
    assert!(
        counts.iter().all(|count| *count <= GATEWAYS / 4),
        "{counts:?}"
    );
}

#[test]
fn one_free_engine_is_not_overrun() {
    let mut engines = vec![engine_with(20, 11); 10];
    engines[3] = engine_with(20, 0);
    let counts = count_choices(&engines);
    let even = GATEWAYS / engines.len();
    assert!(counts[3] > even, "not preferred: {counts:?}");
    assert!(counts[3] < GATEWAYS / 2, "chosen by too many: {counts:?}");
}

#[test]
fn better_of_two_is_chosen() {
    let engines = [engine_with(20, 0), engine_with(80, 0)];
    assert_eq!(count_choices(&engines), [GATEWAYS, 0]);
}

#[test]
fn suspect_and_avoided_engines_are_chosen_last() {
    let mut suspect = engine_with(5, 0);
    suspect.is_suspect = true;
    let mut avoided = engine_with(5, 0);
    avoided.is_avoided = true;
    assert_eq!(
        count_choices(&[engine_with(90, 0), suspect, avoided]),
        [GATEWAYS, 0, 0]
    );
    assert_eq!(count_choices(&[suspect, avoided]), [GATEWAYS, 0]);
    assert_eq!(count_choices(&[avoided]), [GATEWAYS]);
    assert_eq!(choose_best_of_two(&[], [0.0, 0.0]), None);
}
