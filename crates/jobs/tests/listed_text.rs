//! Texts and bodies that are read back from the log.

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
/// Limit on listed texts in memory.
const RESIDENT_MEGABYTES: usize = 8;

/// In-memory log: commands by index.
#[derive(Debug, Default)]
struct InMemoryLog(RefCell<HashMap<u64, Vec<u8>>>);

impl CommandLog for InMemoryLog {
    fn command(&self, index: u64) -> Option<Vec<u8>> {
        self.0.borrow().get(&index).cloned()
    }
}

struct Harness {
    log: Rc<InMemoryLog>,
    store: JobStore,
    index: u64,
}

impl Harness {
    /// A job `j` of `items` items whose bodies differ.
    fn new(items: usize) -> Self {
        let log = Rc::new(InMemoryLog::default());
        let store = JobStore::with_log(log.clone());
        let mut harness = Self {
            log,
            store,
            index: 0,
        };
        harness.accept("j", items);
        harness
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

    /// Lists further items with enough text to evict all earlier texts from memory.
    fn evict_earlier_texts(&mut self, from: usize) {
        for item in from..from + RESIDENT_MEGABYTES + 1 {
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
fn listed_texts_in_memory_are_bounded_and_all_are_readable() {
    let count = 3 * RESIDENT_MEGABYTES;
    let mut harness = Harness::new(count);
    for item in 0..count {
        harness.list(vec![result(item, &vec![item as u8; MEGABYTE], 0)]);
    }
    assert!(harness.store.memory().recent_texts <= RESIDENT_MEGABYTES * MEGABYTE);
    for item in 0..count {
        assert_eq!(
            harness.text(item),
            Some(vec![item as u8; MEGABYTE]),
            "{item}"
        );
    }
}

/// The events are in several records, mixed with those of other items.
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
#[case::restarted(vec![vec![progress(0, 0, &["a", "b"])]], 0, "new", "new")]
#[case::noncontiguous_record(
    vec![
        vec![progress(0, 0, &["a"])],
        vec![progress(0, 0, &["A"])],
        vec![progress(0, 1, &["b"])],
    ],
    2, "\nend", "a\nb\nend"
)]
fn text_is_reassembled_from_several_records(
    #[case] records: Vec<Vec<ItemProgress>>,
    #[case] logged_events: u64,
    #[case] rest: &str,
    #[case] expected: &str,
) {
    let mut harness = Harness::new(2 + RESIDENT_MEGABYTES + 1);
    for items in records {
        harness.keep(items);
    }
    harness.list(vec![result(0, rest.as_bytes(), logged_events)]);
    assert_eq!(
        harness.text(0),
        Some(expected.as_bytes().to_vec()),
        "in memory"
    );
    harness.evict_earlier_texts(2);
    assert_eq!(
        harness.text(0),
        Some(expected.as_bytes().to_vec()),
        "from the log"
    );
}

/// Guards against returning a partial text when log entries are missing or incomplete.
#[test]
fn text_with_missing_log_entries_is_not_returned() {
    let mut harness = Harness::new(2 + RESIDENT_MEGABYTES + 1);
    harness.keep(vec![progress(0, 0, &["a", "b"])]);
    let record_index = harness.index;
    harness.list(vec![result(0, b"\nend", 2)]);
    harness.evict_earlier_texts(2);
    let record = harness.log.0.borrow_mut().remove(&record_index);
    assert_eq!(harness.text(0), None, "the record is missing");
    let other = KeepProgress {
        job: "j".into(),
        items: vec![progress(0, 0, &["a"])],
    };
    let other = encode(&JobCommand {
        body: OneOfbody::progress(other),
    });
    harness.log.0.borrow_mut().insert(record_index, other);
    assert_eq!(harness.text(0), None, "the record has fewer events");
    harness
        .log
        .0
        .borrow_mut()
        .insert(record_index, record.unwrap());
    assert_eq!(harness.text(0), Some(b"a\nb\nend".to_vec()));
}

#[test]
fn bodies_of_an_ended_job_are_read_from_the_log() {
    let mut harness = Harness::new(500);
    let before = harness.store.memory().items;
    assert_eq!(harness.body(7), Some(b"body-7".to_vec()));
    harness.apply(OneOfbody::end(EndJob { job: "j".into() }));
    assert!(harness.store.memory().items < before);
    assert_eq!(harness.body(7), Some(b"body-7".to_vec()));
    assert_eq!(harness.body(500), None);
}

/// Guards against reusing a text for an item with the same id and another body.
#[test]
fn item_of_an_ended_job_is_found_only_with_the_same_body() {
    let mut harness = Harness::new(2);
    harness.list(vec![result(0, b"text", 0)]);
    harness.apply(OneOfbody::end(EndJob { job: "j".into() }));
    harness.accept("k", 2);
    assert!(harness.store.prior_text("k", 0).is_some());
    let other = JobItem {
        id: "item-0".into(),
        body: b"another body".to_vec(),
        ..JobItem::default()
    };
    harness.apply(OneOfbody::accept(AcceptJob {
        job: "l".into(),
        items: vec![other],
        ..AcceptJob::default()
    }));
    assert!(harness.store.prior_text("l", 0).is_none());
}

#[test]
fn texts_of_expired_jobs_are_not_counted() {
    let mut harness = Harness::new(2);
    harness.list(vec![result(0, b"text", 0)]);
    harness.apply(OneOfbody::end(EndJob { job: "j".into() }));
    assert_eq!(harness.store.memory().recent_texts, 4);
    let keep = Duration::from_secs(120);
    harness
        .store
        .expire(Time(0) + Duration::from_secs(121), keep, 3);
    assert_eq!(harness.store.memory().recent_texts, 0);
}

/// Guards against reading a shared record from the log more than once.
#[test]
fn reader_caches_records_shared_by_texts() {
    let mut harness = Harness::new(2 + RESIDENT_MEGABYTES + 1);
    harness.keep(vec![progress(0, 0, &["a"]), progress(1, 0, &["b"])]);
    harness.list(vec![result(0, b"\nend", 1), result(1, b"\nend", 1)]);
    harness.evict_earlier_texts(2);
    let job = harness.store.get("j").unwrap();
    let mut reader = harness.store.text_reader();
    assert!(!reader.is_cached(&job.results[0].text));
    reader.read("j", 0, &job.results[0].text).unwrap();
    let read = reader.read_bytes();
    assert!(reader.is_cached(&job.results[1].text));
    reader.read("j", 1, &job.results[1].text).unwrap();
    assert_eq!(reader.read_bytes(), read);
}
