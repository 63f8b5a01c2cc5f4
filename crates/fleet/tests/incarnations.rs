//! State of one engine incarnation must not carry over to the next one of the same name.

use peatgrade_fleet::{EngineDirectory, Incarnation, Misdirection, StartComparison};
use peatgrade_ports::{
    EngineLoad, EngineRecord, EngineReport, EngineResponseHead, Instance, StartedAt, StoreEvent,
    StoreObject,
};
use peatgrade_quarantine::{Fingerprint, RequestParts, RetryScope};
use peatgrade_types::{Duration, Time};
use rstest::rstest;
use std::collections::BTreeMap;

const NOW: Time = Time(10_000_000);

fn name() -> Instance {
    Instance("a".into())
}

fn record(started: Option<u64>, version: u64) -> EngineRecord {
    EngineRecord {
        instance: name(),
        started: started.map(StartedAt),
        service: "s".into(),
        address: "10.0.0.1:1".into(),
        slots: 4,
        models: BTreeMap::from([("m".to_string(), version)]),
        ..EngineRecord::default()
    }
}

fn changed(record: EngineRecord) -> StoreEvent {
    StoreEvent {
        name: record.instance.0.clone(),
        object: Some(StoreObject::Engine(record)),
    }
}

/// An engine with a request in flight that has failed, is draining and is loading a model.
fn directory_with_active_engine(started: Option<u64>) -> (EngineDirectory, Incarnation) {
    let mut directory = EngineDirectory::default();
    directory.replace(NOW, vec![record(started, 7)]);
    let incarnation = directory.begin_request(NOW, &name()).unwrap();
    let state = directory.get_mut(&name()).unwrap();
    state.stats.record_response(NOW, Duration::from_millis(30));
    state
        .stats
        .record_events(NOW, Duration::from_millis(100), 10);
    state.stats.record_failure(NOW);
    state.stats.is_unreachable = true;
    state.stats.load = Some((NOW, EngineLoad::default()));
    state.loading_models = vec!["m".into()];
    state.record.draining = true;
    (directory, incarnation)
}

fn has_fresh_state(directory: &EngineDirectory) -> bool {
    let state = directory.get(&name()).unwrap();
    let stats = &state.stats;
    stats.in_flight == 0
        && stats.mean_latency_us == 0.0
        && stats.event_interval_us().is_none()
        && stats.load.is_none()
        && stats.is_healthy(NOW)
        && state.loading_models.is_empty()
        && !state.record.draining
}

#[rstest]
#[case::restart_in_a_change(true)]
#[case::restart_in_a_new_list(false)]
fn restart_resets_engine_state(#[case] as_change: bool) {
    let (mut directory, incarnation) = directory_with_active_engine(Some(5));
    let restarted = record(Some(6), 3);
    if as_change {
        directory.apply(NOW, changed(restarted));
    } else {
        directory.relist(NOW, NOW, vec![restarted], Duration::from_millis(1_200));
    }
    assert!(has_fresh_state(&directory));
    assert_eq!(directory.get(&name()).unwrap().version("m"), 3);
    assert!(directory.has_ended(&name(), incarnation));
    assert_eq!(directory.ended_incarnations(), 1);
    assert_eq!(directory.len(), 1);
}

#[rstest]
#[case::same_start(Some(5), Some(5))]
#[case::entry_without_start(Some(5), None)]
#[case::start_not_known_before(None, Some(5))]
fn running_engine_keeps_its_state(#[case] known: Option<u64>, #[case] listed: Option<u64>) {
    let (mut directory, incarnation) = directory_with_active_engine(known);
    directory.apply(NOW, changed(record(listed, 3)));
    let state = directory.get(&name()).unwrap();
    assert_eq!(state.stats.in_flight, 1);
    assert!(state.record.draining, "draining must not be revoked");
    assert_eq!(state.version("m"), 7, "the list lags behind");
    assert!(!directory.has_ended(&name(), incarnation));
    assert_eq!(state.record.started, Some(StartedAt(5)));
}

#[test]
fn delayed_heartbeat_of_earlier_incarnation_is_ignored() {
    let (mut directory, _) = directory_with_active_engine(Some(5));
    directory.apply(NOW, changed(record(Some(6), 3)));
    let late = EngineRecord {
        draining: true,
        address: "10.0.0.9:1".into(),
        ..record(Some(5), 9)
    };
    directory.apply(NOW, changed(late));
    let state = directory.get(&name()).unwrap();
    assert_eq!(state.version("m"), 3);
    assert_eq!(state.record.address, "10.0.0.1:1");
    assert!(!state.record.draining);
}

#[test]
fn requests_of_ended_incarnation_are_not_counted() {
    let (mut directory, incarnation) = directory_with_active_engine(Some(5));
    directory.apply(NOW, changed(record(Some(6), 3)));
    let next = directory.begin_request(NOW, &name()).unwrap();
    directory.end_request(&name(), incarnation);
    assert_eq!(directory.get(&name()).unwrap().stats.in_flight, 1);
    assert!(directory.incarnation_mut(&name(), incarnation).is_none());
    directory.end_request(&name(), next);
    assert_eq!(directory.get(&name()).unwrap().stats.in_flight, 0);
}

#[rstest]
#[case::later_start(6, StartComparison::Later, 4)]
#[case::same_start(5, StartComparison::Same, 7)]
#[case::earlier_start(4, StartComparison::Earlier, 7)]
fn report_is_compared_by_start(
    #[case] started: u64,
    #[case] expected: StartComparison,
    #[case] version: u64,
) {
    let (mut directory, incarnation) = directory_with_active_engine(Some(5));
    let report = EngineReport {
        started: Some(StartedAt(started)),
        models: BTreeMap::from([("m".to_string(), 4)]),
        ..EngineReport::default()
    };
    assert_eq!(directory.record_report(NOW, &name(), &report), expected);
    let state = directory.get(&name()).unwrap();
    assert_eq!(state.version("m"), version);
    assert_eq!(
        directory.has_ended(&name(), incarnation),
        expected == StartComparison::Later
    );
    assert!(state.record.draining, "a report must not change draining");
}

fn misdirected_head(responder: Option<&str>) -> EngineResponseHead {
    EngineResponseHead {
        status: 421,
        not_run: true,
        reads_as_misdirected: true,
        instance: responder.map(|name| Instance(name.into())),
        ..EngineResponseHead::default()
    }
}

#[rstest]
#[case::unnamed_instance(None, None, Some(Misdirection::WrongEngine))]
#[case::other_instance(Some("b"), None, Some(Misdirection::WrongEngine))]
#[case::missing_version(None, Some(3), Some(Misdirection::VersionMismatch))]
#[case::missing_version_with_own_name(Some("a"), Some(3), Some(Misdirection::VersionMismatch))]
#[case::other_instance_with_required_version(Some("b"), Some(3), Some(Misdirection::WrongEngine))]
fn misdirected_response_is_classified(
    #[case] responder: Option<&str>,
    #[case] version: Option<u64>,
    #[case] expected: Option<Misdirection>,
) {
    let (mut directory, incarnation) = directory_with_active_engine(Some(5));
    let head = misdirected_head(responder);
    assert_eq!(
        directory.record_response_head(NOW, &name(), incarnation, &head, version),
        expected
    );
    let state = directory.get(&name()).unwrap();
    let is_wrong_engine = expected == Some(Misdirection::WrongEngine);
    assert_eq!(state.is_absent(NOW), is_wrong_engine);
    assert!(!is_wrong_engine || !state.snapshot(NOW).is_reachable);
    let is_other_instance = responder == Some("b");
    assert_eq!(
        directory.has_ended(&name(), incarnation),
        is_other_instance,
        "another instance at the address ends the incarnation"
    );
}

/// Sends requests to an absent engine, each as soon as the last is answered, and counts them.
fn count_requests(directory: &mut EngineDirectory, span: Duration) -> usize {
    let mut sent = 0;
    let mut now = NOW;
    while now < NOW + span {
        if !directory.get(&name()).unwrap().is_absent(now) {
            let incarnation = directory.begin_request(now, &name()).unwrap();
            assert!(
                directory.get(&name()).unwrap().is_absent(now) || sent == 0,
                "a probe must be the only request"
            );
            directory.record_response_head(
                now,
                &name(),
                incarnation,
                &misdirected_head(None),
                None,
            );
            directory.end_request(&name(), incarnation);
            sent += 1;
        }
        now += Duration::from_millis(5);
    }
    sent
}

/// Guards against a leader that keeps sending items to an engine that rejects all of them.
#[test]
fn absent_engine_is_probed_with_backoff() {
    let mut directory = EngineDirectory::default();
    directory.replace(NOW, vec![record(Some(5), 1)]);
    assert_eq!(
        count_requests(&mut directory, Duration::from_millis(4_000)),
        4
    );
}

#[test]
fn responses_to_concurrent_requests_extend_backoff_once() {
    let mut directory = EngineDirectory::default();
    directory.replace(NOW, vec![record(Some(5), 1)]);
    let incarnation = directory.begin_request(NOW, &name()).unwrap();
    for _ in 0..20 {
        directory.record_response_head(NOW, &name(), incarnation, &misdirected_head(None), None);
    }
    let after_first_pause = NOW + Duration::from_millis(500);
    assert!(!directory.get(&name()).unwrap().is_absent(after_first_pause));
}

#[rstest]
#[case::new_start(EngineRecord { started: Some(StartedAt(6)), ..record(Some(5), 1) })]
#[case::new_address(EngineRecord { address: "10.0.0.2:1".into(), ..record(Some(5), 1) })]
fn updated_entry_ends_backoff_of_absent_engine(#[case] updated: EngineRecord) {
    let mut directory = EngineDirectory::default();
    directory.replace(NOW, vec![record(Some(5), 1)]);
    let incarnation = directory.incarnation(&name()).unwrap();
    directory.record_response_head(NOW, &name(), incarnation, &misdirected_head(None), None);
    directory.apply(NOW, changed(record(Some(5), 1)));
    assert!(
        directory.get(&name()).unwrap().is_absent(NOW),
        "an unchanged entry must not end the backoff"
    );
    directory.apply(NOW, changed(updated));
    assert!(!directory.get(&name()).unwrap().is_absent(NOW));
}

#[test]
fn response_ends_absence() {
    let mut directory = EngineDirectory::default();
    directory.replace(NOW, vec![record(Some(5), 1)]);
    let incarnation = directory.incarnation(&name()).unwrap();
    directory.record_response_head(NOW, &name(), incarnation, &misdirected_head(None), None);
    let full = EngineResponseHead {
        status: 503,
        not_run: true,
        ..EngineResponseHead::default()
    };
    directory.record_response_head(NOW, &name(), incarnation, &full, None);
    assert!(!directory.get(&name()).unwrap().is_absent(NOW));
    assert_eq!(directory.absent_count(NOW), 0);
}

fn request() -> Fingerprint {
    Fingerprint::of(&RequestParts {
        method: "POST",
        host: "h",
        path: "/p",
        headers: &[],
        body: b"",
        tenant: "",
    })
}

#[rstest]
#[case::crash(false, 1)]
#[case::announced_exit(true, 0)]
fn interrupted_run_counts_as_crash_after_restart(
    #[case] is_draining: bool,
    #[case] crashes: usize,
    #[values(true, false)] interrupted_first: bool,
) {
    let mut directory = EngineDirectory::default();
    let before = EngineRecord {
        draining: is_draining,
        ..record(Some(5), 1)
    };
    directory.replace(NOW, vec![before]);
    let incarnation = directory.begin_request(NOW, &name()).unwrap();
    let interrupt_run = |directory: &mut EngineDirectory| {
        directory.record_interrupted_run(NOW, &name(), incarnation, request(), RetryScope::AnyNode);
    };
    if interrupted_first {
        interrupt_run(&mut directory);
    }
    directory.apply(NOW, changed(record(Some(6), 1)));
    if !interrupted_first {
        interrupt_run(&mut directory);
    }
    assert_eq!(directory.quarantine.crash_count(request()), crashes);
    assert!(directory.quarantine.take_due_probes(NOW).is_empty());
}

#[test]
fn unreadable_entry_removes_engine() {
    let mut directory = EngineDirectory::default();
    let other = EngineRecord {
        instance: Instance("b".into()),
        ..record(None, 1)
    };
    directory.replace(NOW, vec![record(None, 1), other]);
    let unreadable = StoreEvent {
        name: "a".into(),
        object: Some(StoreObject::Unreadable {
            name: "a".into(),
            revision: None,
            reason: "no service".into(),
        }),
    };
    assert_eq!(directory.apply(NOW, unreadable), Some(name()));
    let names: Vec<&str> = directory
        .serving("s")
        .map(|state| state.record.instance.0.as_str())
        .collect();
    assert_eq!(names, ["b"]);
}

#[test]
fn engines_of_unconfigured_services_are_excluded() {
    let mut directory = EngineDirectory::default();
    let foreign = EngineRecord {
        instance: Instance("b".into()),
        service: "unconfigured".into(),
        slots: u32::MAX,
        ..record(None, 1)
    };
    directory.replace(NOW, vec![record(None, 1), foreign]);
    directory.set_services(["s".to_string()].iter());
    assert_eq!(directory.iter().count(), 1);
    directory.set_services(["s".to_string(), "unconfigured".to_string()].iter());
    assert_eq!(directory.iter().count(), 2, "configured services count");
}

/// The only engine of a service crashes on the request after each restart.
#[test]
fn each_crash_of_an_engine_counts() {
    let mut directory = EngineDirectory::default();
    directory.replace(NOW, vec![record(Some(5), 1)]);
    for started in 6..9 {
        let incarnation = directory.begin_request(NOW, &name()).unwrap();
        directory.record_interrupted_run(NOW, &name(), incarnation, request(), RetryScope::AnyNode);
        // Nothing listens at its address until it has restarted.
        directory.engine_unreachable(NOW, &name());
        directory.apply(NOW, changed(record(Some(started), 1)));
    }
    assert_eq!(directory.quarantine.crash_count(request()), 3);
}

#[test]
fn crash_seen_by_two_nodes_counts_once() {
    let mut nodes = [EngineDirectory::default(), EngineDirectory::default()];
    for directory in &mut nodes {
        directory.replace(NOW, vec![record(Some(5), 1)]);
        let incarnation = directory.begin_request(NOW, &name()).unwrap();
        directory.record_interrupted_run(NOW, &name(), incarnation, request(), RetryScope::AnyNode);
    }
    let [first, second] = &mut nodes;
    first.engine_unreachable(NOW, &name());
    second.apply(NOW, changed(record(Some(6), 1)));
    let records = second.quarantine.records(NOW);
    first.quarantine.merge(NOW, &records, "second");
    assert_eq!(first.quarantine.crash_count(request()), 1);
}
