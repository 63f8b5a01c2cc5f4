//! Requests end once, with a true answer, at once when nothing more can be done.

mod lookups;
mod restarts;
mod scene;
mod suspects;
mod tenants;
mod told;

use bytes::Bytes;
use peatgrade_forward::CallId;
use peatgrade_ports::{CallerMessage, Configuration, EngineRecord, Instance, JobRead, RouteKind};
use peatgrade_schema::replication::JobStatus;
use peatgrade_types::http::{HttpStep, ResponseHead, ResponsePart};
use rstest::rstest;
use scene::Scene;
use std::collections::BTreeSet;

#[test]
fn a_whole_answer_goes_back() {
    let mut scene = Scene::new(RouteKind::Safe, 3);
    scene.call();
    assert!(scene.sent[0].left <= 1_000);
    scene.answer(0, 200, &["id", "signed"], "body");
    assert_eq!(scene.status(), Some(200));
    assert_eq!(scene.bodies, b"body");
    assert!(scene.ended);
}

#[rstest]
#[case::safe(RouteKind::Safe, 2)]
#[case::not_repeatable(RouteKind::Unsafe, 1)]
fn what_may_have_run_is_repeated_only_if_it_may_be(#[case] kind: RouteKind, #[case] sends: usize) {
    let mut scene = Scene::new(kind, 3);
    scene.call();
    scene.fail(0, HttpStep::Head);
    assert_eq!(scene.sent.len(), sends);
    if sends == 1 {
        // It may have run: no promise, and the answer is not held back.
        assert_eq!(scene.status(), Some(502));
    } else {
        assert_ne!(scene.sent[0].engine, scene.sent[1].engine);
        scene.answer(1, 200, &["id", "signed"], "body");
        assert_eq!(scene.status(), Some(200));
    }
}

#[test]
fn only_a_request_that_may_be_repeated_uses_a_kept_connection() {
    for (kind, fresh) in [(RouteKind::Safe, false), (RouteKind::Unsafe, true)] {
        let mut scene = Scene::new(kind, 1);
        scene.call();
        assert_eq!(scene.sent[0].fresh, fresh);
    }
}

#[test]
fn a_request_that_no_engine_took_is_refused_at_once_with_when_to_come_back() {
    let mut scene = Scene::new(RouteKind::Unsafe, 3);
    scene.call();
    for index in 0..3 {
        assert_eq!(scene.status(), None);
        scene.answer(index, 503, &["id", "not-run"], "");
    }
    assert_eq!(scene.status(), Some(503));
    assert!(scene.heads[0].header("retry-ms").is_some());
}

#[test]
fn a_connection_that_was_never_made_proves_that_nothing_ran() {
    let mut scene = Scene::new(RouteKind::Unsafe, 2);
    scene.call();
    scene.fail(0, HttpStep::Connect);
    assert_eq!(scene.sent.len(), 2);
    scene.fail(1, HttpStep::Connect);
    assert_eq!(scene.status(), Some(503));
}

#[test]
fn an_answer_of_another_request_is_never_passed_on() {
    let mut scene = Scene::new(RouteKind::Safe, 3);
    scene.call();
    let mut head = ResponseHead::new(200, "text/plain");
    head.headers.push(("id".into(), "other".into()));
    head.headers.push(("signed".into(), "1".into()));
    scene.part(0, ResponsePart::Head(head));
    assert!(scene.cancelled.contains(&scene.sent[0].id));
    scene.answer(1, 200, &["id", "signed"], "right");
    assert_eq!(scene.bodies, b"right");
}

#[test]
fn a_success_without_the_engines_signature_is_none() {
    let mut scene = Scene::new(RouteKind::Safe, 3);
    scene.call();
    scene.answer(0, 200, &["id"], "forged");
    scene.answer(1, 200, &["id"], "forged");
    assert_eq!(scene.status(), Some(502));
    assert!(scene.bodies.is_empty());
}

#[test]
fn a_silent_engine_is_not_waited_for_alone() {
    let mut scene = Scene::new(RouteKind::Safe, 3);
    scene.call();
    scene.wait(80);
    assert_eq!(scene.sent.len(), 2);
    scene.answer(1, 200, &["id", "signed"], "second");
    assert_eq!(scene.status(), Some(200));
    // The first one's answer comes late and goes nowhere.
    scene.answer(0, 200, &["id", "signed"], "first");
    assert_eq!(scene.bodies, b"second");
}

#[test]
fn no_more_engines_than_allowed_run_a_request() {
    let mut scene = Scene::new(RouteKind::Safe, 5);
    scene.call();
    scene.wait(80);
    scene.wait(80);
    scene.wait(80);
    assert_eq!(scene.sent.len(), 2);
}

#[test]
fn the_deadline_ends_a_request_and_its_work() {
    let mut scene = Scene::new(RouteKind::Unsafe, 3);
    scene.call();
    scene.wait(990);
    assert_eq!(scene.status(), Some(504));
    assert_eq!(scene.cancelled.len(), 1);
}

#[test]
fn work_for_a_caller_that_left_is_stopped() {
    let mut scene = Scene::new(RouteKind::Safe, 3);
    scene.call();
    let actions = scene.gateway.on_caller_disconnected(scene.now, CallId(1));
    scene.carry_out(actions);
    assert_eq!(scene.cancelled.len(), 1);
    assert_eq!(scene.gateway.in_flight(), 0);
}

#[test]
fn a_gateway_without_configuration_promises_that_nothing_ran() {
    let mut scene = Scene::new(RouteKind::Safe, 1);
    scene.gateway.configuration = None;
    scene.call();
    assert_eq!(scene.status(), Some(503));
}

#[test]
fn an_unknown_route_is_told_so_and_an_older_configuration_changes_nothing() {
    let mut scene = Scene::new(RouteKind::Safe, 1);
    assert!(!scene.gateway.apply_configuration(Configuration {
        version: 1,
        ..Configuration::default()
    }));
    scene.call_on("/q/x");
    assert_eq!(scene.status(), Some(404));
}

/// A list that was read before a change may arrive after it.
#[rstest]
#[case::same(5)]
#[case::older(4)]
#[case::much_older(1)]
fn a_configuration_never_goes_backwards(#[case] version: u64) {
    let mut scene = Scene::new(RouteKind::Safe, 1);
    let routes = scene.gateway.configuration.as_ref().unwrap().routes.clone();
    assert!(scene.gateway.apply_configuration(Configuration {
        version: 5,
        routes,
        ..Configuration::default()
    }));
    assert!(!scene.gateway.apply_configuration(Configuration {
        version,
        ..Configuration::default()
    }));
    scene.call();
    assert_eq!(scene.sent.len(), 1, "the route is still there");
}

#[test]
fn a_draining_engine_gets_nothing_new() {
    let mut scene = Scene::new(RouteKind::Safe, 1);
    let mut leaving = EngineRecord {
        instance: Instance("e0".into()),
        service: "s".into(),
        ..EngineRecord::default()
    };
    leaving.draining = true;
    scene.gateway.directory.replace(scene.now, vec![leaving]);
    scene.call();
    assert!(scene.sent.is_empty());
    assert_eq!(scene.status(), Some(503));
}

#[test]
fn a_job_call_follows_the_leader() {
    let mut scene = Scene::new(RouteKind::Batch, 0);
    scene
        .gateway
        .set_replicas(vec!["a:1".into(), "b:1".into(), "c:1".into()]);
    scene.call();
    let (first, call) = scene.jobs[0].clone();
    scene.reply(&first, call, JobStatus::NOT_LEADER, "z:1");
    assert_eq!(scene.jobs[1], ("z:1".to_string(), call));
    scene.reply("z:1", call, JobStatus::OK, "z:1");
    assert_eq!(scene.status(), Some(202));
}

#[test]
fn a_submission_that_was_sent_is_never_called_not_run() {
    let mut scene = Scene::new(RouteKind::Batch, 0);
    scene.gateway.set_replicas(vec!["a:1".into(), "b:1".into()]);
    scene.call();
    for _ in 0..40 {
        scene.wait(50);
    }
    assert!(scene.jobs.len() > 1, "sent again to others");
    assert_eq!(scene.status(), Some(502));
}

#[test]
fn a_submission_that_found_nobody_is_refused_as_not_run() {
    let mut scene = Scene::new(RouteKind::Batch, 0);
    scene.call();
    for _ in 0..40 {
        scene.wait(50);
    }
    assert_eq!(scene.status(), Some(503));
    assert!(scene.heads[0].header("retry-ms").is_some());
}

fn begin_stream(scene: &mut Scene, index: usize) {
    let mut head = ResponseHead::new(200, "text/event-stream");
    head.headers.push(("id".into(), "r1".into()));
    head.headers.push(("signed".into(), "1".into()));
    scene.part(index, ResponsePart::Head(head));
}

fn data(scene: &mut Scene, index: usize, text: &str) {
    scene.part(index, ResponsePart::Data(Bytes::from(text.to_string())));
}

#[test]
fn a_stream_that_breaks_off_goes_on_at_another_engine_after_its_last_whole_event() {
    let mut scene = Scene::new(RouteKind::Streaming, 3);
    scene.call();
    begin_stream(&mut scene, 0);
    data(&mut scene, 0, "id: 1\ndata: one\n\nid: 2\nda");
    assert_eq!(scene.bodies, b"id: 1\ndata: one\n\n", "each as it comes");
    scene.fail(0, HttpStep::Body);
    assert_eq!(scene.sent[1].after, "Some(1)");
    assert_ne!(scene.sent[1].engine, scene.sent[0].engine);
    begin_stream(&mut scene, 1);
    data(&mut scene, 1, "id: 2\ndata: two\n\n");
    scene.part(1, ResponsePart::End);
    assert_eq!(scene.heads.len(), 1);
    assert_eq!(scene.bodies, b"id: 1\ndata: one\n\nid: 2\ndata: two\n\n");
    assert!(scene.ended && !scene.cut);
}

#[test]
fn half_a_stream_never_looks_whole() {
    let mut scene = Scene::new(RouteKind::Streaming, 2);
    scene.call();
    for index in 0..2 {
        begin_stream(&mut scene, index);
        data(&mut scene, index, "id: 1\ndata: one\n\n");
        scene.fail(index, HttpStep::Body);
    }
    assert!(scene.cut);
    assert_eq!(scene.heads.len(), 1);
}

#[test]
fn an_error_of_the_next_engine_is_not_mixed_into_a_stream() {
    let mut scene = Scene::new(RouteKind::Streaming, 2);
    scene.call();
    begin_stream(&mut scene, 0);
    data(&mut scene, 0, "id: 1\ndata: one\n\n");
    scene.fail(0, HttpStep::Body);
    scene.answer(1, 500, &["id", "signed"], "broken");
    assert!(scene.cut);
    assert_eq!(scene.bodies, b"id: 1\ndata: one\n\n");
    assert_eq!(scene.heads.len(), 1);
}

#[test]
fn a_stream_whose_time_is_over_is_cut() {
    let mut scene = Scene::new(RouteKind::Streaming, 2);
    scene.call();
    begin_stream(&mut scene, 0);
    scene.wait(1_000);
    assert!(scene.cut);
    assert_eq!(scene.cancelled.len(), 1);
}

#[test]
fn a_draining_gateway_ends_what_it_has_and_takes_nothing_more() {
    let mut scene = Scene::new(RouteKind::Unsafe, 2);
    scene.call();
    scene.gateway.start_draining();
    scene.answer(0, 200, &["id", "signed"], "whole");
    assert_eq!((scene.status(), scene.ended), (Some(200), true));
    scene.heads.clear();
    scene.ended = false;
    scene.call();
    assert_eq!((scene.status(), scene.ended), (Some(503), true));
    assert!(scene.heads[0].header("retry-ms").is_some());
    assert_eq!(scene.sent.len(), 1, "it went to an engine");
    assert_eq!(scene.gateway.in_flight(), 0);
}

#[test]
fn a_draining_gateway_takes_no_batch_job_calls() {
    let mut scene = Scene::new(RouteKind::Batch, 1);
    scene.gateway.set_replicas(vec!["a:1".into()]);
    scene.gateway.start_draining();
    let read = CallerMessage::ReadJob(JobRead::default());
    let actions = scene.gateway.on_caller_message(scene.now, CallId(9), read);
    scene.carry_out(actions);
    assert_eq!(scene.status(), Some(503));
    assert!(scene.jobs.is_empty());
}

/// Versions of model `m` at each of two engines, and those that are chosen, whatever is
/// drawn. Machines that know as little draw among equals: else all of them would choose
/// the first engine of the list.
#[rstest]
#[case::same([4, 4], &["e0", "e1"])]
#[case::newer_weights([3, 4], &["e1"])]
#[case::far_behind([2, 4], &["e1"])]
fn a_request_for_a_model_goes_to_newer_weights(
    #[case] versions: [u64; 2],
    #[case] expected: &[&str],
) {
    let mut chosen = BTreeSet::new();
    for seed in 0..32 {
        let mut scene = Scene::seeded(RouteKind::Streaming, 2, seed);
        for (index, version) in versions.into_iter().enumerate() {
            let instance = Instance(format!("e{index}"));
            scene
                .gateway
                .directory
                .record_version(&instance, "m", version);
        }
        scene.call_for("m");
        chosen.insert(scene.sent[0].engine.clone());
    }
    assert!(chosen.iter().eq(expected), "{chosen:?}");
}

#[test]
fn requests_do_not_all_wait_for_the_only_engine_with_new_weights() {
    let mut scene = Scene::new(RouteKind::Streaming, 2);
    for (name, version) in [("e0", 2), ("e1", 4)] {
        let instance = Instance(name.into());
        scene
            .gateway
            .directory
            .record_version(&instance, "m", version);
    }
    let busy = scene.gateway.directory.get_mut(&Instance("e1".into()));
    busy.unwrap().stats.in_flight = 30;
    scene.call_for("m");
    assert_eq!(scene.sent[0].engine, "e0");
}

/// Reward calls are given up after so many of them, so none may be missed and no
/// other trouble may count.
#[test]
fn answers_that_say_that_an_engine_failed_are_told_each_once() {
    let mut scene = Scene::new(RouteKind::Safe, 3);
    scene.call();
    scene.answer(0, 503, &["id", "not-run"], "full");
    scene.answer(1, 502, &["id", "signed"], "broken");
    assert_eq!(scene.engine_failures, 0);
    scene.answer(2, 500, &["id", "signed"], "failed");
    assert_eq!(scene.engine_failures, 1);
    assert_eq!(scene.status(), Some(500));
}
