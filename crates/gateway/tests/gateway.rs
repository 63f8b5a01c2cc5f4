//! Each request gets exactly one answer, as soon as its outcome is decided, and the answer
//! never claims more than the gateway knows.

mod harness;
mod memory;
mod quarantine;
mod restarts;
mod shared_observations;
mod streams;
mod tenants;
mod unavailable_engines;
mod unproven_refusals;
mod wrong_entries;

use harness::Harness;
use peatgrade_forward::CallId;
use peatgrade_ports::{CallerMessage, Configuration, EngineRecord, Instance, JobRead, RouteKind};
use peatgrade_schema::replication::JobStatus;
use peatgrade_types::http::{HttpStep, ResponseHead, ResponsePart};
use rstest::rstest;
use std::collections::BTreeSet;

#[test]
fn a_complete_response_is_returned() {
    let mut harness = Harness::new(RouteKind::Safe, 3);
    harness.call();
    assert!(harness.requests[0].remaining_ms <= 1_000);
    harness.respond(0, 200, &["id", "signed"], "body");
    assert_eq!(harness.status(), Some(200));
    assert_eq!(harness.response_body, b"body");
    assert!(harness.is_finished);
}

#[rstest]
#[case::safe(RouteKind::Safe, 2)]
#[case::unsafe_route(RouteKind::Unsafe, 1)]
fn a_request_that_may_have_run_is_retried_only_on_safe_routes(
    #[case] kind: RouteKind,
    #[case] sends: usize,
) {
    let mut harness = Harness::new(kind, 3);
    harness.call();
    harness.fail(0, HttpStep::Head);
    assert_eq!(harness.requests.len(), sends);
    if sends == 1 {
        // The request may have run, so it is answered without a retry.
        assert_eq!(harness.status(), Some(502));
    } else {
        assert_ne!(harness.requests[0].engine, harness.requests[1].engine);
        harness.respond(1, 200, &["id", "signed"], "body");
        assert_eq!(harness.status(), Some(200));
    }
}

#[test]
fn only_requests_on_safe_routes_reuse_connections() {
    for (kind, new_connection) in [(RouteKind::Safe, false), (RouteKind::Unsafe, true)] {
        let mut harness = Harness::new(kind, 1);
        harness.call();
        assert_eq!(harness.requests[0].new_connection, new_connection);
    }
}

#[test]
fn a_request_rejected_by_all_engines_is_refused_with_a_retry_hint() {
    let mut harness = Harness::new(RouteKind::Unsafe, 3);
    harness.call();
    for index in 0..3 {
        assert_eq!(harness.status(), None);
        harness.respond(index, 503, &["id", "not-run"], "");
    }
    assert_eq!(harness.status(), Some(503));
    assert!(harness.response_heads[0].header("retry-ms").is_some());
}

#[test]
fn a_failed_connect_counts_as_not_run() {
    let mut harness = Harness::new(RouteKind::Unsafe, 2);
    harness.call();
    harness.fail(0, HttpStep::Connect);
    assert_eq!(harness.requests.len(), 2);
    harness.fail(1, HttpStep::Connect);
    assert_eq!(harness.status(), Some(503));
}

#[test]
fn a_response_with_another_request_id_is_discarded() {
    let mut harness = Harness::new(RouteKind::Safe, 3);
    harness.call();
    let mut head = ResponseHead::new(200, "text/plain");
    head.headers.push(("id".into(), "other".into()));
    head.headers.push(("signed".into(), "1".into()));
    harness.respond_part(0, ResponsePart::Head(head));
    assert!(harness.cancelled.contains(&harness.requests[0].id));
    harness.respond(1, 200, &["id", "signed"], "right");
    assert_eq!(harness.response_body, b"right");
}

#[test]
fn an_unsigned_success_is_discarded() {
    let mut harness = Harness::new(RouteKind::Safe, 3);
    harness.call();
    harness.respond(0, 200, &["id"], "forged");
    harness.respond(1, 200, &["id"], "forged");
    assert_eq!(harness.status(), Some(502));
    assert!(harness.response_body.is_empty());
}

#[test]
fn a_request_at_a_silent_engine_is_hedged() {
    let mut harness = Harness::new(RouteKind::Safe, 3);
    harness.call();
    harness.advance(80);
    assert_eq!(harness.requests.len(), 2);
    harness.respond(1, 200, &["id", "signed"], "second");
    assert_eq!(harness.status(), Some(200));
    // A late response of the first engine is discarded.
    harness.respond(0, 200, &["id", "signed"], "first");
    assert_eq!(harness.response_body, b"second");
}

#[test]
fn max_attempts_bounds_the_engines_that_run_a_request() {
    let mut harness = Harness::new(RouteKind::Safe, 5);
    harness.call();
    harness.advance(80);
    harness.advance(80);
    harness.advance(80);
    assert_eq!(harness.requests.len(), 2);
}

#[test]
fn the_deadline_ends_a_request_and_cancels_its_attempt() {
    let mut harness = Harness::new(RouteKind::Unsafe, 3);
    harness.call();
    harness.advance(990);
    assert_eq!(harness.status(), Some(504));
    assert_eq!(harness.cancelled.len(), 1);
}

#[test]
fn a_disconnect_cancels_the_attempt() {
    let mut harness = Harness::new(RouteKind::Safe, 3);
    harness.call();
    let actions = harness
        .gateway
        .on_caller_disconnected(harness.now, CallId(1));
    harness.execute(actions);
    assert_eq!(harness.cancelled.len(), 1);
    assert_eq!(harness.gateway.in_flight(), 0);
}

#[test]
fn a_gateway_without_configuration_refuses_as_not_run() {
    let mut harness = Harness::new(RouteKind::Safe, 1);
    harness.gateway.configuration = None;
    harness.call();
    assert_eq!(harness.status(), Some(503));
}

#[test]
fn an_unknown_route_is_refused_and_an_older_configuration_is_ignored() {
    let mut harness = Harness::new(RouteKind::Safe, 1);
    assert!(!harness.gateway.apply_configuration(Configuration {
        version: 1,
        ..Configuration::default()
    }));
    harness.call_path("/q/x");
    assert_eq!(harness.status(), Some(404));
}

/// Guards against a list that was read before a change and arrives after it.
#[rstest]
#[case::same(5)]
#[case::older(4)]
#[case::much_older(1)]
fn a_configuration_is_not_replaced_by_an_older_one(#[case] version: u64) {
    let mut harness = Harness::new(RouteKind::Safe, 1);
    let current = harness.gateway.configuration.as_ref();
    let routes = current.unwrap().routes.clone();
    assert!(harness.gateway.apply_configuration(Configuration {
        version: 5,
        routes,
        ..Configuration::default()
    }));
    assert!(!harness.gateway.apply_configuration(Configuration {
        version,
        ..Configuration::default()
    }));
    harness.call();
    assert_eq!(harness.requests.len(), 1, "the route still exists");
}

#[test]
fn a_draining_engine_receives_no_requests() {
    let mut harness = Harness::new(RouteKind::Safe, 1);
    let mut record = EngineRecord {
        instance: Instance("e0".into()),
        service: "s".into(),
        ..EngineRecord::default()
    };
    record.draining = true;
    let directory = &mut harness.gateway.directory;
    directory.replace(harness.now, vec![record]);
    harness.call();
    assert!(harness.requests.is_empty());
    assert_eq!(harness.status(), Some(503));
}

#[test]
fn a_job_call_follows_the_leader() {
    let mut harness = Harness::new(RouteKind::Batch, 0);
    harness
        .gateway
        .set_replicas(vec!["a:1".into(), "b:1".into(), "c:1".into()]);
    harness.call();
    let (first, call) = harness.job_calls[0].clone();
    harness.job_reply(&first, call, JobStatus::NOT_LEADER, "z:1");
    assert_eq!(harness.job_calls[1], ("z:1".to_string(), call));
    harness.job_reply("z:1", call, JobStatus::OK, "z:1");
    assert_eq!(harness.status(), Some(202));
}

#[test]
fn a_sent_submission_is_never_refused_as_not_run() {
    let mut harness = Harness::new(RouteKind::Batch, 0);
    harness
        .gateway
        .set_replicas(vec!["a:1".into(), "b:1".into()]);
    harness.call();
    for _ in 0..40 {
        harness.advance(50);
    }
    assert!(harness.job_calls.len() > 1, "sent again to others");
    assert_eq!(harness.status(), Some(502));
}

#[test]
fn an_unsent_submission_is_refused_as_not_run() {
    let mut harness = Harness::new(RouteKind::Batch, 0);
    harness.call();
    for _ in 0..40 {
        harness.advance(50);
    }
    assert_eq!(harness.status(), Some(503));
    assert!(harness.response_heads[0].header("retry-ms").is_some());
}

/// Guards against a leader that cannot tell that its configuration is older than the one under
/// which a job was submitted.
#[test]
fn a_submission_names_the_configuration_of_its_gateway() {
    let mut harness = Harness::new(RouteKind::Batch, 0);
    harness.gateway.set_replicas(vec!["a:1".into()]);
    harness.call();
    harness.set_max_attempts(5);
    harness.call_as(CallId(2));
    assert_eq!(harness.submitted_under, vec![1, 2]);
}

#[test]
fn a_draining_gateway_finishes_requests_and_refuses_new_ones() {
    let mut harness = Harness::new(RouteKind::Unsafe, 2);
    harness.call();
    harness.gateway.start_draining();
    harness.respond(0, 200, &["id", "signed"], "whole");
    assert_eq!((harness.status(), harness.is_finished), (Some(200), true));
    harness.response_heads.clear();
    harness.is_finished = false;
    harness.call();
    assert_eq!((harness.status(), harness.is_finished), (Some(503), true));
    assert!(harness.response_heads[0].header("retry-ms").is_some());
    assert_eq!(harness.requests.len(), 1, "a request was sent to an engine");
    assert_eq!(harness.gateway.in_flight(), 0);
}

#[test]
fn a_draining_gateway_refuses_batch_job_calls() {
    let mut harness = Harness::new(RouteKind::Batch, 1);
    harness.gateway.set_replicas(vec!["a:1".into()]);
    harness.gateway.start_draining();
    let read = CallerMessage::ReadJob(JobRead::default());
    let actions = harness
        .gateway
        .on_caller_message(harness.now, CallId(9), read);
    harness.execute(actions);
    assert_eq!(harness.status(), Some(503));
    assert!(harness.job_calls.is_empty());
}

/// Guards against choosing engines with older weights, and against all gateways choosing the
/// first of several equal engines.
#[rstest]
#[case::same_version([4, 4], &["e0", "e1"])]
#[case::newer_weights([3, 4], &["e1"])]
#[case::far_behind([2, 4], &["e1"])]
fn a_request_for_a_model_prefers_newer_weights(
    #[case] versions: [u64; 2],
    #[case] expected: &[&str],
) {
    let mut chosen = BTreeSet::new();
    for seed in 0..32 {
        let mut harness = Harness::with_seed(RouteKind::Streaming, 2, seed);
        for (index, version) in versions.into_iter().enumerate() {
            let instance = Instance(format!("e{index}"));
            let directory = &mut harness.gateway.directory;
            directory.record_version(&instance, "m", version);
        }
        harness.call_model("m");
        chosen.insert(harness.requests[0].engine.clone());
    }
    assert!(chosen.iter().eq(expected), "{chosen:?}");
}

#[test]
fn a_busy_engine_with_newer_weights_is_not_preferred() {
    let mut harness = Harness::new(RouteKind::Streaming, 2);
    for (name, version) in [("e0", 2), ("e1", 4)] {
        let instance = Instance(name.into());
        let directory = &mut harness.gateway.directory;
        directory.record_version(&instance, "m", version);
    }
    let busy = harness.gateway.directory.get_mut(&Instance("e1".into()));
    busy.unwrap().stats.in_flight = 30;
    harness.call_model("m");
    assert_eq!(harness.requests[0].engine, "e0");
}

/// Guards against missed or spurious reports: reward calls are abandoned after a number of
/// engine failures.
#[test]
fn each_engine_failure_is_reported_once() {
    let mut harness = Harness::new(RouteKind::Safe, 3);
    harness.call();
    harness.respond(0, 503, &["id", "not-run"], "full");
    harness.respond(1, 502, &["id", "signed"], "broken");
    assert_eq!(harness.engine_failures, 0);
    harness.respond(2, 500, &["id", "signed"], "failed");
    assert_eq!(harness.engine_failures, 1);
    assert_eq!(harness.status(), Some(500));
}
