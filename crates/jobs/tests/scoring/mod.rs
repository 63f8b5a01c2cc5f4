//! Items whose text is scored by a reward call before listing.

mod crashes;

use crate::dispatch::{engine, Harness};
use peatgrade_jobs::{RunPart, ScoreId, ScoreOutcome};
use peatgrade_ports::{EngineRecord, Instance, Route, RouteKind, Target};
use peatgrade_schema::replication::RewardCall;
use peatgrade_types::Duration;
use rstest::rstest;

const MAX_ATTEMPTS: u32 = 3;

fn scorer_route() -> Route {
    Route {
        name: "scores".into(),
        host: "scorer".into(),
        prefix: "/s/".into(),
        kind: RouteKind::Unsafe,
        timeout: Duration::from_secs(2),
        target_latency: Duration::from_millis(150),
        priority: 2,
        targets: vec![Target {
            service: "scorers".into(),
            weight: 1,
        }],
        max_attempts: MAX_ATTEMPTS,
        resumable: false,
        max_queue: Duration(0),
        result_deadline: Duration(0),
        single_version: false,
        public: false,
    }
}

fn scorer(name: &str, slots: u32) -> EngineRecord {
    EngineRecord {
        instance: Instance(name.into()),
        service: "scorers".into(),
        slots,
        ..EngineRecord::default()
    }
}

fn reward_call(id: &str) -> RewardCall {
    RewardCall {
        id: id.into(),
        host: "scorer".into(),
        path: format!("/s/{id}"),
        body: b"reward".to_vec(),
    }
}

/// Two model engines, a scorer with 12 slots, and its route.
fn harness() -> Harness {
    harness_with(vec![scorer("s", 12)])
}

fn harness_with(scorers: Vec<EngineRecord>) -> Harness {
    let mut engines = vec![engine("a", 5), engine("b", 5)];
    engines.extend(scorers);
    let mut harness = Harness::new(engines);
    harness.change_routes(|routes| routes.push(scorer_route()));
    harness
}

/// Submits a job whose items have the reward call `score-ITEM`.
fn submit(harness: &mut Harness, job: &str, items: &[&str]) {
    let calls = items
        .iter()
        .map(|item| (*item, reward_call(&format!("score-{item}"))));
    harness.submit_scored(job, 5, calls.collect());
}

/// Completes the text of the run that was started last.
fn complete_last_run(harness: &mut Harness, text: &str) {
    let run = harness.last_started().run;
    harness.head(run, 200, 5);
    harness.data(run, text);
    harness.part(run, RunPart::End);
}

fn last_call(harness: &Harness) -> ScoreId {
    harness.score_calls.last().expect("a call was made").0
}

/// Results of a job as (item, completed, text, score).
fn scores(harness: &Harness, job: &str) -> Vec<(String, bool, String, String)> {
    let mut texts = harness.store.text_reader();
    let job = harness.store.get(job).unwrap();
    let listed = job.results.iter().map(|result| {
        let text = texts.read(&job.spec.job, result.item, &result.text);
        (
            job.spec.items[result.item].id.clone(),
            result.completed,
            String::from_utf8(text.unwrap().to_vec()).unwrap(),
            result.score.clone(),
        )
    });
    listed.collect()
}

fn scored(item: &str, text: &str, score: &str) -> (String, bool, String, String) {
    (item.into(), true, text.into(), score.into())
}

#[test]
fn complete_text_is_listed_with_its_reward_signature() {
    let mut harness = harness();
    submit(&mut harness, "j", &["i"]);
    harness.poll();
    let run = harness.last_started().run;
    harness.head(run, 200, 5);
    harness.data(run, "1|0|one\n2|0|two\n");
    harness.wait(400);
    assert!(harness.score_calls.is_empty(), "the text is not complete");
    harness.part(run, RunPart::End);
    harness.poll();
    assert!(scores(&harness, "j").is_empty(), "it is not scored");
    let (id, call) = harness.score_calls[0].clone();
    assert_eq!(call.request.id, "score-i");
    assert_eq!(call.request.host, "scorer");
    assert_eq!(call.request.http.method, "POST");
    assert_eq!(call.request.http.path, "/s/score-i");
    assert_eq!(&call.request.http.body[..], b"reward");
    assert!(call.request.deadline.is_some());
    assert_eq!(call.route.kind, RouteKind::Safe, "the call may be retried");
    harness.score(id, ScoreOutcome::Scored("stamp".into()));
    harness.poll();
    assert_eq!(
        scores(&harness, "j"),
        vec![scored("i", "one\ntwo", "stamp")]
    );
    harness.wait(1_000);
    assert_eq!(harness.started.len(), 1);
    assert_eq!(harness.score_calls.len(), 1);
}

#[test]
fn item_without_a_reward_call_has_no_score() {
    let mut harness = harness();
    harness.submit("j", 5, &["i"]);
    harness.poll();
    complete_last_run(&mut harness, "1|0|one\n");
    harness.poll();
    assert_eq!(scores(&harness, "j"), vec![scored("i", "one", "")]);
    assert!(harness.score_calls.is_empty());
}

#[test]
fn new_leader_scores_a_complete_text_without_rerunning_it() {
    let mut harness = harness();
    submit(&mut harness, "j", &["i"]);
    harness.poll();
    complete_last_run(&mut harness, "1|0|one\n2|0|two\n");
    harness.wait(200);
    harness.change_leader();
    harness.wait(200);
    assert!(harness.started.is_empty(), "the text is complete");
    assert_eq!(harness.score_calls.len(), 2);
    harness.score(last_call(&harness), ScoreOutcome::Scored("s".into()));
    harness.poll();
    assert_eq!(scores(&harness, "j"), vec![scored("i", "one\ntwo", "s")]);
}

/// Guards against scoring a text whose last events were lost with the leader.
#[test]
fn unlogged_completion_is_resumed_from_the_logged_events() {
    let mut harness = harness();
    submit(&mut harness, "j", &["i"]);
    harness.poll();
    let run = harness.last_started().run;
    harness.head(run, 200, 5);
    harness.data(run, "1|0|one\n2|0|two\n3|0|three\n");
    harness.wait(400);
    harness.data(run, "4|0|four\n");
    harness.part(run, RunPart::End);
    harness.poll();
    let lost = harness.score_calls.len();
    harness.change_leader();
    harness.poll();
    assert_eq!(harness.last_started().after, Some(3));
    assert_eq!(harness.score_calls.len(), lost, "the text is not complete");
    complete_last_run(&mut harness, "4|0|FOUR\n");
    harness.poll();
    harness.score(last_call(&harness), ScoreOutcome::Scored("s".into()));
    harness.poll();
    assert_eq!(
        scores(&harness, "j"),
        vec![scored("i", "one\ntwo\nthree\nFOUR", "s")]
    );
}

#[rstest]
#[case::engines_full(ScoreOutcome::NotRun { come_back: None })]
#[case::with_retry_delay(ScoreOutcome::NotRun { come_back: Some(Duration::from_secs(9)) })]
#[case::lost(ScoreOutcome::Failed)]
fn unanswered_reward_call_is_retried(#[case] outcome: ScoreOutcome) {
    let mut harness = harness();
    submit(&mut harness, "j", &["i"]);
    harness.poll();
    complete_last_run(&mut harness, "1|0|one\n");
    harness.poll();
    for call in 1..=8 {
        assert_eq!(harness.score_calls.len(), call);
        harness.score(last_call(&harness), outcome.clone());
        harness.poll();
        assert_eq!(harness.score_calls.len(), call, "not at once");
        harness.wait(600);
    }
    harness.score(last_call(&harness), ScoreOutcome::Scored("s".into()));
    harness.poll();
    assert_eq!(scores(&harness, "j"), vec![scored("i", "one", "s")]);
    assert_eq!(harness.started.len(), 1, "the text is kept");
}

/// Guards against retries before the delay that the scorer requested.
#[test]
fn reward_call_honors_retry_delay() {
    let mut harness = harness();
    submit(&mut harness, "j", &["i"]);
    harness.poll();
    complete_last_run(&mut harness, "1|0|one\n");
    harness.poll();
    let come_back = Some(Duration::from_millis(300));
    harness.score(last_call(&harness), ScoreOutcome::NotRun { come_back });
    harness.wait(200);
    assert_eq!(harness.score_calls.len(), 1);
    harness.wait(200);
    assert_eq!(harness.score_calls.len(), 2);
}

/// The attempts that the route allows are counted across leaders.
#[rstest]
#[case::one_leader(false)]
#[case::new_leader_for_each_attempt(true)]
fn reward_call_is_given_up_after_max_attempts(#[case] change_leader: bool) {
    let mut harness = harness();
    submit(&mut harness, "j", &["i"]);
    harness.poll();
    complete_last_run(&mut harness, "1|0|one\n");
    harness.wait(200);
    for _ in 0..MAX_ATTEMPTS {
        assert!(scores(&harness, "j").is_empty());
        harness.score(last_call(&harness), ScoreOutcome::EngineFailed);
        harness.score(last_call(&harness), ScoreOutcome::Failed);
        harness.wait(600);
        if change_leader {
            harness.change_leader();
            harness.wait(200);
        }
    }
    let calls = harness.score_calls.len();
    harness.wait(1_000);
    let given_up = ("i".to_string(), false, String::new(), String::new());
    assert_eq!(scores(&harness, "j"), vec![given_up]);
    assert_eq!(harness.score_calls.len(), calls);
}

#[test]
fn ending_a_job_cancels_its_reward_calls() {
    let mut harness = harness();
    submit(&mut harness, "j", &["i"]);
    harness.poll();
    complete_last_run(&mut harness, "1|0|one\n");
    harness.poll();
    let call = last_call(&harness);
    harness.end("j");
    assert_eq!(harness.cancelled_scores, vec![call]);
    harness.score(call, ScoreOutcome::Failed);
    harness.wait(1_000);
    assert_eq!(harness.score_calls.len(), 1);
    assert!(scores(&harness, "j").is_empty());
}

/// Guards against reward calls that occupy all slots of the scorers.
#[test]
fn reward_calls_use_at_most_half_of_the_slots() {
    let mut harness = harness_with(vec![scorer("s", 4)]);
    submit(&mut harness, "j", &["i", "k", "l"]);
    harness.poll();
    for run in harness.started.clone() {
        harness.head(run.run, 200, 5);
        harness.data(run.run, "1|0|one\n");
        harness.part(run.run, RunPart::End);
        harness.wait(5);
    }
    harness.poll();
    assert_eq!(harness.score_calls.len(), 2);
    harness.score(harness.score_calls[0].0, ScoreOutcome::Scored("s".into()));
    harness.poll();
    assert_eq!(harness.score_calls.len(), 3);
    let order: Vec<_> = harness
        .score_calls
        .iter()
        .map(|c| &c.1.request.id)
        .collect();
    let started = harness
        .started
        .iter()
        .map(|run| format!("score-{}", run.item));
    assert!(
        order.into_iter().cloned().eq(started),
        "calls are made in order of completion"
    );
}

#[test]
fn reward_call_waits_for_its_route() {
    let mut harness = harness();
    harness.change_routes(|routes| routes.truncate(1));
    submit(&mut harness, "j", &["i"]);
    harness.poll();
    complete_last_run(&mut harness, "1|0|one\n");
    harness.wait(2_000);
    assert!(harness.score_calls.is_empty());
    assert!(scores(&harness, "j").is_empty(), "not given up either");
    harness.change_routes(|routes| routes.push(scorer_route()));
    harness.wait(200);
    assert_eq!(harness.score_calls.len(), 1);
}

#[test]
fn unscored_item_is_given_up_at_the_queue_timeout() {
    let mut harness = harness();
    harness.change_routes(|routes| routes.truncate(1));
    submit(&mut harness, "j", &["i"]);
    harness.poll();
    complete_last_run(&mut harness, "1|0|one\n");
    harness.wait(39_000);
    assert!(scores(&harness, "j").is_empty());
    harness.wait(1_100);
    assert!(!scores(&harness, "j")[0].1);
}

#[rstest]
#[case::same_call("score-i", 0, Some("stamp"))]
#[case::another_call("score-again", 1, None)]
fn resubmitted_item_keeps_the_score_of_the_same_call_only(
    #[case] id: &str,
    #[case] calls: usize,
    #[case] kept: Option<&str>,
) {
    let mut harness = harness();
    submit(&mut harness, "j", &["i"]);
    harness.poll();
    complete_last_run(&mut harness, "1|0|one\n2|0|two\n");
    harness.poll();
    harness.score(last_call(&harness), ScoreOutcome::Scored("stamp".into()));
    harness.poll();
    harness.end("j");
    harness.score_calls.clear();
    harness.submit_scored("later", 5, vec![("i", reward_call(id))]);
    harness.wait(200);
    assert_eq!(harness.started.len(), 1, "the text is kept");
    assert_eq!(harness.score_calls.len(), calls);
    if kept.is_none() {
        harness.score(last_call(&harness), ScoreOutcome::Scored("new".into()));
        harness.poll();
    }
    let score = kept.unwrap_or("new");
    assert_eq!(
        scores(&harness, "later"),
        vec![scored("i", "one\ntwo", score)]
    );
}

/// Guards against regenerating a text that was complete when its job ended.
#[test]
fn complete_text_of_an_ended_job_is_scored_in_the_next() {
    let mut harness = harness();
    submit(&mut harness, "j", &["i"]);
    harness.poll();
    complete_last_run(&mut harness, "1|0|one\n");
    harness.wait(200);
    harness.end("j");
    harness.score_calls.clear();
    submit(&mut harness, "later", &["i"]);
    harness.wait(200);
    assert_eq!(harness.started.len(), 1);
    harness.score(last_call(&harness), ScoreOutcome::Scored("s".into()));
    harness.poll();
    assert_eq!(scores(&harness, "later"), vec![scored("i", "one", "s")]);
}

/// Guards against a poll that blocks the leader with hundreds of reward calls.
#[test]
fn reward_calls_per_poll_are_bounded() {
    const ITEMS: usize = 60;
    const MAX_CALLS: usize = 16;
    let engines = (0..ITEMS).map(|index| engine(&format!("e{index}"), 5));
    let mut harness = Harness::new(engines.chain([scorer("s", 400)]).collect());
    harness.change_routes(|routes| routes.push(scorer_route()));
    let names: Vec<String> = (0..ITEMS).map(|index| format!("i{index}")).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    submit(&mut harness, "j", &names);
    harness.poll_until_started();
    for started in harness.started.clone() {
        harness.head(started.run, 200, 5);
        harness.data(started.run, "1|0|one\n");
        harness.part(started.run, RunPart::End);
    }
    harness.wait(400);
    harness.change_leader();
    harness.score_calls.clear();
    let mut before = 0;
    while before < ITEMS {
        harness.poll();
        let made = harness.score_calls.len() - before;
        before = harness.score_calls.len();
        assert!(made > 0 && made <= MAX_CALLS, "{made} calls in one poll");
    }
}
