//! An accepted EndJob call is retried until a leader confirms it, since its caller may not
//! retry.

use peatgrade_forward::CallId;
use peatgrade_gateway::{GatewayAction, JobRelay, RelaySettings};
use peatgrade_ports::{CallerResponse, Refusal};
use peatgrade_schema::replication::mod_JobCall::OneOfbody;
use peatgrade_schema::replication::{EndJob, JobCall, JobReply, JobStatus};
use peatgrade_types::{Duration, Time};
use rstest::rstest;

const REPLICA: &str = "10.0.0.1:7000";
const OTHER_REPLICAS: [&str; 2] = ["10.0.0.2:7000", "10.0.0.3:7000"];
const CALLER: CallId = CallId(1);
/// Interval between ticks of the relay.
const TICK_INTERVAL: Duration = Duration::from_millis(20);

/// A relay whose replicas reply only as the test says, with the calls that it has sent.
struct RelayHarness {
    now: Time,
    relay: JobRelay,
    sent: Vec<(Time, JobCall)>,
    /// Destinations of the sent calls.
    addresses: Vec<String>,
    answers: Vec<CallerResponse>,
}

impl RelayHarness {
    fn new() -> Self {
        let mut relay = JobRelay::new(RelaySettings::default(), "z".into(), 1);
        relay.set_replicas(vec![REPLICA.into()]);
        Self {
            now: Time(1_000_000),
            relay,
            sent: Vec::new(),
            addresses: Vec::new(),
            answers: Vec::new(),
        }
    }

    fn end_job(&mut self) {
        let mut actions = Vec::new();
        let end = OneOfbody::end(EndJob {
            job: "job-1".into(),
        });
        let (now, wait) = (self.now, Duration(0));
        self.relay
            .start(now, CALLER, String::new(), end, wait, &mut actions);
        self.record(actions);
    }

    fn record(&mut self, actions: Vec<GatewayAction>) {
        for action in actions {
            if let GatewayAction::SendJobCall { call, address } = action {
                self.sent.push((self.now, call));
                self.addresses.push(address);
            }
        }
    }

    fn advance(&mut self, millis: u64) {
        let until = self.now + Duration::from_millis(millis);
        while self.now < until {
            self.now += TICK_INTERVAL;
            let mut actions = Vec::new();
            let answers = self.relay.tick(self.now, &mut actions);
            self.answers
                .extend(answers.into_iter().map(|(_, answer)| answer));
            self.record(actions);
        }
    }

    fn reply(&mut self, status: JobStatus) {
        self.reply_from(REPLICA, status, "");
    }

    fn reply_from(&mut self, replica: &str, status: JobStatus, leader: &str) {
        let call = self.sent.last().expect("something was sent").1.call;
        let reply = JobReply {
            call,
            status,
            leader_address: leader.into(),
            ..JobReply::default()
        };
        let mut actions = Vec::new();
        let answer = self.relay.on_reply(self.now, replica, reply, &mut actions);
        self.answers
            .extend(answer.into_iter().map(|(_, answer)| answer));
        self.record(actions);
    }

    /// Number of EndJob calls sent within the last `millis` milliseconds.
    fn sent_within(&self, millis: u64) -> usize {
        let recent = self.sent.iter().filter(|(at, call)| {
            let age = self.now.since(*at).as_millis();
            age < millis && matches!(&call.body, OneOfbody::end(end) if end.job == "job-1")
        });
        recent.count()
    }
}

#[rstest]
#[case::caller_disconnected(true)]
#[case::caller_timed_out(false)]
fn an_end_call_is_retried_until_a_leader_confirms_it(#[case] disconnects: bool) {
    let mut harness = RelayHarness::new();
    harness.end_job();
    if disconnects {
        harness.advance(100);
        harness.relay.on_caller_disconnected(harness.now, CALLER);
    }
    harness.advance(20_000);
    if !disconnects {
        let [CallerResponse::Refused {
            refusal,
            retry_after,
            ..
        }] = &harness.answers[..]
        else {
            panic!("expected one answer: {:?}", harness.answers);
        };
        // The call may still be executed, so the outcome is unknown.
        assert_eq!((*refusal, *retry_after), (Refusal::Unknown, None));
    }
    assert!(harness.sent_within(2_000) > 0, "the call is no longer sent");
    let answers = harness.answers.len();
    harness.reply(JobStatus::OK);
    assert_eq!(
        harness.answers.len(),
        answers,
        "the caller is answered once"
    );
    let sent = harness.sent.len();
    harness.advance(5_000);
    assert_eq!(harness.sent.len(), sent, "a leader has confirmed the call");
}

/// Guards against losing an EndJob call with this gateway before a leader has it.
#[test]
fn an_end_call_is_sent_to_all_replicas_at_once() {
    let mut harness = RelayHarness::new();
    let [second, third] = OTHER_REPLICAS;
    let replicas = vec![REPLICA.into(), second.into(), third.into()];
    harness.relay.set_replicas(replicas.clone());
    harness.end_job();
    let mut addresses = harness.addresses.clone();
    addresses.sort();
    assert_eq!(addresses, replicas);
}

/// Guards against resending a call for each follower that names the leader.
#[test]
fn replies_of_followers_do_not_resend_an_end_call() {
    let mut harness = RelayHarness::new();
    let [second, third] = OTHER_REPLICAS;
    let replicas = vec![REPLICA.into(), second.into(), third.into()];
    harness.relay.set_replicas(replicas);
    harness.end_job();
    let sent = harness.sent.len();
    for replica in [REPLICA, third] {
        harness.reply_from(replica, JobStatus::NOT_LEADER, second);
    }
    harness.advance(300);
    assert_eq!(harness.sent.len(), sent, "{:?}", &harness.addresses[sent..]);
    harness.reply_from(second, JobStatus::OK, "");
    assert!(matches!(harness.answers[..], [CallerResponse::JobEnded]));
}

/// Guards against a delay when a reply names a leader outside the known replicas.
#[test]
fn an_unknown_leader_gets_the_end_call_once_it_is_named() {
    let mut harness = RelayHarness::new();
    let [unknown_leader, _] = OTHER_REPLICAS;
    harness.end_job();
    harness.reply_from(REPLICA, JobStatus::NOT_LEADER, unknown_leader);
    harness.advance(60);
    assert!(harness
        .addresses
        .iter()
        .any(|address| address == unknown_leader));
}

/// Guards against a growing load on a slow leader, and against dropping it early.
#[test]
fn a_slow_leader_gets_an_end_call_a_bounded_number_of_times() {
    const SECONDS: u64 = 10;
    /// Every `reply_timeout` until the caller is answered, then every
    /// `detached_retry_interval`.
    const MAX_COPIES: usize = 14;
    let mut harness = RelayHarness::new();
    let [leader, third] = OTHER_REPLICAS;
    let replicas = vec![REPLICA.into(), leader.into(), third.into()];
    harness.relay.set_replicas(replicas);
    harness.end_job();
    for _ in 0..SECONDS * 50 {
        for replica in [REPLICA, third] {
            harness.reply_from(replica, JobStatus::NOT_LEADER, leader);
        }
        harness.advance(20);
    }
    let to_leader = harness.addresses.iter().filter(|to| *to == leader).count();
    assert!((4..=MAX_COPIES).contains(&to_leader), "{to_leader} times");
}
