//! The snapshot combines the load that an engine reports with local statistics.

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
fn queued_requests_increase_expected_latency() {
    let mut state = engine(6);
    state.stats.record_response(NOW, Duration::from_millis(20));
    assert_eq!(
        state.snapshot(NOW).expected_latency(),
        Duration::from_millis(20)
    );
    state.stats.load = Some((NOW, load(6, 5, 100)));
    let snapshot = state.snapshot(NOW);
    assert_eq!(snapshot.free_slots(), 0);
    assert_eq!(snapshot.expected_latency(), Duration::from_millis(40));
}

#[test]
fn reported_slowdown_counts_until_it_expires() {
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
fn failed_engine_is_not_healthy() {
    let mut state = engine(6);
    assert!(state.snapshot(NOW).is_healthy());
    state.stats.record_failure(NOW);
    assert!(!state.snapshot(NOW).is_healthy());
    assert!(state.snapshot(NOW).is_reachable);
}
