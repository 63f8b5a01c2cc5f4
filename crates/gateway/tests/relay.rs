//! What a caller is told of a batch job for which there is no room.

use peatgrade_forward::CallId;
use peatgrade_gateway::{GatewayAction, JobRelay, RelaySettings};
use peatgrade_ports::{Answer, Refusal};
use peatgrade_schema::replication::mod_JobCall::OneOfbody;
use peatgrade_schema::replication::{AcceptJob, JobReply, JobStatus};
use peatgrade_types::{Duration, Time};

const LEADER: &str = "10.0.0.1:7000";

fn sent_call(actions: &mut Vec<GatewayAction>) -> u64 {
    match actions.drain(..).next_back() {
        Some(GatewayAction::Job { call, .. }) => call.call,
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

fn refusal(answer: Option<(CallId, Answer)>) -> (Refusal, bool) {
    match answer {
        Some((
            _,
            Answer::Refused {
                refusal,
                retry_after,
                ..
            },
        )) => (refusal, retry_after.is_some()),
        other => panic!("not refused: {other:?}"),
    }
}

fn started(actions: &mut Vec<GatewayAction>) -> (JobRelay, u64) {
    let mut relay = JobRelay::new(RelaySettings::default(), "z".into());
    relay.set_replicas(vec![LEADER.into()]);
    let body = OneOfbody::submit(AcceptJob::default());
    relay.start(Time(0), CallId(1), body, Duration(0), actions);
    let call = sent_call(actions);
    (relay, call)
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
