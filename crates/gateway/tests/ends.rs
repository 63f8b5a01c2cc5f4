//! The end of a batch job, once asked for, is carried on until a leader has it:
//! nobody else knows of it, and callers do not ask for ever.

use peatgrade_forward::CallId;
use peatgrade_gateway::{GatewayAction, JobRelay, RelaySettings};
use peatgrade_ports::{Answer, Refusal};
use peatgrade_schema::replication::mod_JobCall::OneOfbody;
use peatgrade_schema::replication::{EndJob, JobCall, JobReply, JobStatus};
use peatgrade_types::{Duration, Time};
use rstest::rstest;

const REPLICA: &str = "10.0.0.1:7000";
const OTHERS: [&str; 2] = ["10.0.0.2:7000", "10.0.0.3:7000"];
const CALLER: CallId = CallId(1);
/// Time between two looks of the gateway.
const TICK: Duration = Duration::from_millis(20);

/// A relay whose replicas answer nothing, and what it sends.
struct Scene {
    now: Time,
    relay: JobRelay,
    sent: Vec<(Time, JobCall)>,
    /// Where each went.
    addresses: Vec<String>,
    answers: Vec<Answer>,
}

impl Scene {
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

    fn ask_end(&mut self) {
        let mut actions = Vec::new();
        let end = OneOfbody::end(EndJob {
            job: "job-1".into(),
        });
        let (now, wait) = (self.now, Duration(0));
        self.relay
            .start(now, CALLER, String::new(), end, wait, &mut actions);
        self.take(actions);
    }

    fn take(&mut self, actions: Vec<GatewayAction>) {
        for action in actions {
            if let GatewayAction::SendJobCall { call, address } = action {
                self.sent.push((self.now, call));
                self.addresses.push(address);
            }
        }
    }

    fn wait(&mut self, millis: u64) {
        let until = self.now + Duration::from_millis(millis);
        while self.now < until {
            self.now += TICK;
            let mut actions = Vec::new();
            let answers = self.relay.tick(self.now, &mut actions);
            self.answers
                .extend(answers.into_iter().map(|(_, answer)| answer));
            self.take(actions);
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
        let answered = self.relay.on_reply(self.now, replica, reply, &mut actions);
        self.answers
            .extend(answered.into_iter().map(|(_, answer)| answer));
        self.take(actions);
    }

    /// Ends that were sent within the last so many milliseconds.
    fn sent_within(&self, millis: u64) -> usize {
        let recent = self.sent.iter().filter(|(at, call)| {
            let age = self.now.since(*at).as_millis();
            age < millis && matches!(&call.body, OneOfbody::end(end) if end.job == "job-1")
        });
        recent.count()
    }
}

#[rstest]
#[case::its_caller_left(true)]
#[case::nobody_answered_in_time(false)]
fn an_end_goes_on_until_a_leader_has_it(#[case] leaves: bool) {
    let mut scene = Scene::new();
    scene.ask_end();
    if leaves {
        scene.wait(100);
        scene.relay.on_caller_disconnected(scene.now, CALLER);
    }
    scene.wait(20_000);
    if !leaves {
        let [Answer::Refused {
            refusal,
            retry_after,
            ..
        }] = &scene.answers[..]
        else {
            panic!("one answer is due: {:?}", scene.answers);
        };
        // It may yet be carried out: a promise that it will not would be false.
        assert_eq!((*refusal, *retry_after), (Refusal::Unknown, None));
    }
    assert!(scene.sent_within(2_000) > 0, "forgotten");
    let answers = scene.answers.len();
    scene.reply(JobStatus::OK);
    assert_eq!(
        scene.answers.len(),
        answers,
        "its caller was answered long ago"
    );
    let sent = scene.sent.len();
    scene.wait(5_000);
    assert_eq!(scene.sent.len(), sent, "a leader has it");
}

/// This gateway may be lost before any leader has the end, so others must know of it.
#[test]
fn an_end_is_told_to_all_replicas_at_once() {
    let mut scene = Scene::new();
    let [second, third] = OTHERS;
    let all = vec![REPLICA.into(), second.into(), third.into()];
    scene.relay.set_replicas(all.clone());
    scene.ask_end();
    let mut told = scene.addresses.clone();
    told.sort();
    assert_eq!(told, all);
}

/// Each replica that does not lead says so; the one that they name has the end already.
#[test]
fn answers_of_many_replicas_do_not_multiply_an_end() {
    let mut scene = Scene::new();
    let [second, third] = OTHERS;
    let all = vec![REPLICA.into(), second.into(), third.into()];
    scene.relay.set_replicas(all);
    scene.ask_end();
    let sent = scene.sent.len();
    for replica in [REPLICA, third] {
        scene.reply_from(replica, JobStatus::NOT_LEADER, second);
    }
    scene.wait(300);
    assert_eq!(scene.sent.len(), sent, "{:?}", &scene.addresses[sent..]);
    scene.reply_from(second, JobStatus::OK, "");
    assert!(matches!(scene.answers[..], [Answer::JobEnded]));
}

/// A leader at an address that was not known gets the end as soon as it is named.
#[test]
fn a_leader_that_was_not_known_gets_the_end_at_once() {
    let mut scene = Scene::new();
    let [new, _] = OTHERS;
    scene.ask_end();
    scene.reply_from(REPLICA, JobStatus::NOT_LEADER, new);
    scene.wait(60);
    assert!(scene.addresses.iter().any(|address| address == new));
}

/// A leader that is late must not get more to do because it is late, and a gateway
/// must not take it for lost sooner than it would otherwise.
#[test]
fn a_leader_that_is_slow_gets_an_end_a_few_times_only() {
    const SECONDS: u64 = 10;
    /// Each 350 ms while the caller waits for 1.3 s, then each second.
    const MOST: usize = 14;
    let mut scene = Scene::new();
    let [leader, third] = OTHERS;
    let all = vec![REPLICA.into(), leader.into(), third.into()];
    scene.relay.set_replicas(all);
    scene.ask_end();
    for _ in 0..SECONDS * 50 {
        for replica in [REPLICA, third] {
            scene.reply_from(replica, JobStatus::NOT_LEADER, leader);
        }
        scene.wait(20);
    }
    let to_leader = scene.addresses.iter().filter(|to| *to == leader).count();
    assert!((4..=MOST).contains(&to_leader), "{to_leader} times");
}
