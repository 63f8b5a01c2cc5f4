//! What an engine's own words and what was seen of it say together.

use peatgrade_fleet::EngineState;
use peatgrade_ports::{EngineLoad, EngineRecord};
use peatgrade_types::{Duration, Time};

const NOW: Time = Time(10_000_000);

fn engine(slots: u32) -> EngineState {
    EngineState {
        record: EngineRecord {
            slots,
            ..EngineRecord::default()
        },
        ..EngineState::default()
    }
}

fn load(running: u32, waiting: u32, slowdown_percent: u32) -> EngineLoad {
    EngineLoad {
        running,
        waiting,
        slots: 6,
        slowdown_percent: Some(slowdown_percent),
    }
}

#[test]
fn a_request_behind_others_is_expected_later() {
    let mut state = engine(6);
    state.stats.record_response(NOW, Duration::from_millis(20));
    assert_eq!(
        state.snapshot(NOW).expected_latency(),
        Duration::from_millis(20)
    );
    state.stats.load = Some((NOW, load(6, 5, 100)));
    let outlook = state.snapshot(NOW);
    assert_eq!(outlook.free_slots(), 0);
    assert_eq!(outlook.expected_latency(), Duration::from_millis(40));
}

#[test]
fn told_slowness_counts_until_it_is_old() {
    let mut state = engine(6);
    state.stats.record_response(NOW, Duration::from_millis(20));
    state.stats.load = Some((NOW, load(0, 0, 250)));
    assert_eq!(
        state.snapshot(NOW).expected_latency(),
        Duration::from_millis(50)
    );
    let later = NOW + Duration::from_millis(1_500);
    assert_eq!(
        state.snapshot(later).expected_latency(),
        Duration::from_millis(20)
    );
}

#[test]
fn an_engine_that_failed_is_not_sound() {
    let mut state = engine(6);
    assert!(state.snapshot(NOW).is_healthy());
    state.stats.record_failure(NOW);
    assert!(!state.snapshot(NOW).is_healthy());
    assert!(state.snapshot(NOW).is_reachable);
}
