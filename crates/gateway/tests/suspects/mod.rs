//! What a request gets under which engines have crashed.

use peatgrade_ports::{Instance, RouteKind};
use peatgrade_quarantine::{Fingerprint, RequestParts, RetryScope};
use peatgrade_types::http::{HttpFailure, HttpStep, ResponseHead, ResponsePart};
use peatgrade_types::Duration;
use rstest::rstest;

use crate::scene::Scene;

/// The request that a scene calls with.
fn fingerprint() -> Fingerprint {
    Fingerprint::of(&RequestParts {
        method: "POST",
        host: "h",
        path: "/p/x",
        headers: &[],
        body: b"",
        tenant: "",
    })
}

/// Some engines crashed under the request, as other gateways have told.
fn tell_crashes(scene: &mut Scene, crashes: usize) {
    let mut elsewhere = peatgrade_quarantine::Quarantine::default();
    for number in 0..crashes {
        let engine = Instance(format!("gone-{number}"));
        elsewhere.record_interrupted_run(scene.now, &engine, fingerprint(), RetryScope::AnyNode);
        elsewhere.record_engine_crash(scene.now, &engine, None);
    }
    let records = elsewhere.records(scene.now);
    let quarantine = &mut scene.gateway.directory.quarantine;
    quarantine.merge(scene.now, &records, "elsewhere");
}

fn answer_check(scene: &mut Scene, index: usize, part: ResponsePart) {
    let id = scene.checks[index].0;
    let actions = scene.gateway.on_response_part(scene.now, id, part);
    scene.carry_out(actions);
}

fn refused() -> ResponsePart {
    ResponsePart::Failed(HttpFailure {
        peer: "e".into(),
        step: HttpStep::Refused,
        reason: "refused".into(),
    })
}

/// Callers waited and came back for nothing, and the next engines ended.
#[rstest]
#[case::safe(RouteKind::Safe)]
#[case::not_repeatable(RouteKind::Unsafe)]
#[case::stream(RouteKind::Streaming)]
fn what_ended_three_engines_is_answered_at_once_and_for_good(#[case] kind: RouteKind) {
    let mut scene = Scene::new(kind, 3);
    tell_crashes(&mut scene, 3);
    scene.call();
    assert!(scene.sent.is_empty());
    assert_eq!(scene.status(), Some(502), "it promises nothing");
    assert!(scene.heads[0].header("retry-ms").is_none());
    assert!(scene.ended);
}

#[test]
fn a_request_under_way_is_taken_back_when_others_tell_that_it_ends_engines() {
    let mut scene = Scene::new(RouteKind::Safe, 3);
    scene.call();
    tell_crashes(&mut scene, 3);
    scene.wait(5);
    assert_eq!(scene.cancelled, [scene.sent[0].id]);
    assert_eq!(scene.status(), Some(502));
}

#[test]
fn an_engine_is_asked_whether_it_is_there_after_a_broken_run() {
    let mut scene = Scene::new(RouteKind::Safe, 3);
    scene.call();
    scene.fail(0, HttpStep::Head);
    scene.wait(1);
    assert_eq!(scene.checks[0].1, scene.sent[0].engine);
    answer_check(&mut scene, 0, refused());
    assert_eq!(
        scene
            .gateway
            .directory
            .quarantine
            .crash_count(fingerprint()),
        1
    );
}

#[rstest]
#[case::answers(200, 0)]
#[case::answers_that_it_does_not_know_that(404, 0)]
#[case::another_instance_is_there(421, 1)]
fn an_engine_that_answers_did_not_crash(#[case] status: u16, #[case] crashes: usize) {
    let mut scene = Scene::new(RouteKind::Safe, 3);
    scene.call();
    scene.fail(0, HttpStep::Body);
    scene.wait(1);
    let head = ResponseHead::new(status, "text/plain");
    answer_check(&mut scene, 0, ResponsePart::Head(head));
    let quarantine = &scene.gateway.directory.quarantine;
    assert_eq!(quarantine.crash_count(fingerprint()), crashes);
}

/// An engine that leaves ends under what it runs last.
#[test]
fn the_planned_end_of_an_engine_is_no_crash() {
    let mut scene = Scene::new(RouteKind::Safe, 3);
    scene.call();
    let engine = Instance(scene.sent[0].engine.clone());
    let state = scene.gateway.directory.get_mut(&engine).unwrap();
    state.record.draining = true;
    scene.fail(0, HttpStep::Head);
    scene.wait(1);
    assert!(scene.checks.is_empty());
}

#[test]
fn a_run_that_broke_off_waits_for_its_copy_before_a_third_engine_is_met() {
    let mut scene = Scene::new(RouteKind::Safe, 3);
    scene.allow_attempts(3);
    scene.call();
    scene.wait(80);
    assert_eq!(scene.sent.len(), 2);
    scene.fail(0, HttpStep::Head);
    scene.wait(80);
    assert_eq!(scene.sent.len(), 2);
    scene.answer(1, 200, &["id", "signed"], "body");
    assert_eq!(scene.status(), Some(200));
}

#[test]
fn a_second_broken_run_goes_on_at_a_third_engine() {
    let mut scene = Scene::new(RouteKind::Safe, 3);
    scene.allow_attempts(3);
    scene.call();
    scene.fail(0, HttpStep::Head);
    scene.fail(1, HttpStep::Head);
    assert_eq!(scene.sent.len(), 3);
    scene.answer(2, 200, &["id", "signed"], "body");
    assert_eq!(scene.status(), Some(200));
}

#[test]
fn a_request_that_lost_an_engine_has_no_second_copy() {
    let mut scene = Scene::new(RouteKind::Safe, 3);
    tell_crashes(&mut scene, 1);
    scene.call();
    scene.wait(80);
    assert_eq!(scene.sent.len(), 1);
}

#[rstest]
#[case::others_are_there(3, 0, true)]
#[case::one_other_is_there(3, 1, true)]
#[case::it_is_the_last(3, 2, false)]
#[case::the_service_has_only_one(1, 0, true)]
fn a_suspect_leaves_the_last_engine_of_a_service_to_others(
    #[case] engines: usize,
    #[case] unreachable: usize,
    #[case] is_sent: bool,
) {
    let mut scene = Scene::new(RouteKind::Safe, engines);
    tell_crashes(&mut scene, 2);
    for number in 0..unreachable {
        let engine = Instance(format!("e{number}"));
        let state = scene.gateway.directory.get_mut(&engine).unwrap();
        state.stats.is_unreachable = true;
        state.stats.backoff_until = scene.now + Duration::from_millis(400);
    }
    scene.call();
    assert_eq!(scene.sent.len(), usize::from(is_sent));
    if !is_sent {
        // It has not run, and may when more engines are back.
        assert_eq!(scene.status(), Some(503));
        assert_eq!(scene.heads[0].header("retry-ms"), Some("1000"));
    }
}

#[test]
fn a_suspect_that_is_served_is_clear() {
    let mut scene = Scene::new(RouteKind::Safe, 3);
    tell_crashes(&mut scene, 2);
    scene.call();
    scene.answer(0, 200, &["id", "signed"], "body");
    assert_eq!(scene.status(), Some(200));
    assert_eq!(
        scene
            .gateway
            .directory
            .quarantine
            .crash_count(fingerprint()),
        0
    );
}
