//! How the relay answers refused jobs and chooses the replicas for its calls.

use peatgrade_forward::CallId;
use peatgrade_gateway::{GatewayAction, JobRelay, RelaySettings};
use peatgrade_ports::{CallerResponse, Refusal};
use peatgrade_schema::replication::mod_JobCall::OneOfbody;
use peatgrade_schema::replication::{AcceptJob, JobReply, JobStatus, ReadJob};
use peatgrade_types::{Duration, Time};
use refusals::refusal;

mod refusals;

const LEADER: &str = "10.0.0.1:7000";

fn sent_call_id(actions: &mut Vec<GatewayAction>) -> u64 {
    match actions.drain(..).next_back() {
        Some(GatewayAction::SendJobCall { call, .. }) => call.call,
        other => panic!("nothing was sent: {other:?}"),
    }
}

fn no_room_reply(call: u64) -> JobReply {
    JobReply {
        call,
        status: JobStatus::NO_ROOM,
        ..JobReply::default()
    }
}

fn relay_with_submission(actions: &mut Vec<GatewayAction>) -> (JobRelay, u64) {
    let mut relay = JobRelay::new(RelaySettings::default(), "z".into(), 1);
    relay.set_replicas(vec![LEADER.into()]);
    let body = OneOfbody::submit(AcceptJob::default());
    relay.start(
        Time(0),
        CallId(1),
        String::new(),
        body,
        Duration(0),
        actions,
    );
    let call = sent_call_id(actions);
    (relay, call)
}

#[test]
fn a_refused_job_gets_the_leaders_retry_hint() {
    let mut actions = Vec::new();
    let (mut relay, call) = relay_with_submission(&mut actions);
    let reply = JobReply {
        retry_after_ms: 4_300,
        ..no_room_reply(call)
    };
    let answer = relay.on_reply(Time(1_000), LEADER, reply, &mut actions);
    let Some((_, CallerResponse::Refused { retry_after, .. })) = answer else {
        panic!("{answer:?}");
    };
    assert_eq!(retry_after, Some(Duration::from_millis(4_300)));
}

#[test]
fn a_job_without_room_is_refused_as_not_run_with_a_retry_hint() {
    let mut actions = Vec::new();
    let (mut relay, call) = relay_with_submission(&mut actions);
    let answer = relay.on_reply(Time(1_000), LEADER, no_room_reply(call), &mut actions);
    assert_eq!(refusal(answer), (Refusal::NotRun, true));
}

#[test]
fn the_outcome_is_unknown_while_another_copy_may_arrive() {
    let mut actions = Vec::new();
    let (mut relay, call) = relay_with_submission(&mut actions);
    let later = Time(0) + Duration::from_millis(400);
    relay.tick(later, &mut actions);
    assert_eq!(sent_call_id(&mut actions), call, "sent again");
    let answer = relay.on_reply(later, LEADER, no_room_reply(call), &mut actions);
    assert_eq!(refusal(answer), (Refusal::Unknown, false));
}

#[test]
fn a_copy_rejected_by_a_follower_does_not_count() {
    let mut actions = Vec::new();
    let (mut relay, call) = relay_with_submission(&mut actions);
    let not_leader = JobReply {
        call,
        status: JobStatus::NOT_LEADER,
        leader_address: "10.0.0.2:7000".into(),
        ..JobReply::default()
    };
    assert!(relay
        .on_reply(Time(1_000), LEADER, not_leader, &mut actions)
        .is_none());
    assert_eq!(sent_call_id(&mut actions), call);
    let answer = relay.on_reply(
        Time(2_000),
        "10.0.0.2:7000",
        no_room_reply(call),
        &mut actions,
    );
    assert_eq!(refusal(answer), (Refusal::NotRun, true));
}

const LOCAL_REPLICA: &str = "10.0.0.2:7000";

/// A relay that knows the leader and a replica in its own zone.
fn relay_with_local_replica(actions: &mut Vec<GatewayAction>) -> JobRelay {
    let (mut relay, call) = relay_with_submission(actions);
    let reply = JobReply {
        call,
        near_address: LOCAL_REPLICA.into(),
        ..JobReply::default()
    };
    relay.on_reply(Time(0), LEADER, reply, actions);
    relay
}

fn read(relay: &mut JobRelay, now: Time, actions: &mut Vec<GatewayAction>) -> (String, u64) {
    let body = OneOfbody::read(ReadJob::default());
    let wait = Duration::from_millis(1_000);
    relay.start(now, CallId(2), String::new(), body, wait, actions);
    sent_address_and_id(actions)
}

fn sent_address_and_id(actions: &mut Vec<GatewayAction>) -> (String, u64) {
    match actions.drain(..).next_back() {
        Some(GatewayAction::SendJobCall { address, call }) => (address, call.call),
        other => panic!("nothing was sent: {other:?}"),
    }
}

#[test]
fn reads_go_to_the_local_replica_first() {
    let mut actions = Vec::new();
    let mut relay = relay_with_local_replica(&mut actions);
    let (address, call) = read(&mut relay, Time(0), &mut actions);
    assert_eq!(address, LOCAL_REPLICA);
    let reply = JobReply {
        call,
        total: 40,
        follows: true,
        ..JobReply::default()
    };
    let answer = relay.on_reply(Time(500), LOCAL_REPLICA, reply, &mut actions);
    assert!(matches!(
        answer,
        Some((CallId(2), CallerResponse::Results { total: 40, .. }))
    ));
    // The local replica has answered, but does not lead.
    let body = OneOfbody::submit(AcceptJob::default());
    relay.start(
        Time(600),
        CallId(3),
        String::new(),
        body,
        Duration(0),
        &mut actions,
    );
    assert_eq!(sent_address_and_id(&mut actions).0, LEADER);
    assert_eq!(read(&mut relay, Time(700), &mut actions).0, LOCAL_REPLICA);
}

/// Guards against a delay for reads of results that only the leader has.
#[test]
fn a_read_rejected_by_the_local_replica_goes_to_the_leader() {
    let mut actions = Vec::new();
    let mut relay = relay_with_local_replica(&mut actions);
    let (_, call) = read(&mut relay, Time(0), &mut actions);
    let reply = JobReply {
        call,
        status: JobStatus::NOT_LEADER,
        leader_address: LEADER.into(),
        ..JobReply::default()
    };
    let answer = relay.on_reply(Time(500), LOCAL_REPLICA, reply, &mut actions);
    assert!(answer.is_none());
    assert_eq!(sent_address_and_id(&mut actions).0, LEADER);
}

/// Guards against treating a replica that replied as silent.
#[test]
fn a_local_replica_without_a_leader_is_still_used() {
    let mut actions = Vec::new();
    let mut relay = relay_with_local_replica(&mut actions);
    let (_, call) = read(&mut relay, Time(0), &mut actions);
    let reply = JobReply {
        call,
        status: JobStatus::NOT_LEADER,
        ..JobReply::default()
    };
    relay.on_reply(Time(500), LOCAL_REPLICA, reply, &mut actions);
    let later = Time(0) + Duration::from_millis(110);
    relay.tick(later, &mut actions);
    assert_eq!(sent_address_and_id(&mut actions).0, LEADER);
    assert_eq!(read(&mut relay, later, &mut actions).0, LOCAL_REPLICA);
}

#[test]
fn a_silent_local_replica_is_bypassed_for_a_while() {
    let mut actions = Vec::new();
    let mut relay = relay_with_local_replica(&mut actions);
    let (_, first) = read(&mut relay, Time(0), &mut actions);
    let later = Time(0) + Duration::from_millis(110);
    assert!(relay.tick(later, &mut actions).is_empty());
    assert_eq!(
        sent_address_and_id(&mut actions),
        (LEADER.to_string(), first)
    );
    assert_eq!(read(&mut relay, later, &mut actions).0, LEADER);
    assert!(!relay.needs_replica_lookup(later + Duration::from_millis(800)));
    let much_later = later + Duration::from_millis(3_100);
    assert_eq!(read(&mut relay, much_later, &mut actions).0, LOCAL_REPLICA);
}

/// Guards against reads at a local replica that has been removed.
#[test]
fn a_leader_that_names_no_local_replica_removes_it() {
    let mut actions = Vec::new();
    let mut relay = relay_with_local_replica(&mut actions);
    let (_, call) = read(&mut relay, Time(0), &mut actions);
    let reply = JobReply {
        call,
        ..JobReply::default()
    };
    relay.on_reply(Time(500), LEADER, reply, &mut actions);
    assert_eq!(read(&mut relay, Time(600), &mut actions).0, LEADER);
}

/// Guards against a late reply to an earlier process that answers a call of this one.
#[test]
fn a_reply_to_an_earlier_process_is_ignored() {
    let mut actions = Vec::new();
    let mut relay = JobRelay::new(RelaySettings::default(), "z".into(), 1_000);
    relay.set_replicas(vec![LEADER.into()]);
    let body = OneOfbody::submit(AcceptJob::default());
    relay.start(
        Time(0),
        CallId(1),
        String::new(),
        body,
        Duration(0),
        &mut actions,
    );
    let stale = JobReply {
        call: 1,
        ..JobReply::default()
    };
    let answer = relay.on_reply(Time(1_000), LEADER, stale, &mut actions);
    assert!(answer.is_none(), "{answer:?}");
    assert_eq!(relay.in_flight(), 1);
}
