//! A gateway without contact to any replica, while other gateways may have contact.

use peatgrade_forward::CallId;
use peatgrade_gateway::{JobRelay, RelaySettings};
use peatgrade_ports::{CallerResponse, Refusal};
use peatgrade_schema::replication::mod_JobCall::OneOfbody;
use peatgrade_schema::replication::{AcceptJob, EndJob, ReadJob};
use peatgrade_types::{Duration, Time};
use refusals::refusal;

mod refusals;

const REPLICA: &str = "10.0.0.1:7000";

fn read() -> OneOfbody {
    OneOfbody::read(ReadJob::default())
}

/// Starts a call and returns its immediate answer, if any, and the number of calls sent.
fn start(relay: &mut JobRelay, now: Time, body: OneOfbody) -> (Option<CallerResponse>, usize) {
    let mut actions = Vec::new();
    let wait = Duration::from_millis(1_000);
    let answer = relay.start(now, CallId(1), String::new(), body, wait, &mut actions);
    (answer, actions.len())
}

/// A relay with its last contact to a replica at 10 s.
fn isolated_relay() -> JobRelay {
    let mut relay = JobRelay::new(RelaySettings::default(), "z".into(), 1);
    relay.set_replicas(vec![REPLICA.into()]);
    relay.on_replica_contact(Time(10_000_000));
    relay
}

/// Guards against holding callers that could be served by another gateway.
#[test]
fn an_isolated_gateway_refuses_reads_and_submissions_at_once() {
    for body in [read(), OneOfbody::submit(AcceptJob::default())] {
        let mut relay = isolated_relay();
        let (answer, sent) = start(&mut relay, Time(11_400_000), body.clone());
        assert!(
            answer.is_none() && sent == 1,
            "relayed before the isolation timeout"
        );
        let mut relay = isolated_relay();
        let (answer, sent) = start(&mut relay, Time(11_500_000), body);
        assert_eq!(sent, 0, "nothing is sent while isolated");
        let refusal_and_retry = refusal(answer.map(|answer| (CallId(1), answer)));
        assert_eq!(refusal_and_retry, (Refusal::NotRun, true));
        assert_eq!(relay.in_flight(), 0);
    }
}

#[test]
fn a_held_read_is_refused_when_the_gateway_becomes_isolated() {
    let mut relay = isolated_relay();
    let (answer, _) = start(&mut relay, Time(10_900_000), read());
    assert!(answer.is_none());
    assert!(relay.tick(Time(11_499_000), &mut Vec::new()).is_empty());
    let answers = relay.tick(Time(11_500_000), &mut Vec::new());
    let refusal_and_retry = refusal(answers.into_iter().next());
    assert_eq!(refusal_and_retry, (Refusal::NotRun, true));
}

/// Guards against refusing as not run a submission that may still be executed.
#[test]
fn a_sent_submission_is_not_refused_as_not_run() {
    let mut relay = isolated_relay();
    let body = OneOfbody::submit(AcceptJob::default());
    start(&mut relay, Time(10_900_000), body);
    let answers = relay.tick(Time(11_500_000), &mut Vec::new());
    let refusal_and_retry = refusal(answers.into_iter().next());
    assert_eq!(refusal_and_retry, (Refusal::Unknown, false));
}

/// Guards against refusing an EndJob call, which is retried until a leader has it.
#[test]
fn an_isolated_gateway_accepts_an_end_call() {
    let mut relay = isolated_relay();
    let (answer, sent) = start(
        &mut relay,
        Time(20_000_000),
        OneOfbody::end(EndJob::default()),
    );
    assert!(answer.is_none());
    assert_eq!((sent, relay.in_flight()), (1, 1));
}

#[test]
fn a_gateway_relays_again_after_renewed_contact() {
    let mut relay = isolated_relay();
    assert!(start(&mut relay, Time(20_000_000), read()).0.is_some());
    relay.on_replica_contact(Time(20_100_000));
    assert!(start(&mut relay, Time(20_200_000), read()).0.is_none());
}

/// Guards against treating a starting gateway as isolated.
#[test]
fn a_gateway_without_any_contact_yet_holds_calls() {
    let mut relay = JobRelay::new(RelaySettings::default(), "z".into(), 1);
    assert!(start(&mut relay, Time(20_000_000), read()).0.is_none());
}
