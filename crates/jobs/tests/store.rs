//! The replicated state of batch jobs.

use peatgrade_jobs::{Applied, JobStore};
use peatgrade_schema::encode;
use peatgrade_schema::replication::mod_JobCommand::OneOfbody;
use peatgrade_schema::replication::{
    AcceptJob, EndJob, ItemProgress, ItemResult, JobCommand, JobItem, KeepProgress, ListResults,
    ProgressEvent,
};
use peatgrade_types::{Duration, Time};

struct Scene {
    store: JobStore,
    index: u64,
}

impl Scene {
    fn new() -> Self {
        let mut scene = Self {
            store: JobStore::default(),
            index: 0,
        };
        scene.apply(accept("j", &["a", "b"]));
        scene
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
fn a_position_keeps_its_content() {
    let mut scene = Scene::new();
    scene.apply(result(1, "first", 0));
    scene.apply(result(0, "second", 0));
    // A leader of the past, or a second run: the first result stands.
    assert_eq!(scene.apply(result(1, "other", 0)), Applied::Nothing);
    let expected = vec![(1, "first".to_string()), (0, "second".to_string())];
    assert_eq!(scene.texts(), expected);
}

#[test]
fn a_job_that_comes_twice_is_taken_once() {
    let mut scene = Scene::new();
    scene.apply(result(0, "x", 0));
    assert_eq!(scene.apply(accept("j", &["a", "b"])), Applied::Nothing);
    assert_eq!(scene.texts().len(), 1);
}

#[test]
fn nothing_is_listed_after_the_end() {
    let mut scene = Scene::new();
    let end = || OneOfbody::end(EndJob { job: "j".into() });
    assert_eq!(scene.apply(end()), Applied::Ended("j".into()));
    assert_eq!(scene.apply(end()), Applied::Nothing);
    assert_eq!(scene.apply(result(0, "x", 0)), Applied::Nothing);
}

#[test]
fn a_result_adds_to_what_was_kept() {
    let mut scene = Scene::new();
    scene.apply(progress(0, 0, &["one", "two"]));
    scene.apply(progress(0, 2, &["three"]));
    scene.apply(result(0, "\nfour", 3));
    assert_eq!(
        scene.texts(),
        vec![(0, "one\ntwo\nthree\nfour".to_string())]
    );
}

#[test]
fn a_record_that_does_not_follow_changes_nothing() {
    let mut scene = Scene::new();
    scene.apply(progress(0, 0, &["one", "two"]));
    // From a leader that had not seen these two.
    scene.apply(progress(0, 0, &["ONE"]));
    scene.apply(progress(0, 3, &["four"]));
    let text = &scene.store.get("j").unwrap().progress[&0];
    assert_eq!(text.joined(9), b"one\ntwo");
    assert_eq!(text.last_event, Some(2));
    // A result that needs more than was kept would have a gap.
    assert_eq!(scene.apply(result(0, "\nfive", 4)), Applied::Nothing);
}

#[test]
fn jobs_are_dropped_past_their_time_and_open_ones_later() {
    let mut scene = Scene::new();
    scene.apply(accept("k", &["c"]));
    scene.apply(OneOfbody::end(EndJob { job: "j".into() }));
    let keep = Duration::from_secs(120);
    let after = |seconds| Time(0) + Duration::from_secs(seconds);
    assert_eq!(scene.store.expire(after(119), keep, 3), 0);
    // The log is needed from the first entry of the oldest job on.
    assert_eq!(scene.store.expire(after(121), keep, 3), 1);
    assert!(scene.store.get("j").is_none());
    assert!(scene.store.get("k").is_some());
    assert_eq!(scene.store.expire(after(241), keep, 3), 3);
}

#[test]
fn a_broken_command_changes_nothing() {
    let mut scene = Scene::new();
    assert_eq!(
        scene.store.apply(Time(0), 9, &[0xff, 0xff, 0xff]),
        Applied::Nothing
    );
}

/// A replica that does not lead answers only reads that look back.
#[test]
fn results_are_settled_once_they_are_old_or_nothing_can_follow() {
    let age = Duration::from_millis(2_000);
    let mut scene = Scene::new();
    scene.apply(result(0, "text", 0));
    let settled = |scene: &Scene, at: Time, position: usize| {
        scene.store.get("j").unwrap().is_settled(at, position, age)
    };
    let (early, late) = (Time(1_999_000), Time(2_000_000));
    assert!(!settled(&scene, early, 0));
    assert!(settled(&scene, late, 0));
    assert!(!settled(&scene, late, 1), "another may be listed");
    scene.apply(result(1, "text", 0));
    assert!(settled(&scene, early, 0) && settled(&scene, early, 2));
    scene.apply(accept("k", &["c", "d"]));
    scene.apply(OneOfbody::end(EndJob { job: "k".into() }));
    assert!(scene.store.get("k").unwrap().is_settled(early, 0, age));
}

/// Trainers that end job after job with most of their texts unfinished: until a job is
/// dropped, 120 s after it came, its texts were in memory however many there were.
#[test]
fn unfinished_texts_of_ended_jobs_are_bounded_in_bytes() {
    let mut scene = Scene::new();
    let text = "x".repeat(1024 * 1024);
    scene.apply(progress(0, 0, &["of an open job"]));
    for number in 0..40 {
        let job = format!("ended-{number}");
        scene.apply(accept(&job, &["a", "b"]));
        scene.apply(progress_of(&job, 0, 0, &[&text]));
        scene.apply(OneOfbody::end(EndJob { job }));
        assert!(scene.store.memory().progress <= 9 * 1024 * 1024);
    }
    assert!(scene.store.memory().progress >= 7 * 1024 * 1024);
    let has_text = |job: &str| !scene.store.get(job).unwrap().progress.is_empty();
    assert!(has_text("ended-39") && !has_text("ended-0"));
    assert!(has_text("j"), "it is open");
}

/// A log from before there were tenants names none: its jobs stay open to all, and new
/// ones are their tenant's own, in the same log.
#[test]
fn jobs_of_an_older_log_are_open_to_all_and_later_ones_to_their_tenant() {
    let mut scene = Scene::new();
    scene.apply(OneOfbody::accept(AcceptJob {
        job: "k".into(),
        tenant: "leeds".into(),
        ..AcceptJob::default()
    }));
    let is_open = |job: &str, tenant: &str| scene.store.get(job).unwrap().is_accessible_to(tenant);
    assert!(is_open("j", "leeds") && is_open("j", "derby") && is_open("j", ""));
    assert!(is_open("k", "leeds") && !is_open("k", "derby") && !is_open("k", ""));
    scene.apply(OneOfbody::end(EndJob { job: "k".into() }));
    let is_open = |tenant: &str| scene.store.get("k").unwrap().is_accessible_to(tenant);
    assert!(
        is_open("leeds") && !is_open("derby"),
        "ended, it is its own still"
    );
}
