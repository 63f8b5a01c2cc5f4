//! Requests at engines that start again under their name, or are not at their address.

use peatgrade_ports::{Instance, RouteKind};
use peatgrade_quarantine::{Fingerprint, RequestParts};
use peatgrade_types::http::{HttpStep, ResponseHead, ResponsePart};
use rstest::rstest;

use crate::scene::Scene;

/// A request is under way at an engine that then starts again.
fn restarted(kind: RouteKind) -> Scene {
    let mut scene = Scene::new(kind, 3);
    for engine in ["e0", "e1", "e2"] {
        scene.list_start(engine, 5);
    }
    scene.call();
    let engine = scene.sent[0].engine.clone();
    scene.list_start(&engine, 6);
    scene.wait(1);
    scene
}

#[test]
fn a_repeatable_request_goes_on_elsewhere_at_once() {
    let mut scene = restarted(RouteKind::Safe);
    assert_eq!(scene.sent.len(), 2);
    assert_ne!(scene.sent[0].engine, scene.sent[1].engine);
    scene.answer(1, 200, &["id", "signed"], "body");
    assert_eq!(scene.status(), Some(200));
}

/// It left after the new start, and the news of that came later.
#[test]
fn the_first_engine_may_still_answer() {
    let mut scene = restarted(RouteKind::Safe);
    assert!(scene.cancelled.is_empty());
    scene.answer(0, 200, &["id", "signed"], "body");
    assert_eq!(scene.status(), Some(200));
}

#[test]
fn what_may_run_once_only_is_not_sent_again() {
    let mut scene = restarted(RouteKind::Unsafe);
    assert_eq!(scene.sent.len(), 1);
    scene.answer(0, 200, &["id", "signed"], "body");
    assert_eq!(scene.status(), Some(200));
}

#[test]
fn a_stream_is_taken_up_elsewhere_after_its_last_event() {
    let mut scene = Scene::new(RouteKind::Streaming, 2);
    scene.list_start("e0", 5);
    scene.list_start("e1", 5);
    scene.call();
    let mut head = ResponseHead::new(200, "text/event-stream");
    head.headers.push(("id".into(), "r1".into()));
    head.headers.push(("signed".into(), "1".into()));
    scene.part(0, ResponsePart::Head(head));
    let events = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
    scene.part(0, ResponsePart::Data(events.into()));
    let engine = scene.sent[0].engine.clone();
    scene.list_start(&engine, 6);
    scene.wait(1);
    assert_eq!(scene.cancelled, [scene.sent[0].id]);
    assert_eq!(scene.sent[1].after, "Some(2)");
    assert!(!scene.cut);
}

#[test]
fn the_new_life_of_an_engine_begins_without_requests_and_blame() {
    let mut scene = restarted(RouteKind::Safe);
    let engine = Instance(scene.sent[0].engine.clone());
    scene.fail(0, HttpStep::Head);
    let state = scene.gateway.directory.get(&engine).unwrap();
    assert_eq!(state.stats.in_flight, 0);
    assert_eq!(state.stats.consecutive_failures, 0);
}

fn refuse_misdirected(scene: &mut Scene, index: usize, told: Option<&str>) {
    let mut head = ResponseHead::new(421, "text/plain");
    let told = told.map(|id| ("instance".to_string(), id.to_string()));
    head.headers.extend(told);
    scene.part(index, ResponsePart::Head(head));
    scene.part(index, ResponsePart::End);
}

#[rstest]
#[case::without_a_name(None)]
#[case::by_another(Some("other"))]
fn nothing_more_goes_to_an_engine_that_is_not_there(#[case] told: Option<&str>) {
    let mut scene = Scene::new(RouteKind::Unsafe, 1);
    scene.call();
    refuse_misdirected(&mut scene, 0, told);
    assert_eq!(scene.status(), Some(503), "truly not run");
    scene.heads.clear();
    scene.ended = false;
    scene.wait(100);
    scene.call();
    assert_eq!(scene.sent.len(), 1);
    assert_eq!(scene.status(), Some(503));
    scene.heads.clear();
    scene.ended = false;
    // After the pause a single request shows whether it is back.
    scene.wait(400);
    scene.call();
    assert_eq!(scene.sent.len(), 2);
}

fn crashes(scene: &Scene) -> usize {
    let fingerprint = Fingerprint::of(&RequestParts {
        method: "POST",
        host: "h",
        path: "/p/x",
        headers: &[],
        body: b"",
        tenant: "",
    });
    scene.gateway.directory.quarantine.crash_count(fingerprint)
}

/// An engine that starts again under its name answers whoever asks for it.
#[rstest]
#[case::it_started_again("6", 1)]
#[case::it_was_there_all_the_time("5", 0)]
#[case::it_does_not_say("", 0)]
fn a_check_compares_starts(#[case] started: &str, #[case] expected: usize) {
    let mut scene = Scene::new(RouteKind::Safe, 3);
    for engine in ["e0", "e1", "e2"] {
        scene.list_start(engine, 5);
    }
    scene.call();
    scene.fail(0, HttpStep::Head);
    scene.wait(1);
    let id = scene.checks[0].0;
    let head = ResponseHead::new(200, "application/json");
    let body = started.to_string();
    for part in [
        ResponsePart::Head(head),
        ResponsePart::Data(body.into()),
        ResponsePart::End,
    ] {
        let actions = scene.gateway.on_response_part(scene.now, id, part);
        scene.carry_out(actions);
    }
    assert_eq!(crashes(&scene), expected);
    assert_eq!(
        scene.gateway.directory.ended_incarnations(),
        u64::from(expected == 1)
    );
}

#[test]
fn a_report_without_end_is_not_kept() {
    let mut scene = Scene::new(RouteKind::Safe, 3);
    scene.call();
    scene.fail(0, HttpStep::Head);
    scene.wait(1);
    let id = scene.checks[0].0;
    let head = ResponseHead::new(200, "application/json");
    let actions = scene
        .gateway
        .on_response_part(scene.now, id, ResponsePart::Head(head));
    scene.carry_out(actions);
    for _ in 0..5 {
        let data = vec![b'1'; 64 * 1024];
        let part = ResponsePart::Data(data.into());
        let actions = scene.gateway.on_response_part(scene.now, id, part);
        scene.carry_out(actions);
    }
    assert!(scene.cancelled.contains(&id));
    assert_eq!(crashes(&scene), 0);
}
