//! Items whose text is scored by a reward call before it is listed.

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

/// Two model engines, one scorer of 12 slots, and its route.
fn scene() -> Harness {
    scene_with(vec![scorer("s", 12)])
}

fn scene_with(scorers: Vec<EngineRecord>) -> Harness {
    let mut engines = vec![engine("a", 5), engine("b", 5)];
    engines.extend(scorers);
    let mut scene = Harness::new(engines);
    scene.change_routes(|routes| routes.push(scorer_route()));
    scene
}

/// Submits a job of items that `score-ITEM` scores.
fn submit(scene: &mut Harness, job: &str, items: &[&str]) {
    let calls = items
        .iter()
        .map(|item| (*item, reward_call(&format!("score-{item}"))));
    scene.submit_scored(job, 5, calls.collect());
}

/// Lets the run of the only item that was started last make a whole text.
fn run_last(scene: &mut Harness, text: &str) {
    let run = scene.last_started().run;
    scene.head(run, 200, 5);
    scene.data(run, text);
    scene.part(run, RunPart::End);
}

fn last_call(scene: &Harness) -> ScoreId {
    scene.score_calls.last().expect("a call was made").0
}

/// Results of a job as (item, completed, text, score).
fn scores(scene: &Harness, job: &str) -> Vec<(String, bool, String, String)> {
    let mut texts = scene.store.text_reader();
    let job = scene.store.get(job).unwrap();
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
fn a_whole_text_is_listed_with_the_signature_of_its_reward_call() {
    let mut scene = scene();
    submit(&mut scene, "j", &["i"]);
    scene.poll();
    let run = scene.last_started().run;
    scene.head(run, 200, 5);
    scene.data(run, "1|0|one\n2|0|two\n");
    scene.wait(400);
    assert!(scene.score_calls.is_empty(), "the text may go on");
    scene.part(run, RunPart::End);
    scene.poll();
    assert!(scores(&scene, "j").is_empty(), "not before its score");
    let (id, call) = scene.score_calls[0].clone();
    assert_eq!(call.request.id, "score-i");
    assert_eq!(call.request.host, "scorer");
    assert_eq!(call.request.http.method, "POST");
    assert_eq!(call.request.http.path, "/s/score-i");
    assert_eq!(&call.request.http.body[..], b"reward");
    assert!(call.request.deadline.is_some());
    assert_eq!(call.route.kind, RouteKind::Safe, "it may be repeated");
    scene.score(id, ScoreOutcome::Scored("stamp".into()));
    scene.poll();
    assert_eq!(scores(&scene, "j"), vec![scored("i", "one\ntwo", "stamp")]);
    scene.wait(1_000);
    assert_eq!(scene.started.len(), 1);
    assert_eq!(scene.score_calls.len(), 1);
}

/// An item that nothing scores is listed at once, as ever.
#[test]
fn an_item_without_a_reward_call_has_no_score() {
    let mut scene = scene();
    scene.submit("j", 5, &["i"]);
    scene.poll();
    run_last(&mut scene, "1|0|one\n");
    scene.poll();
    assert_eq!(scores(&scene, "j"), vec![scored("i", "one", "")]);
    assert!(scene.score_calls.is_empty());
}

#[test]
fn a_new_leader_calls_for_a_whole_text_and_does_not_run_it_again() {
    let mut scene = scene();
    submit(&mut scene, "j", &["i"]);
    scene.poll();
    run_last(&mut scene, "1|0|one\n2|0|two\n");
    scene.wait(200);
    scene.change_leader();
    scene.wait(200);
    assert!(scene.started.is_empty(), "the log holds the whole text");
    assert_eq!(scene.score_calls.len(), 2);
    scene.score(last_call(&scene), ScoreOutcome::Scored("s".into()));
    scene.poll();
    assert_eq!(scores(&scene, "j"), vec![scored("i", "one\ntwo", "s")]);
}

/// The end of the text was not in the log yet: it goes on after what was, and no
/// call leaves before it is whole again.
#[test]
fn a_leader_lost_before_the_record_costs_the_rest_of_the_text_only() {
    let mut scene = scene();
    submit(&mut scene, "j", &["i"]);
    scene.poll();
    let run = scene.last_started().run;
    scene.head(run, 200, 5);
    scene.data(run, "1|0|one\n2|0|two\n3|0|three\n");
    scene.wait(400);
    scene.data(run, "4|0|four\n");
    scene.part(run, RunPart::End);
    scene.poll();
    let lost = scene.score_calls.len();
    scene.change_leader();
    scene.poll();
    assert_eq!(scene.last_started().after, Some(3));
    assert_eq!(scene.score_calls.len(), lost, "it is not whole");
    run_last(&mut scene, "4|0|FOUR\n");
    scene.poll();
    scene.score(last_call(&scene), ScoreOutcome::Scored("s".into()));
    scene.poll();
    assert_eq!(
        scores(&scene, "j"),
        vec![scored("i", "one\ntwo\nthree\nFOUR", "s")]
    );
}

#[rstest]
#[case::engines_full(ScoreOutcome::NotRun { come_back: None })]
#[case::told_when(ScoreOutcome::NotRun { come_back: Some(Duration::from_secs(9)) })]
#[case::lost(ScoreOutcome::Failed)]
fn a_call_without_an_answer_is_made_again(#[case] outcome: ScoreOutcome) {
    let mut scene = scene();
    submit(&mut scene, "j", &["i"]);
    scene.poll();
    run_last(&mut scene, "1|0|one\n");
    scene.poll();
    for call in 1..=8 {
        assert_eq!(scene.score_calls.len(), call);
        scene.score(last_call(&scene), outcome.clone());
        scene.poll();
        assert_eq!(scene.score_calls.len(), call, "not at once");
        scene.wait(600);
    }
    scene.score(last_call(&scene), ScoreOutcome::Scored("s".into()));
    scene.poll();
    assert_eq!(scores(&scene, "j"), vec![scored("i", "one", "s")]);
    assert_eq!(scene.started.len(), 1, "the text stays");
}

/// A call that comes back before an engine can take it is rejected again, and the leader's
/// share of its machine goes into that.
#[test]
fn a_call_that_was_told_when_to_come_back_waits_as_long() {
    let mut scene = scene();
    submit(&mut scene, "j", &["i"]);
    scene.poll();
    run_last(&mut scene, "1|0|one\n");
    scene.poll();
    let come_back = Some(Duration::from_millis(300));
    scene.score(last_call(&scene), ScoreOutcome::NotRun { come_back });
    scene.wait(200);
    assert_eq!(scene.score_calls.len(), 1);
    scene.wait(200);
    assert_eq!(scene.score_calls.len(), 2);
}

/// As often as the route allows, under whichever leader, and not less often.
#[rstest]
#[case::one_leader(false)]
#[case::a_leader_each(true)]
fn a_call_that_always_fails_is_given_up(#[case] change_leader: bool) {
    let mut scene = scene();
    submit(&mut scene, "j", &["i"]);
    scene.poll();
    run_last(&mut scene, "1|0|one\n");
    scene.wait(200);
    for _ in 0..MAX_ATTEMPTS {
        assert!(scores(&scene, "j").is_empty());
        scene.score(last_call(&scene), ScoreOutcome::EngineFailed);
        scene.score(last_call(&scene), ScoreOutcome::Failed);
        scene.wait(600);
        if change_leader {
            scene.change_leader();
            scene.wait(200);
        }
    }
    let calls = scene.score_calls.len();
    scene.wait(1_000);
    let given_up = ("i".to_string(), false, String::new(), String::new());
    assert_eq!(scores(&scene, "j"), vec![given_up]);
    assert_eq!(scene.score_calls.len(), calls);
}

#[test]
fn the_end_of_a_job_breaks_its_reward_calls_off() {
    let mut scene = scene();
    submit(&mut scene, "j", &["i"]);
    scene.poll();
    run_last(&mut scene, "1|0|one\n");
    scene.poll();
    let call = last_call(&scene);
    scene.end("j");
    assert_eq!(scene.cancelled_scores, vec![call]);
    scene.score(call, ScoreOutcome::Failed);
    scene.wait(1_000);
    assert_eq!(scene.score_calls.len(), 1);
    assert!(scores(&scene, "j").is_empty());
}

/// The scorers' other callers find half of their slots free.
#[test]
fn reward_calls_leave_room_for_other_callers() {
    let mut scene = scene_with(vec![scorer("s", 4)]);
    submit(&mut scene, "j", &["i", "k", "l"]);
    scene.poll();
    for run in scene.started.clone() {
        scene.head(run.run, 200, 5);
        scene.data(run.run, "1|0|one\n");
        scene.part(run.run, RunPart::End);
        scene.wait(5);
    }
    scene.poll();
    assert_eq!(scene.score_calls.len(), 2);
    scene.score(scene.score_calls[0].0, ScoreOutcome::Scored("s".into()));
    scene.poll();
    assert_eq!(scene.score_calls.len(), 3);
    let order: Vec<_> = scene.score_calls.iter().map(|c| &c.1.request.id).collect();
    let started = scene
        .started
        .iter()
        .map(|run| format!("score-{}", run.item));
    assert!(
        order.into_iter().cloned().eq(started),
        "whole first, called first"
    );
}

/// A scorer without a route runs nothing; the next configuration may bring it.
#[test]
fn a_reward_call_waits_for_its_route() {
    let mut scene = scene();
    scene.change_routes(|routes| routes.truncate(1));
    submit(&mut scene, "j", &["i"]);
    scene.poll();
    run_last(&mut scene, "1|0|one\n");
    scene.wait(2_000);
    assert!(scene.score_calls.is_empty());
    assert!(scores(&scene, "j").is_empty(), "not given up either");
    scene.change_routes(|routes| routes.push(scorer_route()));
    scene.wait(200);
    assert_eq!(scene.score_calls.len(), 1);
}

/// A text may be given up once it has waited for as long as its route says.
#[test]
fn an_item_without_a_score_is_given_up_at_the_queue_limit() {
    let mut scene = scene();
    scene.change_routes(|routes| routes.truncate(1));
    submit(&mut scene, "j", &["i"]);
    scene.poll();
    run_last(&mut scene, "1|0|one\n");
    scene.wait(39_000);
    assert!(scores(&scene, "j").is_empty());
    scene.wait(1_100);
    assert!(!scores(&scene, "j")[0].1);
}

#[rstest]
#[case::same_call("score-i", 0, Some("stamp"))]
#[case::another_call("score-again", 1, None)]
fn an_item_that_comes_back_keeps_the_score_of_the_same_call_only(
    #[case] id: &str,
    #[case] calls: usize,
    #[case] kept: Option<&str>,
) {
    let mut scene = scene();
    submit(&mut scene, "j", &["i"]);
    scene.poll();
    run_last(&mut scene, "1|0|one\n2|0|two\n");
    scene.poll();
    scene.score(last_call(&scene), ScoreOutcome::Scored("stamp".into()));
    scene.poll();
    scene.end("j");
    scene.score_calls.clear();
    scene.submit_scored("later", 5, vec![("i", reward_call(id))]);
    scene.wait(200);
    assert_eq!(scene.started.len(), 1, "the text is kept");
    assert_eq!(scene.score_calls.len(), calls);
    if kept.is_none() {
        scene.score(last_call(&scene), ScoreOutcome::Scored("new".into()));
        scene.poll();
    }
    let score = kept.unwrap_or("new");
    assert_eq!(
        scores(&scene, "later"),
        vec![scored("i", "one\ntwo", score)]
    );
}

/// A text that was whole when its job ended is scored in the next one, not made
/// again.
#[test]
fn a_whole_text_of_an_ended_job_is_scored_in_the_next() {
    let mut scene = scene();
    submit(&mut scene, "j", &["i"]);
    scene.poll();
    run_last(&mut scene, "1|0|one\n");
    scene.wait(200);
    scene.end("j");
    scene.score_calls.clear();
    submit(&mut scene, "later", &["i"]);
    scene.wait(200);
    assert_eq!(scene.started.len(), 1);
    scene.score(last_call(&scene), ScoreOutcome::Scored("s".into()));
    scene.poll();
    assert_eq!(scores(&scene, "later"), vec![scored("i", "one", "s")]);
}

/// After a takeover hundreds of whole texts may wait for their scores, and a leader is
/// not heard while it sends their calls.
#[test]
fn a_look_makes_a_few_reward_calls_however_many_texts_wait() {
    const ITEMS: usize = 60;
    const MOST_CALLS: usize = 16;
    let engines = (0..ITEMS).map(|index| engine(&format!("e{index}"), 5));
    let mut scene = Harness::new(engines.chain([scorer("s", 400)]).collect());
    scene.change_routes(|routes| routes.push(scorer_route()));
    let names: Vec<String> = (0..ITEMS).map(|index| format!("i{index}")).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    submit(&mut scene, "j", &names);
    scene.poll_until_started();
    for started in scene.started.clone() {
        scene.head(started.run, 200, 5);
        scene.data(started.run, "1|0|one\n");
        scene.part(started.run, RunPart::End);
    }
    scene.wait(400);
    scene.change_leader();
    scene.score_calls.clear();
    let mut before = 0;
    while before < ITEMS {
        scene.poll();
        let made = scene.score_calls.len() - before;
        before = scene.score_calls.len();
        assert!(made > 0 && made <= MOST_CALLS, "{made} calls in one look");
    }
}
