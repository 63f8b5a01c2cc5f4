//! A gateway that hears no storage machine, while other gateways may.

use peatgrade_forward::CallId;
use peatgrade_gateway::{JobRelay, RelaySettings};
use peatgrade_ports::{Answer, Refusal};
use peatgrade_schema::replication::mod_JobCall::OneOfbody;
use peatgrade_schema::replication::{AcceptJob, EndJob, ReadJob};
use peatgrade_types::{Duration, Time};
use refusals::refusal;

mod refusals;

const REPLICA: &str = "10.0.0.1:7000";

fn read() -> OneOfbody {
    OneOfbody::read(ReadJob::default())
}

/// Calls that a relay starts at a moment, and whether they are refused at once.
fn start(relay: &mut JobRelay, now: Time, body: OneOfbody) -> (Option<Answer>, usize) {
    let mut actions = Vec::new();
    let wait = Duration::from_millis(1_000);
    let answer = relay.start(now, CallId(1), String::new(), body, wait, &mut actions);
    (answer, actions.len())
}

/// It was heard at 10 s and never after that.
fn cut_off() -> JobRelay {
    let mut relay = JobRelay::new(RelaySettings::default(), "z".into(), 1);
    relay.set_replicas(vec![REPLICA.into()]);
    relay.on_replica_contact(Time(10_000_000));
    relay
}

/// Others may reach the replicas: a caller that is held here loses two seconds.
#[test]
fn a_gateway_that_hears_no_replica_refuses_at_once_what_it_cannot_pass_on() {
    for body in [read(), OneOfbody::submit(AcceptJob::default())] {
        let mut relay = cut_off();
        let (answer, sent) = start(&mut relay, Time(11_400_000), body.clone());
        assert!(answer.is_none() && sent == 1, "it may be an election");
        let mut relay = cut_off();
        let (answer, sent) = start(&mut relay, Time(11_500_000), body);
        assert_eq!(sent, 0, "it was never sent, so it has not run");
        let refused = refusal(answer.map(|answer| (CallId(1), answer)));
        assert_eq!(refused, (Refusal::NotRun, true));
        assert_eq!(relay.in_flight(), 0);
    }
}

#[test]
fn a_read_that_waits_when_the_replicas_fall_silent_is_given_up() {
    let mut relay = cut_off();
    let (answer, _) = start(&mut relay, Time(10_900_000), read());
    assert!(answer.is_none());
    assert!(relay.tick(Time(11_499_000), &mut Vec::new()).is_empty());
    let answers = relay.tick(Time(11_500_000), &mut Vec::new());
    let refused = refusal(answers.into_iter().next());
    assert_eq!(refused, (Refusal::NotRun, true));
}

/// A submission that was sent may be carried out yet.
#[test]
fn a_submission_that_was_sent_is_not_said_not_to_have_run() {
    let mut relay = cut_off();
    let body = OneOfbody::submit(AcceptJob::default());
    start(&mut relay, Time(10_900_000), body);
    let answers = relay.tick(Time(11_500_000), &mut Vec::new());
    let refused = refusal(answers.into_iter().next());
    assert_eq!(refused, (Refusal::Unknown, false));
}

/// An end is carried on until somebody has it.
#[test]
fn an_end_is_taken_also_by_a_gateway_that_is_cut_off() {
    let mut relay = cut_off();
    let (answer, sent) = start(
        &mut relay,
        Time(20_000_000),
        OneOfbody::end(EndJob::default()),
    );
    assert!(answer.is_none());
    assert_eq!((sent, relay.in_flight()), (1, 1));
}

#[test]
fn a_gateway_that_hears_a_replica_again_passes_calls_on() {
    let mut relay = cut_off();
    assert!(start(&mut relay, Time(20_000_000), read()).0.is_some());
    relay.on_replica_contact(Time(20_100_000));
    assert!(start(&mut relay, Time(20_200_000), read()).0.is_none());
}

/// One that has just begun knows of no replica yet, and waits for the first.
#[test]
fn a_gateway_that_has_never_heard_a_replica_holds_calls() {
    let mut relay = JobRelay::new(RelaySettings::default(), "z".into(), 1);
    assert!(start(&mut relay, Time(20_000_000), read()).0.is_none());
}
