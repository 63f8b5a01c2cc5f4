//! Texts and bodies that were left to the log come back as they were.

use peatgrade_jobs::{Applied, CommandLog, JobStore};
use peatgrade_schema::encode;
use peatgrade_schema::replication::mod_JobCommand::OneOfbody;
use peatgrade_schema::replication::{
    AcceptJob, EndJob, ItemProgress, ItemResult, JobCommand, JobItem, KeepProgress, ListResults,
    ProgressEvent,
};
use peatgrade_types::{Duration, Time};
use rstest::rstest;
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;

const MEGABYTE: usize = 1024 * 1024;
/// Texts beyond it are left to the log.
const HELD_MEGABYTES: usize = 8;

/// Commands by index, as a log file would give them back.
#[derive(Debug, Default)]
struct KeptCommands(RefCell<HashMap<u64, Vec<u8>>>);

impl CommandLog for KeptCommands {
    fn command(&self, index: u64) -> Option<Vec<u8>> {
        self.0.borrow().get(&index).cloned()
    }
}

struct Scene {
    log: Rc<KeptCommands>,
    store: JobStore,
    index: u64,
}

impl Scene {
    /// A job `j` of `items` items whose bodies differ.
    fn new(items: usize) -> Self {
        let log = Rc::new(KeptCommands::default());
        let store = JobStore::with_log(log.clone());
        let mut scene = Self {
            log,
            store,
            index: 0,
        };
        scene.accept("j", items);
        scene
    }

    fn apply(&mut self, body: OneOfbody) -> Applied {
        self.index += 1;
        let command = encode(&JobCommand { body });
        self.log.0.borrow_mut().insert(self.index, command.clone());
        self.store.apply(Time(0), self.index, &command)
    }

    fn accept(&mut self, job: &str, items: usize) {
        let items = (0..items).map(|item| JobItem {
            id: format!("item-{item}"),
            body: format!("body-{item}").into_bytes(),
            ..JobItem::default()
        });
        self.apply(OneOfbody::accept(AcceptJob {
            job: job.into(),
            items: items.collect(),
            ..AcceptJob::default()
        }));
    }

    fn keep(&mut self, items: Vec<ItemProgress>) {
        let job = "j".into();
        self.apply(OneOfbody::progress(KeepProgress { job, items }));
    }

    fn list(&mut self, results: Vec<ItemResult>) {
        let job = "j".into();
        self.apply(OneOfbody::results(ListResults { job, results }));
    }

    /// Lists the other items with so much text that all before are left to the log.
    fn push_out(&mut self, from: usize) {
        for item in from..from + HELD_MEGABYTES + 1 {
            let text = vec![b'x'; MEGABYTE];
            self.list(vec![result(item, &text, 0)]);
        }
    }

    fn text(&self, position: usize) -> Option<Vec<u8>> {
        let result = &self.store.get("j").unwrap().results[position];
        let mut reader = self.store.text_reader();
        let text = reader.read("j", result.item, &result.text);
        text.map(|text| text.to_vec())
    }

    fn body(&self, item: usize) -> Option<Vec<u8>> {
        self.store.body(self.store.get("j").unwrap(), item)
    }
}

fn result(item: usize, text: &[u8], logged_events: u64) -> ItemResult {
    ItemResult {
        item: item as u64,
        completed: true,
        text: text.to_vec(),
        versions: vec![1],
        logged_events,
        ..ItemResult::default()
    }
}

fn progress(item: usize, logged_events: u64, data: &[&str]) -> ItemProgress {
    let events = data.iter().map(|text| ProgressEvent {
        version: 1,
        data: text.as_bytes().to_vec(),
    });
    ItemProgress {
        item: item as u64,
        logged_events,
        last_event: logged_events + data.len() as u64,
        events: events.collect(),
        ..ItemProgress::default()
    }
}

#[test]
fn memory_for_listed_texts_is_bounded_and_all_come_back() {
    let count = 3 * HELD_MEGABYTES;
    let mut scene = Scene::new(count);
    for item in 0..count {
        scene.list(vec![result(item, &vec![item as u8; MEGABYTE], 0)]);
    }
    assert!(scene.store.memory().recent_texts <= HELD_MEGABYTES * MEGABYTE);
    for item in 0..count {
        assert_eq!(scene.text(item), Some(vec![item as u8; MEGABYTE]), "{item}");
    }
}

/// The first events stand in several records, among those of other items.
#[rstest]
#[case::in_one_record(vec![vec![progress(0, 0, &["a", "b"])]], 2, "\nend", "a\nb\nend")]
#[case::in_two(
    vec![
        vec![progress(1, 0, &["other"]), progress(0, 0, &["a"])],
        vec![progress(0, 1, &["b", "c"]), progress(1, 1, &["more"])],
    ],
    3, "\nend", "a\nb\nc\nend"
)]
#[case::without_a_rest(vec![vec![progress(0, 0, &["a", "", "c"])]], 3, "", "a\n\nc")]
#[case::begun_anew(vec![vec![progress(0, 0, &["a", "b"])]], 0, "new", "new")]
#[case::a_record_that_did_not_follow(
    vec![
        vec![progress(0, 0, &["a"])],
        vec![progress(0, 0, &["A"])],
        vec![progress(0, 1, &["b"])],
    ],
    2, "\nend", "a\nb\nend"
)]
fn a_text_of_several_records_comes_back_as_it_was_listed(
    #[case] records: Vec<Vec<ItemProgress>>,
    #[case] logged_events: u64,
    #[case] rest: &str,
    #[case] expected: &str,
) {
    let mut scene = Scene::new(2 + HELD_MEGABYTES + 1);
    for items in records {
        scene.keep(items);
    }
    scene.list(vec![result(0, rest.as_bytes(), logged_events)]);
    assert_eq!(
        scene.text(0),
        Some(expected.as_bytes().to_vec()),
        "in memory"
    );
    scene.push_out(2);
    assert_eq!(
        scene.text(0),
        Some(expected.as_bytes().to_vec()),
        "from the log"
    );
}

/// Whatever is wrong with the log, a text is given whole or not at all.
#[test]
fn a_text_that_the_log_lost_is_not_made_up() {
    let mut scene = Scene::new(2 + HELD_MEGABYTES + 1);
    scene.keep(vec![progress(0, 0, &["a", "b"])]);
    let kept_at = scene.index;
    scene.list(vec![result(0, b"\nend", 2)]);
    scene.push_out(2);
    let kept = scene.log.0.borrow_mut().remove(&kept_at);
    assert_eq!(scene.text(0), None, "its record is missing");
    let other = KeepProgress {
        job: "j".into(),
        items: vec![progress(0, 0, &["a"])],
    };
    let other = encode(&JobCommand {
        body: OneOfbody::progress(other),
    });
    scene.log.0.borrow_mut().insert(kept_at, other);
    assert_eq!(scene.text(0), None, "its record has less");
    scene.log.0.borrow_mut().insert(kept_at, kept.unwrap());
    assert_eq!(scene.text(0), Some(b"a\nb\nend".to_vec()));
}

#[test]
fn bodies_of_an_ended_job_are_left_to_the_log() {
    let mut scene = Scene::new(500);
    let before = scene.store.memory().items;
    assert_eq!(scene.body(7), Some(b"body-7".to_vec()));
    scene.apply(OneOfbody::end(EndJob { job: "j".into() }));
    assert!(scene.store.memory().items < before);
    assert_eq!(scene.body(7), Some(b"body-7".to_vec()));
    assert_eq!(scene.body(500), None);
}

/// An item that comes back is known by its id and its body.
#[test]
fn an_item_of_an_ended_job_is_found_again_only_with_the_same_body() {
    let mut scene = Scene::new(2);
    scene.list(vec![result(0, b"text", 0)]);
    scene.apply(OneOfbody::end(EndJob { job: "j".into() }));
    scene.accept("k", 2);
    assert!(scene.store.prior_text("k", 0).is_some());
    let other = JobItem {
        id: "item-0".into(),
        body: b"another body".to_vec(),
        ..JobItem::default()
    };
    scene.apply(OneOfbody::accept(AcceptJob {
        job: "l".into(),
        items: vec![other],
        ..AcceptJob::default()
    }));
    assert!(scene.store.prior_text("l", 0).is_none());
}

#[test]
fn texts_of_dropped_jobs_count_no_more() {
    let mut scene = Scene::new(2);
    scene.list(vec![result(0, b"text", 0)]);
    scene.apply(OneOfbody::end(EndJob { job: "j".into() }));
    assert_eq!(scene.store.memory().recent_texts, 4);
    let keep = Duration::from_secs(120);
    scene
        .store
        .expire(Time(0) + Duration::from_secs(121), keep, 3);
    assert_eq!(scene.store.memory().recent_texts, 0);
}

/// Who reads back a record for one text has those of its other items too.
#[test]
fn texts_that_share_records_are_at_hand_together() {
    let mut scene = Scene::new(2 + HELD_MEGABYTES + 1);
    scene.keep(vec![progress(0, 0, &["a"]), progress(1, 0, &["b"])]);
    scene.list(vec![result(0, b"\nend", 1), result(1, b"\nend", 1)]);
    scene.push_out(2);
    let job = scene.store.get("j").unwrap();
    let mut reader = scene.store.text_reader();
    assert!(!reader.is_cached(&job.results[0].text));
    reader.read("j", 0, &job.results[0].text).unwrap();
    let read = reader.read_bytes();
    assert!(reader.is_cached(&job.results[1].text));
    reader.read("j", 1, &job.results[1].text).unwrap();
    assert_eq!(reader.read_bytes(), read);
}
