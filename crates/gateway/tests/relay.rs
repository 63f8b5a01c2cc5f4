//! What a caller is told of a batch job for which there is no room.

use peatgrade_forward::CallId;
use peatgrade_gateway::{GatewayAction, JobRelay, RelaySettings};
use peatgrade_ports::{Answer, Refusal};
use peatgrade_schema::replication::mod_JobCall::OneOfbody;
use peatgrade_schema::replication::{AcceptJob, JobReply, JobStatus, ReadJob};
use peatgrade_types::{Duration, Time};
use refusals::refusal;

mod refusals;

const LEADER: &str = "10.0.0.1:7000";

fn sent_call(actions: &mut Vec<GatewayAction>) -> u64 {
    match actions.drain(..).next_back() {
        Some(GatewayAction::SendJobCall { call, .. }) => call.call,
        other => panic!("nothing was sent: {other:?}"),
    }
}

fn no_room(call: u64) -> JobReply {
    JobReply {
        call,
        status: JobStatus::NO_ROOM,
        ..JobReply::default()
    }
}

fn started(actions: &mut Vec<GatewayAction>) -> (JobRelay, u64) {
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
    let call = sent_call(actions);
    (relay, call)
}

#[test]
fn a_refused_job_may_come_back_when_the_leader_expects_room() {
    let mut actions = Vec::new();
    let (mut relay, call) = started(&mut actions);
    let reply = JobReply {
        retry_after_ms: 4_300,
        ..no_room(call)
    };
    let answer = relay.on_reply(Time(1_000), LEADER, reply, &mut actions);
    let Some((_, Answer::Refused { retry_after, .. })) = answer else {
        panic!("{answer:?}");
    };
    assert_eq!(retry_after, Some(Duration::from_millis(4_300)));
}

#[test]
fn a_job_without_room_has_not_run_and_may_come_back() {
    let mut actions = Vec::new();
    let (mut relay, call) = started(&mut actions);
    let answer = relay.on_reply(Time(1_000), LEADER, no_room(call), &mut actions);
    assert_eq!(refusal(answer), (Refusal::NotRun, true));
}

#[test]
fn nothing_is_promised_while_another_copy_may_arrive() {
    let mut actions = Vec::new();
    let (mut relay, call) = started(&mut actions);
    let later = Time(0) + Duration::from_millis(400);
    relay.tick(later, &mut actions);
    assert_eq!(sent_call(&mut actions), call, "sent again");
    let answer = relay.on_reply(later, LEADER, no_room(call), &mut actions);
    assert_eq!(refusal(answer), (Refusal::Unknown, false));
}

#[test]
fn a_copy_that_was_turned_away_does_not_count() {
    let mut actions = Vec::new();
    let (mut relay, call) = started(&mut actions);
    let away = JobReply {
        call,
        status: JobStatus::NOT_LEADER,
        leader_address: "10.0.0.2:7000".into(),
        ..JobReply::default()
    };
    assert!(relay
        .on_reply(Time(1_000), LEADER, away, &mut actions)
        .is_none());
    assert_eq!(sent_call(&mut actions), call);
    let answer = relay.on_reply(Time(2_000), "10.0.0.2:7000", no_room(call), &mut actions);
    assert_eq!(refusal(answer), (Refusal::NotRun, true));
}

const NEAR: &str = "10.0.0.2:7000";

/// A relay that knows the leader and a replica of its own zone.
fn with_near_replica(actions: &mut Vec<GatewayAction>) -> JobRelay {
    let (mut relay, call) = started(actions);
    let reply = JobReply {
        call,
        near_address: NEAR.into(),
        ..JobReply::default()
    };
    relay.on_reply(Time(0), LEADER, reply, actions);
    relay
}

fn read(relay: &mut JobRelay, now: Time, actions: &mut Vec<GatewayAction>) -> (String, u64) {
    let body = OneOfbody::read(ReadJob::default());
    let wait = Duration::from_millis(1_000);
    relay.start(now, CallId(2), String::new(), body, wait, actions);
    sent_to(actions)
}

fn sent_to(actions: &mut Vec<GatewayAction>) -> (String, u64) {
    match actions.drain(..).next_back() {
        Some(GatewayAction::SendJobCall { address, call }) => (address, call.call),
        other => panic!("nothing was sent: {other:?}"),
    }
}

#[test]
fn reads_are_asked_of_a_replica_in_the_same_zone_first() {
    let mut actions = Vec::new();
    let mut relay = with_near_replica(&mut actions);
    let (address, call) = read(&mut relay, Time(0), &mut actions);
    assert_eq!(address, NEAR);
    let reply = JobReply {
        call,
        total: 40,
        follows: true,
        ..JobReply::default()
    };
    let answer = relay.on_reply(Time(500), NEAR, reply, &mut actions);
    assert!(matches!(
        answer,
        Some((CallId(2), Answer::Results { total: 40, .. }))
    ));
    // It answered, and still does not lead.
    let body = OneOfbody::submit(AcceptJob::default());
    relay.start(
        Time(600),
        CallId(3),
        String::new(),
        body,
        Duration(0),
        &mut actions,
    );
    assert_eq!(sent_to(&mut actions).0, LEADER);
    assert_eq!(read(&mut relay, Time(700), &mut actions).0, NEAR);
}

/// What is new is the leader's to answer, at once.
#[test]
fn a_read_that_the_near_replica_cannot_answer_goes_on_to_the_leader() {
    let mut actions = Vec::new();
    let mut relay = with_near_replica(&mut actions);
    let (_, call) = read(&mut relay, Time(0), &mut actions);
    let reply = JobReply {
        call,
        status: JobStatus::NOT_LEADER,
        leader_address: LEADER.into(),
        ..JobReply::default()
    };
    let answer = relay.on_reply(Time(500), NEAR, reply, &mut actions);
    assert!(answer.is_none());
    assert_eq!(sent_to(&mut actions).0, LEADER);
}

/// A replica that knows no leader either is not silent.
#[test]
fn a_near_replica_that_knows_no_leader_is_asked_again_next_time() {
    let mut actions = Vec::new();
    let mut relay = with_near_replica(&mut actions);
    let (_, call) = read(&mut relay, Time(0), &mut actions);
    let reply = JobReply {
        call,
        status: JobStatus::NOT_LEADER,
        ..JobReply::default()
    };
    relay.on_reply(Time(500), NEAR, reply, &mut actions);
    let later = Time(0) + Duration::from_millis(110);
    relay.tick(later, &mut actions);
    assert_eq!(sent_to(&mut actions).0, LEADER);
    assert_eq!(read(&mut relay, later, &mut actions).0, NEAR);
}

#[test]
fn a_silent_near_replica_is_left_soon_and_for_a_while() {
    let mut actions = Vec::new();
    let mut relay = with_near_replica(&mut actions);
    let (_, first) = read(&mut relay, Time(0), &mut actions);
    let later = Time(0) + Duration::from_millis(110);
    assert!(relay.tick(later, &mut actions).is_empty());
    assert_eq!(sent_to(&mut actions), (LEADER.to_string(), first));
    assert_eq!(read(&mut relay, later, &mut actions).0, LEADER);
    assert!(!relay.needs_replica_lookup(later + Duration::from_millis(800)));
    let much_later = later + Duration::from_millis(3_100);
    assert_eq!(read(&mut relay, much_later, &mut actions).0, NEAR);
}

/// The near replica may be gone for good; the leader then names none.
#[test]
fn the_leader_takes_back_what_it_said_of_a_near_replica() {
    let mut actions = Vec::new();
    let mut relay = with_near_replica(&mut actions);
    let (_, call) = read(&mut relay, Time(0), &mut actions);
    let reply = JobReply {
        call,
        ..JobReply::default()
    };
    relay.on_reply(Time(500), LEADER, reply, &mut actions);
    assert_eq!(read(&mut relay, Time(600), &mut actions).0, LEADER);
}

/// A reply to a call of an earlier life of the gateway may come late.
#[test]
fn a_reply_to_a_call_of_an_earlier_life_answers_nothing() {
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
