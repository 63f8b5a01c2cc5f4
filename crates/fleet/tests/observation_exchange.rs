//! What this machine tells of engines, and what others make it believe.

use peatgrade_fleet::EngineDirectory;
use peatgrade_observations::{Observation, PeerHealth, ReportFilter, Urgency};
use peatgrade_ports::{EngineRecord, Instance, StartedAt};
use peatgrade_types::{Duration, Time};

const NOW: Time = Time(100_000_000);
const ME: &str = "gateway-1";

fn after(millis: u64) -> Time {
    NOW + Duration::from_millis(millis)
}

/// Engines e0, e1, ... in their first life.
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

fn seen(engine: &str, source: &str, at: Time, failures: u32) -> Observation {
    Observation {
        engine: Instance(engine.into()),
        started: Some(StartedAt(1)),
        source: source.into(),
        observed_at: at,
        failures,
        ..Observation::default()
    }
}

fn fails(directory: &mut EngineDirectory, engine: &str, at: Time) {
    let state = directory.get_mut(&Instance(engine.into()));
    state.expect("listed").stats.record_failure(at);
}

fn answers(directory: &mut EngineDirectory, engine: &str, at: Time) {
    let state = directory.get_mut(&Instance(engine.into()));
    let took = Duration::from_millis(20);
    state.expect("listed").stats.record_response(at, took);
}

fn told(
    directory: &EngineDirectory,
    teller: &mut ReportFilter,
    at: Time,
) -> Vec<(Urgency, String)> {
    let told = directory.observations_to_report(at, ME, teller).into_iter();
    told.map(|(urgency, observation)| (urgency, observation.engine.0))
        .collect()
}

fn take(directory: &mut EngineDirectory, at: Time, observations: &[Observation]) -> usize {
    let taken = directory.apply_observations(at, ME, observations.to_vec());
    taken.accepted.len()
}

fn standing(directory: &EngineDirectory, engine: &str, at: Time) -> PeerHealth {
    let state = directory.get(&Instance(engine.into())).expect("listed");
    state.peer_summary(at).health
}

#[test]
fn what_was_only_told_is_not_told_on_as_ones_own() {
    let mut directory = directory(2);
    assert_eq!(
        take(&mut directory, NOW, &[seen("e0", "leader", NOW, 1)]),
        1
    );
    assert_eq!(told(&directory, &mut ReportFilter::default(), NOW), []);
}

#[test]
fn what_comes_back_to_its_source_is_no_second_witness() {
    let mut directory = directory(2);
    fails(&mut directory, "e0", NOW);
    assert_eq!(take(&mut directory, NOW, &[seen("e0", ME, NOW, 1)]), 0);
    assert_eq!(standing(&directory, "e0", NOW), PeerHealth::Sound);
}

#[test]
fn a_report_of_an_earlier_life_is_left_out_after_a_restart() {
    let mut directory = directory(1);
    let mut old = seen("e0", "leader", NOW, 3);
    old.started = Some(StartedAt(0));
    assert_eq!(take(&mut directory, NOW, &[old]), 0);
    assert_eq!(
        take(&mut directory, NOW, &[seen("e9", "leader", NOW, 3)]),
        0
    );
}

#[test]
fn two_reports_make_an_engine_avoided_and_one_makes_it_slow() {
    let mut directory = directory(1);
    let outlook = |directory: &EngineDirectory| {
        let state = directory.get(&Instance("e0".into())).expect("listed");
        state.snapshot(after(100))
    };
    let before = outlook(&directory);
    take(&mut directory, NOW, &[seen("e0", "leader", NOW, 1)]);
    let doubted = outlook(&directory);
    assert!(doubted.is_healthy() && doubted.is_suspect);
    assert!(doubted.expected_latency() > before.expected_latency());
    assert_eq!(doubted.peer_failure_age, Some(Duration::from_millis(100)));
    take(&mut directory, NOW, &[seen("e0", "gateway-2", NOW, 1)]);
    assert!(!outlook(&directory).is_healthy());
    answers(&mut directory, "e0", after(50));
    assert!(outlook(&directory).is_healthy(), "it answered here since");
    assert!(!outlook(&directory).is_suspect);
}

#[test]
fn what_others_told_fills_in_what_was_not_seen_here() {
    let mut directory = directory(2);
    let mut told = seen("e0", "leader", NOW, 0);
    told.mean_latency = Some(Duration::from_millis(35));
    told.event_interval_us = Some(20_000.0);
    let mut other = told.clone();
    other.engine = Instance("e1".into());
    take(&mut directory, NOW, &[told, other]);
    answers(&mut directory, "e1", NOW);
    let outlook = |engine: &str| {
        let state = directory.get(&Instance(engine.into())).expect("listed");
        state.snapshot(NOW)
    };
    assert_eq!(outlook("e0").mean_latency, Some(Duration::from_millis(35)));
    assert_eq!(outlook("e0").event_interval_us, Some(20_000.0));
    // Its own measure comes first.
    assert_eq!(outlook("e1").mean_latency, Some(Duration::from_millis(20)));
}

#[test]
fn a_machine_that_sees_nearly_all_engines_fail_tells_no_failure() {
    let mut directory = directory(9);
    for index in 0..7 {
        fails(&mut directory, &format!("e{index}"), NOW);
    }
    answers(&mut directory, "e8", NOW);
    assert!(directory.suspects_local_link(NOW));
    let told = told(&directory, &mut ReportFilter::default(), NOW);
    assert_eq!(told, []);
}

#[test]
fn a_machine_behind_a_bad_link_to_some_engines_is_refuted_and_not_believed() {
    let mut directory = directory(6);
    let reports: Vec<Observation> = (0..3)
        .map(|index| seen(&format!("e{index}"), "bad-link", NOW, 1))
        .collect();
    take(&mut directory, after(10), &reports);
    assert_eq!(standing(&directory, "e2", after(20)), PeerHealth::Doubtful);
    // Two of the three answer elsewhere right after; nobody has tried the third.
    answers(&mut directory, "e0", after(200));
    let other = seen("e1", "leader", after(200), 0);
    take(&mut directory, after(300), &[other]);
    assert_eq!(standing(&directory, "e2", after(300)), PeerHealth::Sound);
}

#[test]
fn an_engine_that_answers_here_is_vouched_for_when_another_machine_accuses_it() {
    let mut directory = directory(1);
    let mut teller = ReportFilter::default();
    answers(&mut directory, "e0", NOW);
    assert_eq!(told(&directory, &mut teller, NOW), []);
    take(
        &mut directory,
        after(900),
        &[seen("e0", "gateway-2", after(900), 1)],
    );
    assert_eq!(told(&directory, &mut teller, after(1_000)), []);
    answers(&mut directory, "e0", after(1_100));
    let vouched = told(&directory, &mut teller, after(1_200));
    assert_eq!(vouched, [(Urgency::Failure, "e0".to_string())]);
}

#[test]
fn requests_left_unanswered_are_told_from_the_second_on() {
    let mut directory = directory(1);
    let mut teller = ReportFilter::default();
    let silent = |directory: &mut EngineDirectory, at| {
        let state = directory.get_mut(&Instance("e0".into()));
        state.expect("listed").stats.record_unanswered(at);
    };
    silent(&mut directory, NOW);
    assert_eq!(told(&directory, &mut teller, NOW), []);
    silent(&mut directory, after(60));
    let accused = told(&directory, &mut teller, after(60));
    assert_eq!(accused, [(Urgency::Failure, "e0".to_string())]);
    answers(&mut directory, "e0", after(300));
    let cleared = told(&directory, &mut teller, after(300));
    assert_eq!(cleared, [(Urgency::Failure, "e0".to_string())]);
}

#[test]
fn a_slow_engine_is_told_of_and_usual_ones_are_not() {
    let mut directory = directory(5);
    let answers_in = |directory: &mut EngineDirectory, engine: &str, at, millis| {
        let state = directory.get_mut(&Instance(engine.into()));
        let took = Duration::from_millis(millis);
        state.expect("listed").stats.record_response(at, took);
    };
    for (index, millis) in [20, 22, 18, 21, 60].into_iter().enumerate() {
        answers_in(&mut directory, &format!("e{index}"), NOW, millis);
    }
    let mut teller = ReportFilter::default();
    let slow = told(&directory, &mut teller, NOW);
    assert_eq!(slow, [(Urgency::Load, "e4".to_string())]);
    assert_eq!(told(&directory, &mut teller, after(600)), []);
    for index in 1..20 {
        answers_in(&mut directory, "e4", after(600 + index), 20);
    }
    let usual_again = told(&directory, &mut teller, after(700));
    assert_eq!(usual_again, [(Urgency::Load, "e4".to_string())]);
}
