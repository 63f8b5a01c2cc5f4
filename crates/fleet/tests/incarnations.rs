//! An engine may start again under its name: nothing of the life before holds.

use peatgrade_fleet::{EngineDirectory, Incarnation, Misdirection, StartComparison};
use peatgrade_ports::{
    AnswerHead, EngineLoad, EngineRecord, EngineReport, Instance, StartedAt, StoreEvent,
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

/// An engine that has been used: it runs one request, has failed, is leaving and loads.
fn used(started: Option<u64>) -> (EngineDirectory, Incarnation) {
    let mut directory = EngineDirectory::default();
    directory.replace(NOW, vec![record(started, 7)]);
    let life = directory.begin_request(NOW, &name()).unwrap();
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
    (directory, life)
}

fn is_new(directory: &EngineDirectory) -> bool {
    let state = directory.get(&name()).unwrap();
    let experience = &state.stats;
    experience.in_flight == 0
        && experience.mean_latency_us == 0.0
        && experience.event_interval_us().is_none()
        && experience.load.is_none()
        && experience.is_healthy(NOW)
        && state.loading_models.is_empty()
        && !state.record.draining
}

#[rstest]
#[case::another_start_in_the_list(true)]
#[case::another_start_in_a_new_list(false)]
fn what_was_believed_of_an_engine_ends_with_its_life(#[case] as_change: bool) {
    let (mut directory, life) = used(Some(5));
    let again = record(Some(6), 3);
    if as_change {
        directory.apply(NOW, changed(again));
    } else {
        directory.relist(NOW, NOW, vec![again], Duration::from_millis(1_200));
    }
    assert!(is_new(&directory));
    assert_eq!(directory.get(&name()).unwrap().version("m"), 3);
    assert!(directory.has_ended(&name(), life));
    assert_eq!(directory.ended_incarnations(), 1);
    assert_eq!(directory.len(), 1);
}

#[rstest]
#[case::the_same(Some(5), Some(5))]
#[case::the_entry_does_not_say(Some(5), None)]
#[case::it_was_not_known(None, Some(5))]
fn an_engine_that_goes_on_keeps_what_is_believed(
    #[case] known: Option<u64>,
    #[case] told: Option<u64>,
) {
    let (mut directory, life) = used(known);
    directory.apply(NOW, changed(record(told, 3)));
    let state = directory.get(&name()).unwrap();
    assert_eq!(state.stats.in_flight, 1);
    assert!(state.record.draining, "it can't come back from that");
    assert_eq!(state.version("m"), 7, "the list lags behind");
    assert!(!directory.has_ended(&name(), life));
    assert_eq!(state.record.started, Some(StartedAt(5)));
}

#[test]
fn a_heartbeat_of_an_earlier_life_changes_nothing() {
    let (mut directory, _) = used(Some(5));
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
fn requests_of_an_earlier_life_do_not_count_in_the_next() {
    let (mut directory, life) = used(Some(5));
    directory.apply(NOW, changed(record(Some(6), 3)));
    let next = directory.begin_request(NOW, &name()).unwrap();
    directory.end_request(&name(), life);
    assert_eq!(directory.get(&name()).unwrap().stats.in_flight, 1);
    assert!(directory.incarnation_mut(&name(), life).is_none());
    directory.end_request(&name(), next);
    assert_eq!(directory.get(&name()).unwrap().stats.in_flight, 0);
}

#[rstest]
#[case::later(6, StartComparison::Later, 4)]
#[case::the_same(5, StartComparison::Same, 7)]
#[case::overtaken(4, StartComparison::Earlier, 7)]
fn an_engines_own_report_tells_of_its_life(
    #[case] started: u64,
    #[case] expected: StartComparison,
    #[case] version: u64,
) {
    let (mut directory, life) = used(Some(5));
    let report = EngineReport {
        started: Some(StartedAt(started)),
        models: BTreeMap::from([("m".to_string(), 4)]),
        ..EngineReport::default()
    };
    assert_eq!(directory.record_report(NOW, &name(), &report), expected);
    let state = directory.get(&name()).unwrap();
    assert_eq!(state.version("m"), version);
    assert_eq!(
        directory.has_ended(&name(), life),
        expected == StartComparison::Later
    );
    assert!(
        state.record.draining,
        "whether it may be used is for its entry to say"
    );
}

fn misdirected(told: Option<&str>) -> AnswerHead {
    AnswerHead {
        status: 421,
        misdirected: true,
        instance: told.map(|told| Instance(told.into())),
        ..AnswerHead::default()
    }
}

#[rstest]
#[case::nobody_of_that_name(None, None, Some(Misdirection::WrongEngine))]
#[case::another_engine(Some("b"), None, Some(Misdirection::WrongEngine))]
#[case::other_weights(None, Some(3), Some(Misdirection::VersionMismatch))]
#[case::other_weights_of_its_own(Some("a"), Some(3), Some(Misdirection::VersionMismatch))]
#[case::another_engine_whatever_its_weights(Some("b"), Some(3), Some(Misdirection::WrongEngine))]
fn a_misdirected_answer_says_who_is_there(
    #[case] told: Option<&str>,
    #[case] version: Option<u64>,
    #[case] expected: Option<Misdirection>,
) {
    let (mut directory, life) = used(Some(5));
    let head = misdirected(told);
    assert_eq!(
        directory.record_response_head(NOW, &name(), life, &head, version),
        expected
    );
    let state = directory.get(&name()).unwrap();
    let not_there = expected == Some(Misdirection::WrongEngine);
    assert_eq!(state.is_absent(NOW), not_there);
    assert!(!not_there || !state.snapshot(NOW).is_reachable);
    let is_another = told == Some("b");
    assert_eq!(directory.has_ended(&name(), life), is_another, "it is gone");
}

/// Requests to an engine that is not there, one as soon as the last is answered.
fn tries(directory: &mut EngineDirectory, span: Duration) -> usize {
    let mut sent = 0;
    let mut now = NOW;
    while now < NOW + span {
        if !directory.get(&name()).unwrap().is_absent(now) {
            let life = directory.begin_request(now, &name()).unwrap();
            assert!(
                directory.get(&name()).unwrap().is_absent(now) || sent == 0,
                "a try is alone"
            );
            directory.record_response_head(now, &name(), life, &misdirected(None), None);
            directory.end_request(&name(), life);
            sent += 1;
        }
        now += Duration::from_millis(5);
    }
    sent
}

/// A leader sent 139 items in 4 s to an engine that answered each so.
#[test]
fn an_engine_that_is_not_there_is_tried_less_and_less() {
    let mut directory = EngineDirectory::default();
    directory.replace(NOW, vec![record(Some(5), 1)]);
    assert_eq!(tries(&mut directory, Duration::from_millis(4_000)), 4);
}

#[test]
fn answers_to_requests_that_left_together_count_once() {
    let mut directory = EngineDirectory::default();
    directory.replace(NOW, vec![record(Some(5), 1)]);
    let life = directory.begin_request(NOW, &name()).unwrap();
    for _ in 0..20 {
        directory.record_response_head(NOW, &name(), life, &misdirected(None), None);
    }
    let soon = NOW + Duration::from_millis(500);
    assert!(!directory.get(&name()).unwrap().is_absent(soon));
}

#[rstest]
#[case::a_new_start(EngineRecord { started: Some(StartedAt(6)), ..record(Some(5), 1) })]
#[case::a_new_address(EngineRecord { address: "10.0.0.2:1".into(), ..record(Some(5), 1) })]
fn news_of_an_engine_that_was_not_there_ends_the_pause(#[case] news: EngineRecord) {
    let mut directory = EngineDirectory::default();
    directory.replace(NOW, vec![record(Some(5), 1)]);
    let life = directory.incarnation(&name()).unwrap();
    directory.record_response_head(NOW, &name(), life, &misdirected(None), None);
    directory.apply(NOW, changed(record(Some(5), 1)));
    assert!(directory.get(&name()).unwrap().is_absent(NOW), "no news");
    directory.apply(NOW, changed(news));
    assert!(!directory.get(&name()).unwrap().is_absent(NOW));
}

#[test]
fn an_answer_under_its_name_shows_that_it_is_there() {
    let mut directory = EngineDirectory::default();
    directory.replace(NOW, vec![record(Some(5), 1)]);
    let life = directory.incarnation(&name()).unwrap();
    directory.record_response_head(NOW, &name(), life, &misdirected(None), None);
    let full = AnswerHead {
        status: 503,
        not_run: true,
        ..AnswerHead::default()
    };
    directory.record_response_head(NOW, &name(), life, &full, None);
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
#[case::it_crashed(false, 1)]
#[case::it_had_said_that_it_leaves(true, 0)]
fn a_run_that_broke_before_a_new_start_was_under_a_crash(
    #[case] leaving: bool,
    #[case] crashes: usize,
    #[values(true, false)] broke_first: bool,
) {
    let mut directory = EngineDirectory::default();
    let before = EngineRecord {
        draining: leaving,
        ..record(Some(5), 1)
    };
    directory.replace(NOW, vec![before]);
    let life = directory.begin_request(NOW, &name()).unwrap();
    let breaks = |directory: &mut EngineDirectory| {
        directory.run_broke(NOW, &name(), life, request(), RetryScope::AnyNode);
    };
    if broke_first {
        breaks(&mut directory);
    }
    directory.apply(NOW, changed(record(Some(6), 1)));
    if !broke_first {
        breaks(&mut directory);
    }
    assert_eq!(directory.quarantine.crash_count(request()), crashes);
    assert!(directory.quarantine.take_due_probes(NOW).is_empty());
}

#[test]
fn an_entry_that_can_no_longer_be_read_names_no_engine() {
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
fn engines_of_services_that_nobody_named_do_not_count() {
    let mut directory = EngineDirectory::default();
    let foreign = EngineRecord {
        instance: Instance("b".into()),
        service: "unheard-of".into(),
        slots: u32::MAX,
        ..record(None, 1)
    };
    directory.replace(NOW, vec![record(None, 1), foreign]);
    directory.set_services(["s".to_string()].iter());
    assert_eq!(directory.iter().count(), 1);
    directory.set_services(["s".to_string(), "unheard-of".to_string()].iter());
    assert_eq!(directory.iter().count(), 2, "a configuration named it");
}

/// A service of one engine, which ends under the request each time that it is back.
#[test]
fn each_life_of_an_engine_that_ends_under_a_request_counts() {
    let mut directory = EngineDirectory::default();
    directory.replace(NOW, vec![record(Some(5), 1)]);
    for started in 6..9 {
        let life = directory.begin_request(NOW, &name()).unwrap();
        directory.run_broke(NOW, &name(), life, request(), RetryScope::AnyNode);
        // Nobody listens while it is away, and then it is back.
        directory.engine_unreachable(NOW, &name());
        directory.apply(NOW, changed(record(Some(started), 1)));
    }
    assert_eq!(directory.quarantine.crash_count(request()), 3);
}

#[test]
fn a_life_that_two_machines_saw_end_counts_once() {
    let mut machines = [EngineDirectory::default(), EngineDirectory::default()];
    for directory in &mut machines {
        directory.replace(NOW, vec![record(Some(5), 1)]);
        let life = directory.begin_request(NOW, &name()).unwrap();
        directory.run_broke(NOW, &name(), life, request(), RetryScope::AnyNode);
    }
    let [first, second] = &mut machines;
    first.engine_unreachable(NOW, &name());
    second.apply(NOW, changed(record(Some(6), 1)));
    let told = second.quarantine.records(NOW);
    first.quarantine.merge(NOW, &told, "second");
    assert_eq!(first.quarantine.crash_count(request()), 1);
}
