//! Replicated state of batch jobs.

use peatgrade_jobs::{Applied, JobStore};
use peatgrade_schema::encode;
use peatgrade_schema::replication::mod_JobCommand::OneOfbody;
use peatgrade_schema::replication::{
    AcceptJob, ConfigurationInForce, EndJob, ItemProgress, ItemResult, JobCommand, JobItem,
    KeepProgress, ListResults, ProgressEvent,
};
use peatgrade_types::{Duration, Time};

struct Harness {
    store: JobStore,
    index: u64,
}

impl Harness {
    fn new() -> Self {
        let mut harness = Self {
            store: JobStore::default(),
            index: 0,
        };
        harness.apply(accept("j", &["a", "b"]));
        harness
    }

    fn apply(&mut self, body: OneOfbody) -> Applied {
        self.index += 1;
        let command = encode(&JobCommand { body });
        self.store.apply(Time(0), self.index, &command)
    }

    fn texts(&self) -> Vec<(usize, String)> {
        let results = self.store.get("j").unwrap().results.iter();
        let mut reader = self.store.text_reader();
        let texts = results.map(|result| {
            let text = reader.read("j", result.item, &result.text).unwrap();
            (result.item, String::from_utf8(text.to_vec()).unwrap())
        });
        texts.collect()
    }
}

fn accept(job: &str, items: &[&str]) -> OneOfbody {
    let items = items.iter().map(|id| JobItem {
        id: id.to_string(),
        ..JobItem::default()
    });
    OneOfbody::accept(AcceptJob {
        job: job.into(),
        items: items.collect(),
        ..AcceptJob::default()
    })
}

fn result(item: u64, text: &str, logged_events: u64) -> OneOfbody {
    OneOfbody::results(ListResults {
        job: "j".into(),
        results: vec![ItemResult {
            item,
            completed: true,
            text: text.into(),
            versions: vec![1],
            logged_events,
            ..ItemResult::default()
        }],
    })
}

fn progress(item: u64, logged_events: u64, data: &[&str]) -> OneOfbody {
    progress_of("j", item, logged_events, data)
}

fn progress_of(job: &str, item: u64, logged_events: u64, data: &[&str]) -> OneOfbody {
    let events = data.iter().map(|text| ProgressEvent {
        version: 1,
        data: text.as_bytes().to_vec(),
    });
    OneOfbody::progress(KeepProgress {
        job: job.into(),
        items: vec![ItemProgress {
            item,
            logged_events,
            last_event: logged_events + data.len() as u64,
            events: events.collect(),
            ..ItemProgress::default()
        }],
    })
}

#[test]
fn listed_position_is_immutable() {
    let mut harness = Harness::new();
    harness.apply(result(1, "first", 0));
    harness.apply(result(0, "second", 0));
    // From a deposed leader or a second run of the item.
    assert_eq!(harness.apply(result(1, "other", 0)), Applied::Nothing);
    let expected = vec![(1, "first".to_string()), (0, "second".to_string())];
    assert_eq!(harness.texts(), expected);
}

#[test]
fn duplicate_acceptance_is_ignored() {
    let mut harness = Harness::new();
    harness.apply(result(0, "x", 0));
    assert_eq!(harness.apply(accept("j", &["a", "b"])), Applied::Nothing);
    assert_eq!(harness.texts().len(), 1);
}

#[test]
fn no_result_is_listed_after_the_end() {
    let mut harness = Harness::new();
    let end = || OneOfbody::end(EndJob { job: "j".into() });
    assert_eq!(harness.apply(end()), Applied::Ended("j".into()));
    assert_eq!(harness.apply(end()), Applied::Nothing);
    assert_eq!(harness.apply(result(0, "x", 0)), Applied::Nothing);
}

#[test]
fn result_extends_logged_progress() {
    let mut harness = Harness::new();
    harness.apply(progress(0, 0, &["one", "two"]));
    harness.apply(progress(0, 2, &["three"]));
    harness.apply(result(0, "\nfour", 3));
    assert_eq!(
        harness.texts(),
        vec![(0, "one\ntwo\nthree\nfour".to_string())]
    );
}

#[test]
fn noncontiguous_progress_is_ignored() {
    let mut harness = Harness::new();
    harness.apply(progress(0, 0, &["one", "two"]));
    // From a deposed leader without these two events.
    harness.apply(progress(0, 0, &["ONE"]));
    harness.apply(progress(0, 3, &["four"]));
    let text = &harness.store.get("j").unwrap().progress[&0];
    assert_eq!(text.joined(9), b"one\ntwo");
    assert_eq!(text.last_event, Some(2));
    // A result that requires more events than were logged.
    assert_eq!(harness.apply(result(0, "\nfive", 4)), Applied::Nothing);
}

#[test]
fn ended_jobs_expire_before_open_jobs() {
    let mut harness = Harness::new();
    harness.apply(accept("k", &["c"]));
    harness.apply(OneOfbody::end(EndJob { job: "j".into() }));
    let keep = Duration::from_secs(120);
    let after = |seconds| Time(0) + Duration::from_secs(seconds);
    assert_eq!(harness.store.expire(after(119), keep, 3), 0);
    // The log is retained from the first entry of the oldest job.
    assert_eq!(harness.store.expire(after(121), keep, 3), 1);
    assert!(harness.store.get("j").is_none());
    assert!(harness.store.get("k").is_some());
    assert_eq!(harness.store.expire(after(241), keep, 3), 3);
}

#[test]
fn malformed_command_is_ignored() {
    let mut harness = Harness::new();
    assert_eq!(
        harness.store.apply(Time(0), 9, &[0xff, 0xff, 0xff]),
        Applied::Nothing
    );
}

/// Followers serve only reads of settled results.
#[test]
fn results_are_settled_once_old_or_final() {
    let age = Duration::from_millis(2_000);
    let mut harness = Harness::new();
    harness.apply(result(0, "text", 0));
    let settled = |harness: &Harness, at: Time, position: usize| {
        harness
            .store
            .get("j")
            .unwrap()
            .is_settled(at, position, age)
    };
    let (early, late) = (Time(1_999_000), Time(2_000_000));
    assert!(!settled(&harness, early, 0));
    assert!(settled(&harness, late, 0));
    assert!(!settled(&harness, late, 1), "a result may still be listed");
    harness.apply(result(1, "text", 0));
    assert!(settled(&harness, early, 0) && settled(&harness, early, 2));
    harness.apply(accept("k", &["c", "d"]));
    harness.apply(OneOfbody::end(EndJob { job: "k".into() }));
    assert!(harness.store.get("k").unwrap().is_settled(early, 0, age));
}

/// Guards against unbounded memory when trainers end many jobs with partial texts.
#[test]
fn partial_texts_of_ended_jobs_are_bounded_in_bytes() {
    let mut harness = Harness::new();
    let text = "x".repeat(1024 * 1024);
    harness.apply(progress(0, 0, &["of an open job"]));
    for number in 0..40 {
        let job = format!("ended-{number}");
        harness.apply(accept(&job, &["a", "b"]));
        harness.apply(progress_of(&job, 0, 0, &[&text]));
        harness.apply(OneOfbody::end(EndJob { job }));
        assert!(harness.store.memory().progress <= 9 * 1024 * 1024);
    }
    assert!(harness.store.memory().progress >= 7 * 1024 * 1024);
    let has_text = |job: &str| !harness.store.get(job).unwrap().progress.is_empty();
    assert!(has_text("ended-39") && !has_text("ended-0"));
    assert!(has_text("j"), "the job is open");
}

/// A log may contain jobs of an older version without tenants and jobs with tenants.
#[test]
fn jobs_without_a_tenant_are_accessible_to_all_and_others_to_their_tenant() {
    let mut harness = Harness::new();
    harness.apply(OneOfbody::accept(AcceptJob {
        job: "k".into(),
        tenant: "leeds".into(),
        ..AcceptJob::default()
    }));
    let is_open =
        |job: &str, tenant: &str| harness.store.get(job).unwrap().is_accessible_to(tenant);
    assert!(is_open("j", "leeds") && is_open("j", "derby") && is_open("j", ""));
    assert!(is_open("k", "leeds") && !is_open("k", "derby") && !is_open("k", ""));
    harness.apply(OneOfbody::end(EndJob { job: "k".into() }));
    let is_open = |tenant: &str| harness.store.get("k").unwrap().is_accessible_to(tenant);
    assert!(
        is_open("leeds") && !is_open("derby"),
        "an ended job stays private to its tenant"
    );
}

fn accept_under(job: &str, configuration: u64) -> OneOfbody {
    OneOfbody::accept(AcceptJob {
        job: job.into(),
        configuration,
        ..AcceptJob::default()
    })
}

/// Guards against a new leader that takes its older configuration for current.
#[test]
fn newest_logged_configuration_never_decreases() {
    let mut harness = Harness::new();
    assert_eq!(harness.store.newest_configuration(), 0);
    harness.apply(accept_under("first", 3));
    harness.apply(accept_under("second", 2));
    assert_eq!(harness.store.newest_configuration(), 3);
    for version in [5, 4] {
        harness.apply(OneOfbody::configuration(ConfigurationInForce { version }));
        assert_eq!(harness.store.newest_configuration(), 5);
    }
    harness.apply(OneOfbody::end(EndJob {
        job: "first".into(),
    }));
    assert_eq!(harness.store.newest_configuration(), 5);
}
