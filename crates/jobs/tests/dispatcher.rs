//! Items reach engines, and their texts the log, whatever engines do.

mod dispatch;
mod pace;
mod queue;
mod restarts;
mod scale;
mod scarcity;
mod scoring;
mod single_version;
mod suspects;
mod tenants;
mod uneven;

use dispatch::{engine, Harness};
use peatgrade_jobs::RunPart;
use peatgrade_ports::{Instance, Service, StoreEvent, StoreObject};
use rstest::rstest;

fn whole(item: &str, text: &str, versions: &[u64]) -> (String, bool, String, Vec<u64>) {
    (item.into(), true, text.into(), versions.to_vec())
}

#[test]
fn a_whole_text_is_listed_with_the_versions_that_made_it() {
    let mut harness = Harness::new(vec![engine("a", 5)]);
    harness.submit("j", 5, &["i"]);
    harness.poll();
    let run = harness.last_started().run;
    harness.head(run, 200, 5);
    harness.data(run, "1|0|one\n2|6|two\n");
    harness.part(run, RunPart::End);
    harness.poll();
    assert_eq!(harness.results("j"), vec![whole("i", "one\ntwo", &[5, 6])]);
}

#[test]
fn a_broken_text_goes_on_after_its_last_event_at_another_engine() {
    let mut harness = Harness::new(vec![engine("a", 5), engine("b", 5)]);
    harness.submit("j", 5, &["i"]);
    harness.poll();
    let first = harness.last_started();
    harness.head(first.run, 200, 5);
    harness.data(first.run, "1|0|one\n2|0|two\n3|0|thr");
    harness.part(first.run, RunPart::Failed("reset".into()));
    harness.wait(100);
    let second = harness.last_started();
    assert_ne!(second.engine, first.engine);
    assert_eq!(second.after, Some(2));
    harness.head(second.run, 200, 5);
    harness.data(second.run, "3|0|three\n");
    harness.part(second.run, RunPart::End);
    harness.poll();
    assert_eq!(
        harness.results("j"),
        vec![whole("i", "one\ntwo\nthree", &[5])]
    );
}

#[test]
fn a_new_leader_goes_on_from_what_the_log_holds() {
    let mut harness = Harness::new(vec![engine("a", 5)]);
    harness.submit("j", 5, &["i"]);
    harness.poll();
    let run = harness.last_started().run;
    harness.head(run, 200, 5);
    harness.data(run, "1|0|one\n2|0|two\n3|0|three\n");
    // Written now; what comes after it is lost with the leader.
    harness.wait(400);
    harness.data(run, "4|0|four\n");
    harness.change_leader();
    harness.poll();
    let again = harness.last_started();
    assert_eq!(again.after, Some(3));
    harness.head(again.run, 200, 6);
    harness.data(again.run, "4|0|FOUR\n");
    harness.part(again.run, RunPart::End);
    harness.poll();
    assert_eq!(
        harness.results("j"),
        vec![whole("i", "one\ntwo\nthree\nFOUR", &[5, 6])]
    );
}

#[rstest]
#[case::gap("1|0|one\n3|0|three\n")]
#[case::twice("1|0|one\n1|0|one\n")]
#[case::garbage("nonsense\n")]
#[case::stale("1|4|one\n")]
fn bytes_that_cannot_be_right_end_the_run(#[case] bytes: &str) {
    let mut harness = Harness::new(vec![engine("a", 5), engine("b", 5)]);
    harness.submit("j", 5, &["i"]);
    harness.poll();
    let first = harness.last_started();
    harness.head(first.run, 200, 5);
    harness.data(first.run, bytes);
    assert!(harness.cancelled.contains(&first.run));
    harness.wait(100);
    assert_ne!(harness.last_started().run, first.run);
    assert!(harness.results("j").is_empty());
}

#[test]
fn an_end_inside_an_event_is_no_end() {
    let mut harness = Harness::new(vec![engine("a", 5)]);
    harness.submit("j", 5, &["i"]);
    harness.poll();
    let run = harness.last_started().run;
    harness.head(run, 200, 5);
    harness.data(run, "1|0|one\n2|0|tw");
    harness.part(run, RunPart::End);
    harness.wait(600);
    assert!(harness.results("j").is_empty());
    assert_eq!(harness.last_started().after, Some(1));
}

#[test]
fn an_engine_with_too_old_weights_gets_nothing() {
    let mut harness = Harness::new(vec![engine("a", 4)]);
    harness.submit("j", 5, &["i"]);
    harness.wait(1_000);
    assert!(harness.started.is_empty());
    harness
        .directory
        .record_version(&Instance("a".into()), "m", 5);
    harness.wait(10);
    assert_eq!(harness.started.len(), 1);
}

#[rstest]
#[case::never_possible(422, 1)]
#[case::failed_every_time(500, 6)]
fn an_item_that_cannot_be_done_is_given_up(#[case] status: u16, #[case] runs: usize) {
    let mut harness = Harness::new(vec![engine("a", 5), engine("b", 5)]);
    harness.submit("j", 5, &["i"]);
    for _ in 0..runs {
        assert!(harness.results("j").is_empty());
        harness.wait(100);
        let run = harness.last_started().run;
        harness.head(run, status, 5);
        harness.part(run, RunPart::End);
    }
    harness.wait(100);
    assert_eq!(
        harness.results("j"),
        vec![("i".to_string(), false, String::new(), vec![])]
    );
    assert_eq!(harness.started.len(), runs);
}

/// Each leader would try it anew otherwise, more often than a route allows.
#[test]
fn failures_of_an_item_count_on_under_the_next_leader() {
    let mut harness = Harness::new(vec![engine("a", 5), engine("b", 5)]);
    harness.submit("j", 5, &["i"]);
    for failure in 1..=6 {
        if failure == 5 {
            harness.wait(200);
            harness.change_leader();
        }
        assert!(harness.results("j").is_empty(), "after {failure} failures");
        harness.wait(100);
        let run = harness.last_started().run;
        harness.head(run, 500, 5);
        harness.part(run, RunPart::End);
    }
    harness.wait(100);
    assert_eq!(
        harness.results("j"),
        vec![("i".to_string(), false, String::new(), vec![])]
    );
}

#[test]
fn an_item_does_not_go_back_to_the_engine_that_failed_it_while_others_have_room() {
    let mut harness = Harness::new(vec![engine("a", 5), engine("b", 5)]);
    harness.configuration.services.insert(
        "models".into(),
        Service {
            slots: 4,
            ..Service::default()
        },
    );
    // Busier than short items may make it, but not full.
    let busy = harness.directory.get_mut(&Instance("b".into())).unwrap();
    busy.stats.in_flight = 3;
    harness.submit("j", 5, &["i", "k"]);
    harness.poll();
    let first = harness.started[0].clone();
    assert_eq!(first.engine, "a");
    harness.head(first.run, 500, 5);
    harness.part(first.run, RunPart::End);
    harness.wait(40);
    assert_eq!(harness.last_started().engine, "b");
}

#[test]
fn a_refusal_costs_no_attempt() {
    let mut harness = Harness::new(vec![engine("a", 5)]);
    harness.submit("j", 5, &["i"]);
    for _ in 0..12 {
        harness.wait(200);
        let run = harness.last_started().run;
        harness.head(run, 503, 5);
        harness.part(run, RunPart::End);
    }
    harness.wait(200);
    assert!(harness.results("j").is_empty());
    assert_eq!(harness.started.len(), 13);
}

#[test]
fn the_end_of_a_job_stops_its_runs_and_a_later_job_goes_on() {
    let mut harness = Harness::new(vec![engine("a", 5)]);
    harness.submit("j", 5, &["i"]);
    harness.poll();
    let run = harness.last_started().run;
    harness.head(run, 200, 5);
    harness.data(run, "1|0|one\n2|0|two\n");
    harness.end("j");
    assert!(harness.cancelled.contains(&run));
    harness.wait(100);
    assert_eq!(harness.started.len(), 1);
    harness.submit("k", 5, &["i"]);
    harness.poll();
    assert_eq!(harness.last_started().after, Some(2));
}

#[test]
fn a_text_that_is_too_old_for_a_later_job_is_made_anew() {
    let mut harness = Harness::new(vec![engine("a", 5)]);
    harness.submit("j", 5, &["i"]);
    harness.poll();
    let run = harness.last_started().run;
    harness.head(run, 200, 5);
    harness.data(run, "1|0|one\n2|0|two\n");
    harness.end("j");
    harness
        .directory
        .record_version(&Instance("a".into()), "m", 7);
    harness.submit("k", 6, &["i"]);
    harness.poll();
    assert_eq!(harness.last_started().after, None);
}

#[test]
fn a_whole_result_is_listed_again_in_a_later_job() {
    let mut harness = Harness::new(vec![engine("a", 5)]);
    harness.submit("j", 5, &["i"]);
    harness.poll();
    let run = harness.last_started().run;
    harness.head(run, 200, 5);
    harness.data(run, "1|0|one\n");
    harness.part(run, RunPart::End);
    harness.poll();
    harness.end("j");
    harness.submit("k", 5, &["i"]);
    harness.poll();
    assert_eq!(harness.results("k"), vec![whole("i", "one", &[5])]);
    assert_eq!(harness.started.len(), 1);
}

#[test]
fn a_silent_engine_loses_its_run() {
    let mut harness = Harness::new(vec![engine("a", 5), engine("b", 5)]);
    harness.submit("j", 5, &["i"]);
    harness.poll();
    let first = harness.last_started();
    harness.wait(1_000);
    assert!(harness.cancelled.contains(&first.run));
    assert_ne!(harness.last_started().engine, first.engine);
}

#[test]
fn a_leaving_engine_gets_nothing_new_and_hands_its_runs_over() {
    let mut harness = Harness::new(vec![engine("a", 5), engine("b", 5)]);
    harness.submit("j", 5, &["i"]);
    harness.poll();
    let first = harness.last_started();
    let mut leaving = engine(&first.engine, 5);
    leaving.draining = true;
    harness.directory.apply(
        harness.now,
        StoreEvent {
            name: first.engine.clone(),
            object: Some(StoreObject::Engine(leaving)),
        },
    );
    harness.wait(25);
    assert!(harness.cancelled.contains(&first.run));
    assert_ne!(harness.last_started().engine, first.engine);
}

#[test]
fn long_texts_move_to_a_faster_engine_once() {
    let mut harness = Harness::new(vec![engine("a", 5), engine("b", 5)]);
    harness.set_pace("a", 40);
    harness.set_pace("b", 52);
    // The faster one is full at first.
    harness.set_running("a", 4);
    harness.submit("j", 5, &["i"]);
    harness.poll();
    let first = harness.last_started();
    assert_eq!(first.engine, "b");
    harness.head(first.run, 200, 5);
    for event in 1..=30 {
        harness.wait(52);
        harness.data(first.run, &format!("{event}|0|x\n"));
    }
    assert_eq!(harness.started.len(), 1);
    harness.set_running("a", 0);
    harness.wait(25);
    assert_eq!(harness.last_started().engine, "a");
    assert_eq!(harness.last_started().after, Some(30));
    let second = harness.last_started().run;
    harness.head(second, 200, 5);
    for event in 31..=60 {
        harness.wait(41);
        harness.data(second, &format!("{event}|0|x\n"));
    }
    assert_eq!(harness.started.len(), 2, "{:?}", harness.started);
}

#[test]
fn a_text_whose_end_was_lost_is_whole_once_two_runs_add_nothing() {
    let mut harness = Harness::new(vec![engine("a", 5), engine("b", 5)]);
    harness.submit("j", 5, &["i"]);
    harness.poll();
    let run = harness.last_started().run;
    harness.head(run, 200, 5);
    harness.data(run, "1|0|one\n2|0|two\n");
    // All events came, but not the end.
    harness.part(run, RunPart::Failed("reset".into()));
    for _ in 0..2 {
        assert!(harness.results("j").is_empty());
        harness.wait(600);
        let again = harness.last_started();
        assert_eq!(again.after, Some(2));
        harness.head(again.run, 200, 5);
        harness.part(again.run, RunPart::End);
    }
    harness.poll();
    assert_eq!(harness.results("j"), vec![whole("i", "one\ntwo", &[5])]);
}

#[test]
fn a_run_without_any_event_is_no_text() {
    let mut harness = Harness::new(vec![engine("a", 5)]);
    harness.submit("j", 5, &["i"]);
    for _ in 0..4 {
        harness.wait(5_000);
        let run = harness.last_started().run;
        harness.head(run, 200, 5);
        harness.part(run, RunPart::End);
    }
    harness.poll();
    assert!(harness.results("j").is_empty());
}
