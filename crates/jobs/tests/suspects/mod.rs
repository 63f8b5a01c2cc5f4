//! Items suspected of crashing engines do not delay other items or the end of their job.

use peatgrade_jobs::RunPart;
use peatgrade_ports::Instance;
use peatgrade_quarantine::{may_have_caused_crash, Fingerprint, RequestParts, RetryScope, Verdict};
use peatgrade_types::Duration;

use crate::dispatch::{engine, Harness};

const CRASHING_ITEM: &str = "deadly";
/// An item that no engine has for longer than this is lost to its caller.
const MAX_WAIT_MS: u64 = 4_000;

fn fingerprint(item: &str) -> Fingerprint {
    Fingerprint::of(&RequestParts {
        method: "POST",
        host: "h",
        path: "/p/x",
        headers: &[],
        body: item.as_bytes(),
        tenant: "",
    })
}

/// Records crashes of engines that were running an item.
pub fn record_crashes(harness: &mut Harness, item: &str, crashes: usize) {
    let quarantine = &mut harness.directory.quarantine;
    for number in 0..crashes {
        let crashed = Instance(format!("gone-{number}"));
        let scope = RetryScope::LeaderOnly;
        quarantine.record_interrupted_run(harness.now, &crashed, fingerprint(item), scope);
        quarantine.record_engine_crash(harness.now, &crashed, None);
    }
}

fn started(harness: &Harness) -> Vec<String> {
    let mut items: Vec<String> = harness.started.iter().map(|run| run.item.clone()).collect();
    items.sort();
    items
}

/// The route's queue timeout.
const QUEUE_TIMEOUT_MS: u64 = 40_000;

/// Lets the engine of a run crash, as the quarantine learns of it.
fn crash_engine_of(harness: &mut Harness, number: usize) {
    let started = harness.last_started();
    let crashed = Instance(format!("{}-{number}", started.engine));
    let scope = RetryScope::LeaderOnly;
    let quarantine = &mut harness.directory.quarantine;
    quarantine.record_interrupted_run(harness.now, &crashed, fingerprint(CRASHING_ITEM), scope);
    quarantine.record_engine_crash(harness.now, &crashed, None);
    harness.part(started.run, RunPart::Failed("reset".into()));
}

/// Guards against an item that takes down one engine after the other while it is retried.
#[test]
fn item_that_crashes_every_engine_is_retried_rarely_and_given_up_at_the_queue_timeout() {
    let mut harness = Harness::new(vec![engine("a", 5), engine("b", 5)]);
    harness.submit_bodies("j", &[CRASHING_ITEM]);
    let mut crashes: Vec<u64> = Vec::new();
    let begin = harness.now;
    while harness.now.since(begin).as_millis() < QUEUE_TIMEOUT_MS {
        let before = harness.started.len();
        harness.wait(15);
        if harness.started.len() > before {
            crash_engine_of(&mut harness, crashes.len());
            crashes.push(harness.now.since(begin).as_millis());
        }
    }
    let pauses = crashes.windows(2).map(|pair| pair[1] - pair[0]);
    let pauses: Vec<u64> = pauses.collect();
    let minimum_pauses = [0, 0, 250, 500, 1_000, 2_000];
    for (index, pause) in pauses.iter().enumerate() {
        let minimum = minimum_pauses[index.min(minimum_pauses.len() - 1)];
        assert!(*pause >= minimum && *pause < MAX_WAIT_MS, "{pauses:?}");
    }
    harness.wait(4_000);
    let results = harness.results("j");
    assert!(!results[0].1, "given up");
    let runs = harness.started.len();
    harness.wait(4_000);
    assert_eq!(harness.started.len(), runs, "runs after it was given up");
}

/// Guards against items that wait behind one that crashes engines.
#[test]
fn items_start_at_once_beside_one_that_crashes_engines() {
    let mut harness = Harness::new(vec![engine("a", 5), engine("b", 5)]);
    record_crashes(&mut harness, CRASHING_ITEM, 6);
    harness.submit_bodies("j", &[CRASHING_ITEM, "one", "two"]);
    harness.poll_until_started();
    assert_eq!(started(&harness), ["one", "two"]);
    harness.wait(1_900);
    assert!(!started(&harness).contains(&CRASHING_ITEM.to_string()));
}

/// Guards against steps that are late because all their items are delayed after a burst of
/// crashes, which no item caused.
#[test]
fn items_run_again_soon_after_many_engines_crashed_at_once() {
    let mut harness = Harness::new(vec![engine("a", 5), engine("b", 5)]);
    let items = ["one", "two", "three"];
    for number in 0..6 {
        harness.wait(300);
        for item in items {
            let crashed = Instance(format!("gone-{item}-{number}"));
            let scope = RetryScope::LeaderOnly;
            let quarantine = &mut harness.directory.quarantine;
            quarantine.record_interrupted_run(harness.now, &crashed, fingerprint(item), scope);
            quarantine.record_engine_crash(harness.now, &crashed, None);
        }
    }
    harness.submit_bodies("j", &items);
    harness.wait(200);
    assert!(harness.started.is_empty());
    harness.wait(100);
    assert_eq!(started(&harness), ["one", "three", "two"]);
}

/// A run under way shows whether the item crashes engines, which cancelling it would not.
#[test]
fn run_of_a_convicted_item_continues_and_clears_it() {
    let mut harness = Harness::new(vec![engine("a", 5), engine("b", 5)]);
    harness.submit_bodies("j", &[CRASHING_ITEM]);
    harness.poll();
    let run = harness.last_started().run;
    record_crashes(&mut harness, CRASHING_ITEM, 3);
    harness.head(run, 200, 5);
    for event in 1..=14 {
        harness.data(run, &format!("{event}|0|text\n"));
        harness.wait(90);
    }
    assert!(harness.cancelled.is_empty());
    let verdict = harness
        .directory
        .quarantine
        .verdict(fingerprint(CRASHING_ITEM));
    assert_eq!(verdict, Verdict::Clear);
}

#[test]
fn suspect_item_does_not_use_the_last_engine() {
    let mut harness = Harness::new(vec![engine("a", 5), engine("b", 5)]);
    record_crashes(&mut harness, CRASHING_ITEM, 2);
    let unavailable = Instance("a".into());
    let until = harness.now + Duration::from_millis(400);
    let state = harness.directory.get_mut(&unavailable).unwrap();
    state.stats.backoff_until = until;
    harness.submit_bodies("j", &[CRASHING_ITEM, "one"]);
    harness.poll_until_started();
    assert_eq!(started(&harness), ["one"]);
    harness.wait(450);
    assert_eq!(started(&harness), [CRASHING_ITEM, "one"]);
}

#[test]
fn item_runs_again_after_engines_crashed_under_it() {
    for crashes in [2, 3, 8] {
        let mut harness = Harness::new(vec![engine("a", 5), engine("b", 5)]);
        record_crashes(&mut harness, CRASHING_ITEM, crashes);
        harness.submit_bodies("j", &[CRASHING_ITEM]);
        harness.wait(MAX_WAIT_MS);
        assert!(!harness.started.is_empty(), "held after {crashes} crashes");
    }
}

#[test]
fn suspect_item_does_not_wait_for_a_second_engine_that_never_recovers() {
    let mut harness = Harness::new(vec![engine("a", 5), engine("b", 5)]);
    record_crashes(&mut harness, CRASHING_ITEM, 2);
    let broken = Instance("a".into());
    let state = harness.directory.get_mut(&broken).unwrap();
    state.stats.backoff_until = peatgrade_types::Time(u64::MAX);
    harness.submit_bodies("j", &[CRASHING_ITEM]);
    harness.wait(MAX_WAIT_MS);
    assert!(!harness.started.is_empty());
}

#[test]
fn items_with_one_crash_run_normally() {
    let mut harness = Harness::new(vec![engine("a", 5)]);
    for item in ["one", "two", "three"] {
        record_crashes(&mut harness, item, 1);
    }
    harness.submit_bodies("j", &["one", "two", "three"]);
    harness.poll_until_started();
    assert_eq!(started(&harness), ["one", "three", "two"]);
    let quarantine = &harness.directory.quarantine;
    assert_eq!(quarantine.verdict(fingerprint("one")), Verdict::Clear);
}

/// Guards against convicting items with long texts when engines crash on their own.
#[test]
fn long_run_clears_its_item() {
    let mut harness = Harness::new(vec![engine("a", 5)]);
    record_crashes(&mut harness, "long", 2);
    harness.submit_bodies("j", &["long"]);
    harness.poll();
    let run = harness.last_started().run;
    harness.head(run, 200, 5);
    for event in 1..=12 {
        harness.data(run, &format!("{event}|0|text\n"));
        harness.wait(90);
    }
    let quarantine = &harness.directory.quarantine;
    assert_eq!(
        quarantine.crash_count(fingerprint("long")),
        2,
        "not cleared after 990 ms"
    );
    harness.wait(20);
    harness.data(run, "13|0|text\n");
    let quarantine = &harness.directory.quarantine;
    assert_eq!(quarantine.crash_count(fingerprint("long")), 0);
}

#[test]
fn long_run_is_not_the_cause_of_a_crash() {
    let mut harness = Harness::new(vec![engine("a", 5)]);
    harness.submit_bodies("j", &["long"]);
    harness.poll();
    let run = harness.last_started().run;
    harness.head(run, 200, 5);
    assert!(harness
        .dispatcher
        .run_request(run)
        .unwrap()
        .first_event_at
        .is_none());
    harness.data(run, "1|0|text\n");
    let first_event_at = harness.dispatcher.run_request(run).unwrap().first_event_at;
    let after = |millis| harness.now + Duration::from_millis(millis);
    assert!(may_have_caused_crash(after(300), first_event_at));
    assert!(!may_have_caused_crash(after(301), first_event_at));
    assert!(
        may_have_caused_crash(after(60_000), None),
        "the run may not have begun"
    );
}
