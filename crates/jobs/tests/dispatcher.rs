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

use dispatch::{engine, Scene};
use peatgrade_jobs::RunPart;
use peatgrade_ports::{Instance, Service, StoreEvent, StoreObject};
use rstest::rstest;

fn whole(item: &str, text: &str, versions: &[u64]) -> (String, bool, String, Vec<u64>) {
    (item.into(), true, text.into(), versions.to_vec())
}

#[test]
fn a_whole_text_is_listed_with_the_versions_that_made_it() {
    let mut scene = Scene::new(vec![engine("a", 5)]);
    scene.submit("j", 5, &["i"]);
    scene.poll();
    let run = scene.last().run;
    scene.head(run, 200, 5);
    scene.data(run, "1|0|one\n2|6|two\n");
    scene.part(run, RunPart::End);
    scene.poll();
    assert_eq!(scene.results("j"), vec![whole("i", "one\ntwo", &[5, 6])]);
}

#[test]
fn a_broken_text_goes_on_after_its_last_event_at_another_engine() {
    let mut scene = Scene::new(vec![engine("a", 5), engine("b", 5)]);
    scene.submit("j", 5, &["i"]);
    scene.poll();
    let first = scene.last();
    scene.head(first.run, 200, 5);
    scene.data(first.run, "1|0|one\n2|0|two\n3|0|thr");
    scene.part(first.run, RunPart::Failed("reset".into()));
    scene.wait(100);
    let second = scene.last();
    assert_ne!(second.engine, first.engine);
    assert_eq!(second.after, Some(2));
    scene.head(second.run, 200, 5);
    scene.data(second.run, "3|0|three\n");
    scene.part(second.run, RunPart::End);
    scene.poll();
    assert_eq!(
        scene.results("j"),
        vec![whole("i", "one\ntwo\nthree", &[5])]
    );
}

#[test]
fn a_new_leader_goes_on_from_what_the_log_holds() {
    let mut scene = Scene::new(vec![engine("a", 5)]);
    scene.submit("j", 5, &["i"]);
    scene.poll();
    let run = scene.last().run;
    scene.head(run, 200, 5);
    scene.data(run, "1|0|one\n2|0|two\n3|0|three\n");
    // Written now; what comes after it is lost with the leader.
    scene.wait(400);
    scene.data(run, "4|0|four\n");
    scene.change_leader();
    scene.poll();
    let again = scene.last();
    assert_eq!(again.after, Some(3));
    scene.head(again.run, 200, 6);
    scene.data(again.run, "4|0|FOUR\n");
    scene.part(again.run, RunPart::End);
    scene.poll();
    assert_eq!(
        scene.results("j"),
        vec![whole("i", "one\ntwo\nthree\nFOUR", &[5, 6])]
    );
}

#[rstest]
#[case::gap("1|0|one\n3|0|three\n")]
#[case::twice("1|0|one\n1|0|one\n")]
#[case::garbage("nonsense\n")]
#[case::stale("1|4|one\n")]
fn bytes_that_cannot_be_right_end_the_run(#[case] bytes: &str) {
    let mut scene = Scene::new(vec![engine("a", 5), engine("b", 5)]);
    scene.submit("j", 5, &["i"]);
    scene.poll();
    let first = scene.last();
    scene.head(first.run, 200, 5);
    scene.data(first.run, bytes);
    assert!(scene.cancelled.contains(&first.run));
    scene.wait(100);
    assert_ne!(scene.last().run, first.run);
    assert!(scene.results("j").is_empty());
}

#[test]
fn an_end_inside_an_event_is_no_end() {
    let mut scene = Scene::new(vec![engine("a", 5)]);
    scene.submit("j", 5, &["i"]);
    scene.poll();
    let run = scene.last().run;
    scene.head(run, 200, 5);
    scene.data(run, "1|0|one\n2|0|tw");
    scene.part(run, RunPart::End);
    scene.wait(600);
    assert!(scene.results("j").is_empty());
    assert_eq!(scene.last().after, Some(1));
}

#[test]
fn an_engine_with_too_old_weights_gets_nothing() {
    let mut scene = Scene::new(vec![engine("a", 4)]);
    scene.submit("j", 5, &["i"]);
    scene.wait(1_000);
    assert!(scene.started.is_empty());
    scene
        .directory
        .record_version(&Instance("a".into()), "m", 5);
    scene.wait(10);
    assert_eq!(scene.started.len(), 1);
}

#[rstest]
#[case::never_possible(422, 1)]
#[case::failed_every_time(500, 6)]
fn an_item_that_cannot_be_done_is_given_up(#[case] status: u16, #[case] runs: usize) {
    let mut scene = Scene::new(vec![engine("a", 5), engine("b", 5)]);
    scene.submit("j", 5, &["i"]);
    for _ in 0..runs {
        assert!(scene.results("j").is_empty());
        scene.wait(100);
        let run = scene.last().run;
        scene.head(run, status, 5);
        scene.part(run, RunPart::End);
    }
    scene.wait(100);
    assert_eq!(
        scene.results("j"),
        vec![("i".to_string(), false, String::new(), vec![])]
    );
    assert_eq!(scene.started.len(), runs);
}

/// Each leader would try it anew otherwise, more often than a route allows.
#[test]
fn failures_of_an_item_count_on_under_the_next_leader() {
    let mut scene = Scene::new(vec![engine("a", 5), engine("b", 5)]);
    scene.submit("j", 5, &["i"]);
    for failure in 1..=6 {
        if failure == 5 {
            scene.wait(200);
            scene.change_leader();
        }
        assert!(scene.results("j").is_empty(), "after {failure} failures");
        scene.wait(100);
        let run = scene.last().run;
        scene.head(run, 500, 5);
        scene.part(run, RunPart::End);
    }
    scene.wait(100);
    assert_eq!(
        scene.results("j"),
        vec![("i".to_string(), false, String::new(), vec![])]
    );
}

#[test]
fn an_item_does_not_go_back_to_the_engine_that_failed_it_while_others_have_room() {
    let mut scene = Scene::new(vec![engine("a", 5), engine("b", 5)]);
    scene.configuration.services.insert(
        "models".into(),
        Service {
            slots: 4,
            ..Service::default()
        },
    );
    // Busier than short items may make it, but not full.
    let busy = scene.directory.get_mut(&Instance("b".into())).unwrap();
    busy.stats.in_flight = 3;
    scene.submit("j", 5, &["i", "k"]);
    scene.poll();
    let first = scene.started[0].clone();
    assert_eq!(first.engine, "a");
    scene.head(first.run, 500, 5);
    scene.part(first.run, RunPart::End);
    scene.wait(40);
    assert_eq!(scene.last().engine, "b");
}

#[test]
fn a_refusal_costs_no_attempt() {
    let mut scene = Scene::new(vec![engine("a", 5)]);
    scene.submit("j", 5, &["i"]);
    for _ in 0..12 {
        scene.wait(200);
        let run = scene.last().run;
        scene.head(run, 503, 5);
        scene.part(run, RunPart::End);
    }
    scene.wait(200);
    assert!(scene.results("j").is_empty());
    assert_eq!(scene.started.len(), 13);
}

#[test]
fn the_end_of_a_job_stops_its_runs_and_a_later_job_goes_on() {
    let mut scene = Scene::new(vec![engine("a", 5)]);
    scene.submit("j", 5, &["i"]);
    scene.poll();
    let run = scene.last().run;
    scene.head(run, 200, 5);
    scene.data(run, "1|0|one\n2|0|two\n");
    scene.end("j");
    assert!(scene.cancelled.contains(&run));
    scene.wait(100);
    assert_eq!(scene.started.len(), 1);
    scene.submit("k", 5, &["i"]);
    scene.poll();
    assert_eq!(scene.last().after, Some(2));
}

#[test]
fn a_text_that_is_too_old_for_a_later_job_is_made_anew() {
    let mut scene = Scene::new(vec![engine("a", 5)]);
    scene.submit("j", 5, &["i"]);
    scene.poll();
    let run = scene.last().run;
    scene.head(run, 200, 5);
    scene.data(run, "1|0|one\n2|0|two\n");
    scene.end("j");
    scene
        .directory
        .record_version(&Instance("a".into()), "m", 7);
    scene.submit("k", 6, &["i"]);
    scene.poll();
    assert_eq!(scene.last().after, None);
}

#[test]
fn a_whole_result_is_listed_again_in_a_later_job() {
    let mut scene = Scene::new(vec![engine("a", 5)]);
    scene.submit("j", 5, &["i"]);
    scene.poll();
    let run = scene.last().run;
    scene.head(run, 200, 5);
    scene.data(run, "1|0|one\n");
    scene.part(run, RunPart::End);
    scene.poll();
    scene.end("j");
    scene.submit("k", 5, &["i"]);
    scene.poll();
    assert_eq!(scene.results("k"), vec![whole("i", "one", &[5])]);
    assert_eq!(scene.started.len(), 1);
}

#[test]
fn a_silent_engine_loses_its_run() {
    let mut scene = Scene::new(vec![engine("a", 5), engine("b", 5)]);
    scene.submit("j", 5, &["i"]);
    scene.poll();
    let first = scene.last();
    scene.wait(1_000);
    assert!(scene.cancelled.contains(&first.run));
    assert_ne!(scene.last().engine, first.engine);
}

#[test]
fn a_leaving_engine_gets_nothing_new_and_hands_its_runs_over() {
    let mut scene = Scene::new(vec![engine("a", 5), engine("b", 5)]);
    scene.submit("j", 5, &["i"]);
    scene.poll();
    let first = scene.last();
    let mut leaving = engine(&first.engine, 5);
    leaving.draining = true;
    scene.directory.apply(
        scene.now,
        StoreEvent {
            name: first.engine.clone(),
            object: Some(StoreObject::Engine(leaving)),
        },
    );
    scene.wait(25);
    assert!(scene.cancelled.contains(&first.run));
    assert_ne!(scene.last().engine, first.engine);
}

#[test]
fn long_texts_move_to_a_faster_engine_once() {
    let mut scene = Scene::new(vec![engine("a", 5), engine("b", 5)]);
    scene.set_pace("a", 40);
    scene.set_pace("b", 52);
    // The faster one is full at first.
    scene.set_running("a", 4);
    scene.submit("j", 5, &["i"]);
    scene.poll();
    let first = scene.last();
    assert_eq!(first.engine, "b");
    scene.head(first.run, 200, 5);
    for event in 1..=30 {
        scene.wait(52);
        scene.data(first.run, &format!("{event}|0|x\n"));
    }
    assert_eq!(scene.started.len(), 1);
    scene.set_running("a", 0);
    scene.wait(25);
    assert_eq!(scene.last().engine, "a");
    assert_eq!(scene.last().after, Some(30));
    let second = scene.last().run;
    scene.head(second, 200, 5);
    for event in 31..=60 {
        scene.wait(41);
        scene.data(second, &format!("{event}|0|x\n"));
    }
    assert_eq!(scene.started.len(), 2, "{:?}", scene.started);
}

#[test]
fn a_text_whose_end_was_lost_is_whole_once_two_runs_add_nothing() {
    let mut scene = Scene::new(vec![engine("a", 5), engine("b", 5)]);
    scene.submit("j", 5, &["i"]);
    scene.poll();
    let run = scene.last().run;
    scene.head(run, 200, 5);
    scene.data(run, "1|0|one\n2|0|two\n");
    // All events came, but not the end.
    scene.part(run, RunPart::Failed("reset".into()));
    for _ in 0..2 {
        assert!(scene.results("j").is_empty());
        scene.wait(600);
        let again = scene.last();
        assert_eq!(again.after, Some(2));
        scene.head(again.run, 200, 5);
        scene.part(again.run, RunPart::End);
    }
    scene.poll();
    assert_eq!(scene.results("j"), vec![whole("i", "one\ntwo", &[5])]);
}

#[test]
fn a_run_without_any_event_is_no_text() {
    let mut scene = Scene::new(vec![engine("a", 5)]);
    scene.submit("j", 5, &["i"]);
    for _ in 0..4 {
        scene.wait(5_000);
        let run = scene.last().run;
        scene.head(run, 200, 5);
        scene.part(run, RunPart::End);
    }
    scene.poll();
    assert!(scene.results("j").is_empty());
}
