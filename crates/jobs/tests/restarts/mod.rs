//! Items at engines that start again under their name, or are not at their address.

use peatgrade_jobs::{RunId, RunPart};
use peatgrade_ports::{EngineRecord, EngineResponseHead, Instance, StartedAt};
use rstest::rstest;

use crate::dispatch::{engine, Harness};

fn started(name: &str, started: u64) -> EngineRecord {
    EngineRecord {
        started: Some(StartedAt(started)),
        ..engine(name, 5)
    }
}

/// An item runs at an engine and has two events.
fn running() -> Harness {
    let mut scene = Harness::new(vec![started("a", 5), started("b", 5)]);
    scene.submit("j", 5, &["i"]);
    scene.poll();
    let run = scene.last_started().run;
    scene.head(run, 200, 5);
    scene.data(run, "1|0|one\n2|0|two\n");
    scene
}

#[test]
fn a_run_of_an_ended_life_goes_on_elsewhere_at_once() {
    let mut scene = running();
    let first = scene.last_started();
    scene.wait(320);
    assert_eq!(scene.started.len(), 1, "it may be a pause");
    scene.add_engine(started(&first.engine, 6));
    scene.wait(60);
    assert_eq!(scene.cancelled, [first.run]);
    let second = scene.last_started();
    assert_eq!((scene.started.len(), second.after), (2, Some(2)));
    let state = scene
        .directory
        .get(&Instance(first.engine.clone()))
        .unwrap();
    assert_eq!(
        state.stats.consecutive_failures, 0,
        "no blame for the new life"
    );
    let runs = state.stats.in_flight;
    assert_eq!(runs, u32::from(second.engine == first.engine));
}

/// It left after the new start, and the news of that came later.
#[test]
fn a_run_that_is_heard_of_goes_on_where_it_is() {
    let mut scene = running();
    let first = scene.last_started();
    scene.wait(100);
    scene.add_engine(started(&first.engine, 6));
    scene.wait(60);
    assert!(scene.cancelled.is_empty());
    let name = Instance(first.engine.clone());
    assert_eq!(scene.directory.get(&name).unwrap().stats.in_flight, 1);
    scene.data(first.run, "3|0|three\n");
    scene.part(first.run, RunPart::End);
    scene.poll();
    assert_eq!(scene.results("j")[0].2, "one\ntwo\nthree");
    assert_eq!(scene.directory.get(&name).unwrap().stats.in_flight, 0);
}

#[test]
fn what_a_run_of_an_ended_life_shows_says_nothing_of_the_next() {
    let mut scene = running();
    let first = scene.last_started();
    let name = Instance(first.engine.clone());
    scene.add_engine(EngineRecord {
        models: [("m".to_string(), 3)].into(),
        ..started(&first.engine, 6)
    });
    scene.head(first.run, 200, 9);
    assert_eq!(scene.directory.get(&name).unwrap().version("m"), 3);
    scene.part(first.run, RunPart::Failed("reset".into()));
    let state = scene.directory.get(&name).unwrap();
    assert_eq!(state.stats.consecutive_failures, 0);
    assert_eq!(state.stats.in_flight, 0);
}

fn refuse(scene: &mut Harness, told: Option<&str>) {
    let run = scene.last_started().run;
    refuse_run(scene, run, told);
}

fn refuse_run(scene: &mut Harness, run: RunId, told: Option<&str>) {
    let head = EngineResponseHead {
        status: 421,
        misdirected: true,
        instance: told.map(|told| Instance(told.into())),
        ..EngineResponseHead::default()
    };
    scene.part(run, RunPart::Head(head));
    scene.part(run, RunPart::End);
}

/// 139 items went in 4 s to an engine that answered each so.
#[rstest]
#[case::without_a_name(None)]
#[case::by_another(Some("other"))]
fn nothing_more_goes_to_an_engine_that_is_not_there(#[case] told: Option<&str>) {
    let mut scene = Harness::new(vec![started("a", 5)]);
    scene.submit("j", 5, &["i", "k", "l"]);
    scene.poll();
    let sent = scene.started.len();
    for run in scene.started.clone() {
        refuse_run(&mut scene, run.run, told);
    }
    scene.wait(450);
    assert_eq!(scene.started.len(), sent);
    // A single item shows whether it is back.
    scene.wait(100);
    assert_eq!(scene.started.len(), sent + 1);
    scene.wait(300);
    assert_eq!(scene.started.len(), sent + 1);
}

#[test]
fn an_item_goes_elsewhere_at_once_from_an_engine_that_is_not_there() {
    let mut scene = Harness::new(vec![started("a", 5), started("b", 5)]);
    scene.submit("j", 5, &["i"]);
    scene.poll();
    let first = scene.last_started().engine;
    refuse(&mut scene, None);
    scene.wait(15);
    assert_ne!(scene.last_started().engine, first);
}

#[test]
fn an_engine_that_has_other_weights_is_there() {
    let mut scene = Harness::new(vec![started("a", 5), started("b", 5)]);
    scene.change_routes(|routes| routes[0].single_version = true);
    scene.submit("j", 5, &["i"]);
    scene.poll();
    let first = scene.last_started();
    scene.head(first.run, 200, 5);
    scene.data(first.run, "1|0|one\n");
    scene.part(first.run, RunPart::Failed("reset".into()));
    scene.wait(60);
    let second = scene.last_started();
    refuse(&mut scene, None);
    let state = scene.directory.get(&Instance(second.engine)).unwrap();
    assert!(!state.is_absent(scene.now));
}

#[test]
fn an_engine_that_failed_an_item_is_tried_again_in_its_next_life() {
    let mut scene = Harness::new(vec![started("a", 5), started("b", 5)]);
    scene.submit("j", 5, &["i"]);
    scene.poll();
    let first = scene.last_started();
    let other = if first.engine == "a" { "b" } else { "a" };
    scene.set_running(other, 3);
    scene.part(first.run, RunPart::Failed("reset".into()));
    scene.add_engine(started(&first.engine, 6));
    scene.wait(60);
    assert_eq!(scene.last_started().engine, first.engine);
    assert_eq!(scene.started.len(), 2);
}
