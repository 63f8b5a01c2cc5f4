//! Limits of reward calls under an outdated configuration.

use peatgrade_jobs::{RunPart, ScoreOutcome};
use peatgrade_ports::{EngineRecord, Instance, Route, RouteKind};
use peatgrade_schema::replication::RewardCall;
use peatgrade_types::Duration;

use super::{outdated_leader, ACCEPTED_UNDER};
use crate::dispatch::Harness;

fn add_scorer_route(routes: &mut Vec<Route>, max_attempts: u32) {
    let mut route = Route {
        name: "scores".into(),
        host: "scorer".into(),
        prefix: "/s/".into(),
        kind: RouteKind::Safe,
        max_attempts,
        ..routes[0].clone()
    };
    route.targets[0].service = "scorers".into();
    routes.push(route);
}

/// An outdated leader with an item whose text is complete and whose reward call was made, if a
/// scorer is listed.
fn with_unscored_item(change: impl FnOnce(&mut Vec<Route>)) -> Harness {
    let mut harness = outdated_leader(change);
    harness.add_engine(EngineRecord {
        instance: Instance("s".into()),
        service: "scorers".into(),
        slots: 12,
        ..EngineRecord::default()
    });
    let reward_call = RewardCall {
        id: "score-i".into(),
        host: "scorer".into(),
        path: "/s/i".into(),
        body: Vec::new(),
    };
    harness.submit_scored("j", 5, vec![("i", reward_call)]);
    harness.poll();
    let run = harness.last_started().run;
    harness.head(run, 200, 5);
    harness.data(run, "1|0|one\n");
    harness.part(run, RunPart::End);
    harness.poll();
    harness
}

fn score_last_call(harness: &mut Harness) {
    let id = harness.score_calls.last().expect("a call was made").0;
    harness.score(id, ScoreOutcome::Scored("s".into()));
    harness.poll();
}

/// Guards against complete texts that are lost at a limit of an older route.
#[test]
fn queue_limit_of_an_outdated_route_ends_no_unscored_item() {
    let mut harness = with_unscored_item(|routes| routes[0].max_queue = Duration::from_secs(1));
    harness.wait(5_000);
    assert!(harness.results("j").is_empty());
    harness.set_configuration(ACCEPTED_UNDER, |routes| {
        routes[0].max_queue = Duration::from_secs(40);
        add_scorer_route(routes, 3);
    });
    harness.wait(200);
    score_last_call(&mut harness);
    assert!(
        harness.results("j")[0].1,
        "the text is listed with its score"
    );
}

/// Guards against complete texts that are lost after the attempts of an older route.
#[test]
fn attempts_of_an_outdated_scorer_route_end_no_item_and_exceed_no_budget() {
    let mut harness = with_unscored_item(|routes| add_scorer_route(routes, 1));
    let first = harness.score_calls.last().expect("a call was made").0;
    harness.score(first, ScoreOutcome::EngineFailed);
    harness.score(first, ScoreOutcome::Failed);
    harness.wait(5_000);
    assert_eq!(harness.score_calls.len(), 1, "held after the attempts");
    assert!(harness.results("j").is_empty());
    harness.set_configuration(ACCEPTED_UNDER, |routes| routes[1].max_attempts = 3);
    harness.wait(1_000);
    assert_eq!(
        harness.score_calls.len(),
        2,
        "the limit in force allows more"
    );
    score_last_call(&mut harness);
    assert!(
        harness.results("j")[0].1,
        "the text is listed with its score"
    );
}

/// The control: the attempts of a current route end the item.
#[test]
fn item_held_after_its_reward_calls_is_given_up_once_the_limit_is_confirmed() {
    let mut harness = with_unscored_item(|routes| add_scorer_route(routes, 1));
    let first = harness.score_calls.last().expect("a call was made").0;
    harness.score(first, ScoreOutcome::EngineFailed);
    harness.score(first, ScoreOutcome::Failed);
    harness.wait(1_000);
    harness.set_configuration(ACCEPTED_UNDER, |_| {});
    harness.wait(1_000);
    assert_eq!(harness.score_calls.len(), 1);
    assert!(!harness.results("j")[0].1, "given up");
}
