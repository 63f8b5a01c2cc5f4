//! Observations reported to peers and applied from them.

use peatgrade_fleet::EngineDirectory;
use peatgrade_observations::{Observation, PeerHealth, ReportFilter, Urgency};
use peatgrade_ports::{EngineRecord, Instance, StartedAt};
use peatgrade_types::{Duration, Time};

const NOW: Time = Time(100_000_000);
const ME: &str = "gateway-1";

fn after(millis: u64) -> Time {
    NOW + Duration::from_millis(millis)
}

/// Engines e0, e1, ... in their first incarnation.
fn directory(count: usize) -> EngineDirectory {
    let mut directory = EngineDirectory::default();
    let records = (0..count).map(|index| EngineRecord {
        instance: Instance(format!("e{index}")),
        started: Some(StartedAt(1)),
        service: "application".into(),
        slots: 6,
        ..EngineRecord::default()
    });
    directory.replace(NOW, records.collect());
    directory
}

fn observation(engine: &str, source: &str, at: Time, failures: u32) -> Observation {
    Observation {
        engine: Instance(engine.into()),
        started: Some(StartedAt(1)),
        source: source.into(),
        observed_at: at,
        failures,
        ..Observation::default()
    }
}

fn record_failure_at(directory: &mut EngineDirectory, engine: &str, at: Time) {
    let state = directory.get_mut(&Instance(engine.into()));
    state.expect("listed").stats.record_failure(at);
}

fn record_response_at(directory: &mut EngineDirectory, engine: &str, at: Time) {
    let state = directory.get_mut(&Instance(engine.into()));
    let latency = Duration::from_millis(20);
    state.expect("listed").stats.record_response(at, latency);
}

fn reported(
    directory: &EngineDirectory,
    filter: &mut ReportFilter,
    at: Time,
) -> Vec<(Urgency, String)> {
    let reports = directory.observations_to_report(at, ME, filter).into_iter();
    reports
        .map(|(urgency, observation)| (urgency, observation.engine.0))
        .collect()
}

fn apply(directory: &mut EngineDirectory, at: Time, observations: &[Observation]) -> usize {
    let outcome = directory.apply_observations(at, ME, observations.to_vec());
    outcome.accepted.len()
}

fn health(directory: &EngineDirectory, engine: &str, at: Time) -> PeerHealth {
    let state = directory.get(&Instance(engine.into())).expect("listed");
    state.peer_summary(at).health
}

#[test]
fn reports_of_peers_are_not_reported_as_own() {
    let mut directory = directory(2);
    assert_eq!(
        apply(&mut directory, NOW, &[observation("e0", "leader", NOW, 1)]),
        1
    );
    assert_eq!(reported(&directory, &mut ReportFilter::default(), NOW), []);
}

#[test]
fn own_report_is_ignored_when_it_returns() {
    let mut directory = directory(2);
    record_failure_at(&mut directory, "e0", NOW);
    assert_eq!(
        apply(&mut directory, NOW, &[observation("e0", ME, NOW, 1)]),
        0
    );
    assert_eq!(health(&directory, "e0", NOW), PeerHealth::Sound);
}

#[test]
fn reports_of_earlier_incarnations_and_unknown_engines_are_ignored() {
    let mut directory = directory(1);
    let mut old = observation("e0", "leader", NOW, 3);
    old.started = Some(StartedAt(0));
    assert_eq!(apply(&mut directory, NOW, &[old]), 0);
    assert_eq!(
        apply(&mut directory, NOW, &[observation("e9", "leader", NOW, 3)]),
        0
    );
}

#[test]
fn one_report_makes_engine_suspect_and_two_make_it_avoided() {
    let mut directory = directory(1);
    let snapshot_of = |directory: &EngineDirectory| {
        let state = directory.get(&Instance("e0".into())).expect("listed");
        state.snapshot(after(100))
    };
    let before = snapshot_of(&directory);
    apply(&mut directory, NOW, &[observation("e0", "leader", NOW, 1)]);
    let suspect = snapshot_of(&directory);
    assert!(suspect.is_healthy() && suspect.is_suspect);
    assert!(suspect.expected_latency() > before.expected_latency());
    assert_eq!(suspect.peer_failure_age, Some(Duration::from_millis(100)));
    apply(
        &mut directory,
        NOW,
        &[observation("e0", "gateway-2", NOW, 1)],
    );
    assert!(!snapshot_of(&directory).is_healthy());
    record_response_at(&mut directory, "e0", after(50));
    assert!(
        snapshot_of(&directory).is_healthy(),
        "a later local response overrides reports"
    );
    assert!(!snapshot_of(&directory).is_suspect);
}

#[test]
fn peer_values_are_used_without_local_ones() {
    let mut directory = directory(2);
    let mut of_unused = observation("e0", "leader", NOW, 0);
    of_unused.mean_latency = Some(Duration::from_millis(35));
    of_unused.event_interval_us = Some(20_000.0);
    let mut of_used = of_unused.clone();
    of_used.engine = Instance("e1".into());
    apply(&mut directory, NOW, &[of_unused, of_used]);
    record_response_at(&mut directory, "e1", NOW);
    let snapshot_of = |engine: &str| {
        let state = directory.get(&Instance(engine.into())).expect("listed");
        state.snapshot(NOW)
    };
    assert_eq!(
        snapshot_of("e0").mean_latency,
        Some(Duration::from_millis(35))
    );
    assert_eq!(snapshot_of("e0").event_interval_us, Some(20_000.0));
    // The local measurement has precedence.
    assert_eq!(
        snapshot_of("e1").mean_latency,
        Some(Duration::from_millis(20))
    );
}

#[test]
fn node_with_suspect_link_reports_no_failure() {
    let mut directory = directory(9);
    for index in 0..7 {
        record_failure_at(&mut directory, &format!("e{index}"), NOW);
    }
    record_response_at(&mut directory, "e8", NOW);
    assert!(directory.suspects_local_link(NOW));
    let reports = reported(&directory, &mut ReportFilter::default(), NOW);
    assert_eq!(reports, []);
}

#[test]
fn contradicted_source_is_not_trusted() {
    let mut directory = directory(6);
    let reports: Vec<Observation> = (0..3)
        .map(|index| observation(&format!("e{index}"), "bad-link", NOW, 1))
        .collect();
    apply(&mut directory, after(10), &reports);
    assert_eq!(health(&directory, "e2", after(20)), PeerHealth::Doubtful);
    // Shortly after, e0 answers this node and e1 the leader; only the source has tried e2.
    record_response_at(&mut directory, "e0", after(200));
    let other = observation("e1", "leader", after(200), 0);
    apply(&mut directory, after(300), &[other]);
    assert_eq!(health(&directory, "e2", after(300)), PeerHealth::Sound);
}

#[test]
fn response_after_peer_failure_is_reported() {
    let mut directory = directory(1);
    let mut filter = ReportFilter::default();
    record_response_at(&mut directory, "e0", NOW);
    assert_eq!(reported(&directory, &mut filter, NOW), []);
    apply(
        &mut directory,
        after(900),
        &[observation("e0", "gateway-2", after(900), 1)],
    );
    assert_eq!(reported(&directory, &mut filter, after(1_000)), []);
    record_response_at(&mut directory, "e0", after(1_100));
    let contradiction = reported(&directory, &mut filter, after(1_200));
    assert_eq!(contradiction, [(Urgency::Failure, "e0".to_string())]);
}

#[test]
fn unanswered_requests_are_reported_from_the_second_on() {
    let mut directory = directory(1);
    let mut filter = ReportFilter::default();
    let leave_unanswered = |directory: &mut EngineDirectory, at| {
        let state = directory.get_mut(&Instance("e0".into()));
        state.expect("listed").stats.record_unanswered(at);
    };
    leave_unanswered(&mut directory, NOW);
    assert_eq!(reported(&directory, &mut filter, NOW), []);
    leave_unanswered(&mut directory, after(60));
    let failure = reported(&directory, &mut filter, after(60));
    assert_eq!(failure, [(Urgency::Failure, "e0".to_string())]);
    record_response_at(&mut directory, "e0", after(300));
    let recovery = reported(&directory, &mut filter, after(300));
    assert_eq!(recovery, [(Urgency::Failure, "e0".to_string())]);
}

#[test]
fn only_slow_engines_are_reported() {
    let mut directory = directory(5);
    let record_latency = |directory: &mut EngineDirectory, engine: &str, at, millis| {
        let state = directory.get_mut(&Instance(engine.into()));
        let latency = Duration::from_millis(millis);
        state.expect("listed").stats.record_response(at, latency);
    };
    for (index, millis) in [20, 22, 18, 21, 60].into_iter().enumerate() {
        record_latency(&mut directory, &format!("e{index}"), NOW, millis);
    }
    let mut filter = ReportFilter::default();
    let slow = reported(&directory, &mut filter, NOW);
    assert_eq!(slow, [(Urgency::Load, "e4".to_string())]);
    assert_eq!(reported(&directory, &mut filter, after(600)), []);
    for index in 1..20 {
        record_latency(&mut directory, "e4", after(600 + index), 20);
    }
    let normal_again = reported(&directory, &mut filter, after(700));
    assert_eq!(normal_again, [(Urgency::Load, "e4".to_string())]);
}
