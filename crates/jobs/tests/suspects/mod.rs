//! Items suspected of crashing engines do not delay other items or the end of their job.

use peatgrade_ports::Instance;
use peatgrade_quarantine::{may_have_caused_crash, Fingerprint, RequestParts, RetryScope, Verdict};
use peatgrade_types::Duration;

use crate::dispatch::{engine, Harness};

const CRASHING_ITEM: &str = "deadly";

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

#[test]
fn convicted_item_does_not_run_and_is_given_up_at_the_queue_timeout() {
    let mut harness = Harness::new(vec![engine("a", 5), engine("b", 5)]);
    record_crashes(&mut harness, CRASHING_ITEM, 3);
    harness.submit_bodies("j", &[CRASHING_ITEM, "one", "two"]);
    harness.poll_until_started();
    assert_eq!(started(&harness), ["one", "two"]);
    // The route's queue timeout is 40 s.
    harness.wait(39_000);
    assert!(harness
        .results("j")
        .iter()
        .all(|result| result.0 != CRASHING_ITEM));
    harness.wait(4_000);
    let results = harness.results("j");
    let crashing = results.iter().find(|result| result.0 == CRASHING_ITEM);
    assert!(!crashing.expect("the item is listed").1, "given up");
    assert!(!started(&harness).contains(&CRASHING_ITEM.to_string()));
}

#[test]
fn run_of_a_convicted_item_is_cancelled() {
    let mut harness = Harness::new(vec![engine("a", 5), engine("b", 5)]);
    harness.submit_bodies("j", &[CRASHING_ITEM]);
    harness.poll();
    let run = harness.last_started().run;
    record_crashes(&mut harness, CRASHING_ITEM, 3);
    harness.wait(30);
    assert_eq!(harness.cancelled, [run]);
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

/// An item that no engine has for longer than this is lost to its caller.
const MAX_WAIT_MS: u64 = 4_000;

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
