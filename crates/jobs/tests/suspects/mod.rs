//! Items under which engines crash: they hold up nothing else, and their job ends.

use peatgrade_ports::Instance;
use peatgrade_quarantine::{may_have_caused_crash, Fingerprint, RequestParts, RetryScope, Verdict};
use peatgrade_types::Duration;

use crate::dispatch::{engine, Harness};

const DEADLY: &str = "deadly";

/// What an item of these tests asks for.
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

/// Engines have crashed under an item, under whichever leader.
fn note_crashes(scene: &mut Harness, item: &str, crashes: usize) {
    let quarantine = &mut scene.directory.quarantine;
    for number in 0..crashes {
        let gone = Instance(format!("gone-{number}"));
        let comes = RetryScope::LeaderOnly;
        quarantine.record_interrupted_run(scene.now, &gone, fingerprint(item), comes);
        quarantine.record_engine_crash(scene.now, &gone, None);
    }
}

fn started(scene: &Harness) -> Vec<String> {
    let mut items: Vec<String> = scene.started.iter().map(|run| run.item.clone()).collect();
    items.sort();
    items
}

#[test]
fn an_item_that_ends_engines_waits_while_others_run_and_its_job_ends() {
    let mut scene = Harness::new(vec![engine("a", 5), engine("b", 5)]);
    note_crashes(&mut scene, DEADLY, 3);
    scene.submit_bodies("j", &[DEADLY, "one", "two"]);
    scene.poll_until_started();
    assert_eq!(started(&scene), ["one", "two"]);
    // Its route lets items be given up after 40 s.
    scene.wait(39_000);
    assert!(scene.results("j").iter().all(|result| result.0 != DEADLY));
    scene.wait(4_000);
    let results = scene.results("j");
    let deadly = results.iter().find(|result| result.0 == DEADLY);
    assert!(!deadly.expect("it is listed").1, "without a text");
    assert!(!started(&scene).contains(&DEADLY.to_string()));
}

#[test]
fn a_run_of_it_that_waits_at_an_engine_is_taken_back() {
    let mut scene = Harness::new(vec![engine("a", 5), engine("b", 5)]);
    scene.submit_bodies("j", &[DEADLY]);
    scene.poll();
    let run = scene.last_started().run;
    note_crashes(&mut scene, DEADLY, 3);
    scene.wait(30);
    assert_eq!(scene.cancelled, [run]);
}

#[test]
fn a_suspect_leaves_the_last_engine_to_others() {
    let mut scene = Harness::new(vec![engine("a", 5), engine("b", 5)]);
    note_crashes(&mut scene, DEADLY, 2);
    let lost = Instance("a".into());
    let until = scene.now + Duration::from_millis(400);
    let state = scene.directory.get_mut(&lost).unwrap();
    state.stats.backoff_until = until;
    scene.submit_bodies("j", &[DEADLY, "one"]);
    scene.poll_until_started();
    assert_eq!(started(&scene), ["one"]);
    scene.wait(450);
    assert_eq!(started(&scene), [DEADLY, "one"]);
}

#[test]
fn items_that_lost_one_engine_go_on_as_before() {
    let mut scene = Harness::new(vec![engine("a", 5)]);
    for item in ["one", "two", "three"] {
        note_crashes(&mut scene, item, 1);
    }
    scene.submit_bodies("j", &["one", "two", "three"]);
    scene.poll_until_started();
    assert_eq!(started(&scene), ["one", "three", "two"]);
    let quarantine = &scene.directory.quarantine;
    assert_eq!(quarantine.verdict(fingerprint("one")), Verdict::Clear);
}

/// Engines crashed over and over by themselves, and long texts lost three of them: their
/// items were taken for the cause, 0.88 of the credit of a day was served, not 1.00.
#[test]
fn a_run_that_goes_on_clears_its_item() {
    let mut scene = Harness::new(vec![engine("a", 5)]);
    note_crashes(&mut scene, "long", 2);
    scene.submit_bodies("j", &["long"]);
    scene.poll();
    let run = scene.last_started().run;
    scene.head(run, 200, 5);
    for event in 1..=12 {
        scene.data(run, &format!("{event}|0|text\n"));
        scene.wait(90);
    }
    let quarantine = &scene.directory.quarantine;
    assert_eq!(
        quarantine.crash_count(fingerprint("long")),
        2,
        "it ran for 990 ms"
    );
    scene.wait(20);
    scene.data(run, "13|0|text\n");
    let quarantine = &scene.directory.quarantine;
    assert_eq!(quarantine.crash_count(fingerprint("long")), 0);
}

#[test]
fn a_run_that_had_gone_on_is_not_the_cause_of_a_crash() {
    let mut scene = Harness::new(vec![engine("a", 5)]);
    scene.submit_bodies("j", &["long"]);
    scene.poll();
    let run = scene.last_started().run;
    scene.head(run, 200, 5);
    assert!(scene
        .dispatcher
        .run_request(run)
        .unwrap()
        .first_event_at
        .is_none());
    scene.data(run, "1|0|text\n");
    let began = scene.dispatcher.run_request(run).unwrap().first_event_at;
    let after = |millis| scene.now + Duration::from_millis(millis);
    assert!(may_have_caused_crash(after(300), began));
    assert!(!may_have_caused_crash(after(301), began));
    assert!(
        may_have_caused_crash(after(60_000), None),
        "it may have waited for its turn"
    );
}
