//! A leader whose configuration is older than the newest that the log names.

mod scoring;

use peatgrade_jobs::{RunPart, WaitReason};
use peatgrade_ports::Route;
use peatgrade_types::Duration;
use rstest::rstest;

use crate::completed;
use crate::dispatch::{engine, Harness};

/// Version of the configuration under which jobs are accepted.
const ACCEPTED_UNDER: u64 = 3;
/// Older version, which the leader applies.
const OUTDATED: u64 = 2;

fn given_up(item: &str) -> (String, bool, String, Vec<u64>) {
    (item.into(), false, String::new(), Vec::new())
}

/// A leader with an older configuration, whose routes are changed by `change`.
fn outdated_leader(change: impl FnOnce(&mut Vec<Route>)) -> Harness {
    let mut harness = Harness::new(vec![engine("a", 5), engine("b", 5)]);
    harness.set_configuration(OUTDATED, change);
    harness.accepted_under = ACCEPTED_UNDER;
    harness
}

fn complete_last_run(harness: &mut Harness) {
    let run = harness.last_started().run;
    harness.head(run, 200, 5);
    harness.data(run, "1|0|one\n");
    harness.part(run, RunPart::End);
    harness.poll();
}

fn fail_last_run(harness: &mut Harness) {
    let run = harness.last_started().run;
    harness.head(run, 500, 5);
    harness.part(run, RunPart::End);
    harness.wait(100);
}

/// Guards against items that a leader terminates because it does not know their route yet.
#[test]
fn item_on_a_route_unknown_to_an_outdated_leader_waits_for_the_configuration() {
    let mut routes = Vec::new();
    let mut harness = outdated_leader(|known| routes = std::mem::take(known));
    harness.submit("j", 5, &["i"]);
    harness.wait(10_000);
    assert!(harness.results("j").is_empty(), "nothing is decided");
    assert!(harness.started.is_empty(), "no route leads to an engine");
    let waiting = harness.dispatcher.waiting_items();
    assert_eq!(waiting.count(WaitReason::OutdatedConfiguration), 1);
    harness.set_configuration(ACCEPTED_UNDER, |known| *known = routes);
    harness.wait(200);
    complete_last_run(&mut harness);
    assert_eq!(harness.results("j"), vec![completed("i", "one", &[5])]);
}

/// The control: a current configuration without the route ends its items.
#[test]
fn item_on_a_removed_route_is_given_up_under_a_current_configuration() {
    let mut harness = outdated_leader(Vec::clear);
    harness.submit("j", 5, &["i"]);
    harness.wait(1_000);
    harness.set_configuration(ACCEPTED_UNDER, |_| {});
    harness.wait(200);
    assert_eq!(harness.results("j"), vec![given_up("i")]);
}

/// Guards against a route that was removed and added again: a leader that knows only of the
/// removal must not end the items of jobs accepted since.
#[test]
fn item_on_a_route_added_again_survives_a_leader_that_knows_only_its_removal() {
    let mut routes = Vec::new();
    let mut harness = outdated_leader(|known| routes = std::mem::take(known));
    harness.accepted_under = OUTDATED - 1;
    harness.submit("before", 5, &["removed"]);
    harness.wait(200);
    assert_eq!(harness.results("before"), vec![given_up("removed")]);
    harness.accepted_under = ACCEPTED_UNDER;
    harness.submit("after", 5, &["i"]);
    harness.wait(5_000);
    assert!(harness.results("after").is_empty());
    harness.set_configuration(ACCEPTED_UNDER, |known| *known = routes);
    harness.wait(200);
    complete_last_run(&mut harness);
    assert_eq!(harness.results("after"), vec![completed("i", "one", &[5])]);
}

/// Guards against a new leader that ends, by an older configuration, work that engines ran under
/// the previous leader.
#[rstest]
#[case::job_names_it(true)]
#[case::previous_leader_logged_it(false)]
fn new_leader_with_an_older_configuration_keeps_items_that_have_run(#[case] job_names_it: bool) {
    let mut harness = Harness::new(vec![engine("a", 5), engine("b", 5)]);
    harness.set_configuration(ACCEPTED_UNDER, |_| {});
    if job_names_it {
        harness.accepted_under = ACCEPTED_UNDER;
    }
    harness.submit("j", 5, &["i"]);
    harness.poll();
    let run = harness.last_started().run;
    harness.head(run, 200, 5);
    harness.data(run, "1|0|one\n2|0|two\n3|0|three\n");
    harness.wait(400);
    if !job_names_it {
        harness.log_configuration(ACCEPTED_UNDER);
    }
    let mut routes = Vec::new();
    harness.set_configuration(OUTDATED, |known| routes = std::mem::take(known));
    harness.change_leader();
    harness.wait(5_000);
    assert!(harness.results("j").is_empty());
    harness.set_configuration(ACCEPTED_UNDER, |known| *known = routes);
    harness.wait(200);
    assert_eq!(harness.last_started().after, Some(3), "the text is kept");
}

/// Guards against items that end at a limit of an older route.
#[test]
fn queue_limit_of_an_outdated_route_ends_no_item() {
    let limit = |seconds| move |routes: &mut Vec<Route>| routes[0].max_queue = seconds;
    let mut harness = outdated_leader(limit(Duration::from_secs(1)));
    for engine in ["a", "b"] {
        harness.set_running(engine, 4);
    }
    harness.submit("j", 5, &["i"]);
    harness.wait(5_000);
    assert!(harness.results("j").is_empty());
    harness.set_configuration(ACCEPTED_UNDER, limit(Duration::from_secs(10)));
    harness.wait(1_000);
    assert!(harness.results("j").is_empty(), "the limit in force");
    harness.wait(5_000);
    assert_eq!(harness.results("j"), vec![given_up("i")]);
}

/// Guards against items that end after the attempts of an older route, and against further runs
/// before the limit in force is known.
#[test]
fn attempts_of_an_outdated_route_end_no_item_and_exceed_no_budget() {
    let attempts = |count| move |routes: &mut Vec<Route>| routes[0].max_attempts = count;
    let mut harness = outdated_leader(attempts(1));
    harness.submit("j", 5, &["i"]);
    harness.poll();
    fail_last_run(&mut harness);
    fail_last_run(&mut harness);
    harness.wait(3_000);
    assert_eq!(harness.started.len(), 2, "held after twice the attempts");
    assert!(harness.results("j").is_empty());
    harness.set_configuration(ACCEPTED_UNDER, attempts(3));
    harness.wait(200);
    assert_eq!(harness.started.len(), 3, "the limit in force allows more");
    complete_last_run(&mut harness);
    assert_eq!(harness.results("j"), vec![completed("i", "one", &[5])]);
}

/// Guards against counting an unknown route as one that allows a single attempt.
#[test]
fn failure_on_a_route_that_became_unknown_ends_no_item_of_an_outdated_leader() {
    let mut harness = outdated_leader(|_| {});
    harness.submit("j", 5, &["i"]);
    harness.poll();
    fail_last_run(&mut harness);
    let mut routes = Vec::new();
    harness.set_configuration(OUTDATED, |known| routes = std::mem::take(known));
    fail_last_run(&mut harness);
    assert!(harness.results("j").is_empty());
    harness.set_configuration(ACCEPTED_UNDER, |known| *known = routes);
    harness.wait(200);
    complete_last_run(&mut harness);
    assert_eq!(harness.results("j"), vec![completed("i", "one", &[5])]);
}

/// An answer that the item can never be done does not depend on the configuration.
#[test]
fn unprocessable_item_is_given_up_by_an_outdated_leader() {
    let mut harness = outdated_leader(|_| {});
    harness.submit("j", 5, &["i"]);
    harness.poll();
    let run = harness.last_started().run;
    harness.head(run, 422, 5);
    harness.part(run, RunPart::End);
    harness.poll();
    assert_eq!(harness.results("j"), vec![given_up("i")]);
}

/// Guards against a result of several versions that an outdated leader lists again for a job whose
/// route demands a single one.
#[test]
fn outdated_leader_reuses_only_results_of_a_single_version() {
    let mut harness = Harness::new(vec![engine("a", 5), engine("b", 5)]);
    harness.set_configuration(OUTDATED, |_| {});
    harness.submit("first", 5, &["mixed", "pure"]);
    harness.poll();
    for started in harness.started.clone() {
        harness.head(started.run, 200, 5);
        let second = if started.item == "mixed" { 6 } else { 5 };
        harness.data(started.run, &format!("1|5|one\n2|{second}|two\n"));
        harness.part(started.run, RunPart::End);
    }
    harness.poll();
    assert_eq!(harness.results("first").len(), 2);
    harness.accepted_under = ACCEPTED_UNDER;
    harness.submit("second", 5, &["mixed", "pure"]);
    harness.poll();
    assert_eq!(
        harness.results("second"),
        vec![completed("pure", "one\ntwo", &[5])]
    );
}

/// Guards against texts that are broken off at a change of the weights although their route allows
/// several versions: they began while the leader did not know the setting.
#[test]
fn running_item_may_have_several_versions_once_the_configuration_allows_it() {
    let mut harness = outdated_leader(|_| {});
    harness.submit("j", 5, &["i"]);
    harness.poll();
    let run = harness.last_started().run;
    harness.head(run, 200, 5);
    harness.data(run, "1|0|one\n");
    harness.set_configuration(ACCEPTED_UNDER, |_| {});
    harness.wait(100);
    harness.data(run, "2|6|two\n");
    assert!(harness.cancelled.is_empty(), "the run goes on");
    harness.part(run, RunPart::End);
    harness.poll();
    assert_eq!(
        harness.results("j"),
        vec![completed("i", "one\ntwo", &[5, 6])]
    );
}
