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
const CALLER: CallId = CallId(1);
/// Time between two looks of the gateway.
const TICK: Duration = Duration::from_millis(20);

/// A relay whose replicas answer nothing, and what it sends.
struct Scene {
    now: Time,
    relay: JobRelay,
    sent: Vec<(Time, JobCall)>,
    answers: Vec<Answer>,
}

impl Scene {
    fn new() -> Self {
        let mut relay = JobRelay::new(RelaySettings::default(), "z".into());
        relay.set_replicas(vec![REPLICA.into()]);
        Self {
            now: Time(1_000_000),
            relay,
            sent: Vec::new(),
            answers: Vec::new(),
        }
    }

    fn ask_end(&mut self) {
        let mut actions = Vec::new();
        let end = OneOfbody::end(EndJob {
            job: "job-1".into(),
        });
        let (now, wait) = (self.now, Duration(0));
        self.relay.start(now, CALLER, end, wait, &mut actions);
        self.take(actions);
    }

    fn take(&mut self, actions: Vec<GatewayAction>) {
        for action in actions {
            if let GatewayAction::Job { call, .. } = action {
                self.sent.push((self.now, call));
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
        let call = self.sent.last().expect("something was sent").1.call;
        let reply = JobReply {
            call,
            status,
            ..JobReply::default()
        };
        let mut actions = Vec::new();
        let answered = self.relay.on_reply(self.now, REPLICA, reply, &mut actions);
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
        scene.relay.caller_gone(scene.now, CALLER);
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
