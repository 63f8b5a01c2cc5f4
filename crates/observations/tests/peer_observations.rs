//! Reports of others, joined with what was seen here: one failure of a report each.

mod common;

use common::{answered, before, failed, loaded, NOW};
use peatgrade_observations::{
    suspects_local_link, unreliable_sources, FailureReport, LocalEvidence, Observation, PeerHealth,
    PeerObservations, FAILURE_TTL, MAX_SOURCES,
};
use peatgrade_ports::StartedAt;
use peatgrade_types::{Duration, Time};
use rstest::rstest;
use std::collections::BTreeSet;

fn told(observations: &[Observation]) -> PeerObservations {
    let mut told = PeerObservations::default();
    for observation in observations {
        told.insert(observation.clone());
    }
    told
}

fn standing(told: &PeerObservations, own: LocalEvidence) -> PeerHealth {
    told.summarize(NOW, None, own).health
}

fn heard(at: Time) -> LocalEvidence {
    LocalEvidence {
        last_response: at,
        last_failure: None,
    }
}

#[test]
fn one_machine_alone_only_makes_an_engine_doubtful() {
    let told = told(&[failed("e", "leader", before(100))]);
    assert_eq!(
        standing(&told, LocalEvidence::default()),
        PeerHealth::Doubtful
    );
}

#[test]
fn two_machines_make_a_failure_sure() {
    let told = told(&[
        failed("e", "leader", before(100)),
        failed("e", "g1", before(300)),
    ]);
    assert_eq!(
        standing(&told, LocalEvidence::default()),
        PeerHealth::Failing
    );
}

#[test]
fn an_own_failure_confirms_what_one_machine_told() {
    let told = told(&[failed("e", "leader", before(100))]);
    let own = LocalEvidence {
        last_response: before(9_000),
        last_failure: Some(before(2_000)),
    };
    assert_eq!(standing(&told, own), PeerHealth::Failing);
}

#[test]
fn an_own_failure_alone_is_no_belief_of_others() {
    let own = LocalEvidence {
        last_response: Time(0),
        last_failure: Some(before(10)),
    };
    assert_eq!(
        standing(&PeerObservations::default(), own),
        PeerHealth::Sound
    );
}

#[test]
fn an_answer_seen_here_later_outweighs_all_that_was_told() {
    let told = told(&[
        failed("e", "leader", before(100)),
        failed("e", "g1", before(300)),
    ]);
    assert_eq!(standing(&told, heard(before(50))), PeerHealth::Sound);
    // An earlier answer does not: the engine failed since.
    assert_eq!(standing(&told, heard(before(500))), PeerHealth::Failing);
}

#[test]
fn an_engine_that_fails_only_some_callers_stays_in_use() {
    let told = told(&[
        failed("e", "g1", before(300)),
        failed("e", "g2", before(200)),
        answered("e", "g3", before(100)),
    ]);
    assert_eq!(
        standing(&told, LocalEvidence::default()),
        PeerHealth::Doubtful
    );
}

#[test]
fn a_failure_that_was_told_fades() {
    let old = Time(NOW.0 - FAILURE_TTL.0);
    let told = told(&[failed("e", "leader", old), failed("e", "g1", old)]);
    assert_eq!(standing(&told, LocalEvidence::default()), PeerHealth::Sound);
}

#[test]
fn a_source_corrects_itself_and_is_not_taken_backwards() {
    let mut told = told(&[failed("e", "leader", before(500))]);
    assert!(told.insert(answered("e", "leader", before(100))));
    assert!(!told.insert(failed("e", "leader", before(400))));
    assert_eq!(standing(&told, LocalEvidence::default()), PeerHealth::Sound);
}

#[test]
fn what_was_told_of_an_earlier_life_is_not_believed() {
    let of_life = |source: &str, started| Observation {
        started: Some(StartedAt(started)),
        ..failed("e", source, before(100))
    };
    let told = told(&[of_life("leader", 1), of_life("g1", 1)]);
    let belief = |life| told.summarize(NOW, Some(StartedAt(life)), LocalEvidence::default());
    assert_eq!(belief(1).health, PeerHealth::Failing);
    assert_eq!(belief(2).health, PeerHealth::Sound);
}

#[test]
fn sources_of_an_engine_are_bounded() {
    let mut told = PeerObservations::default();
    for index in 0..50 {
        told.insert(failed("e", &format!("g{index}"), before(1_000 - index)));
    }
    assert_eq!(told.len(), MAX_SOURCES);
}

#[test]
fn a_load_counts_for_a_second_and_usual_times_for_longer() {
    let usual = Some(Duration::from_millis(20));
    let with_usual = |seen| Observation {
        mean_latency: usual,
        ..loaded("e", "leader", seen, 6, 3)
    };
    let young = told(&[with_usual(before(900))]);
    let old = told(&[with_usual(before(1_100))]);
    let belief = |told: &PeerObservations| told.summarize(NOW, None, LocalEvidence::default());
    assert_eq!(belief(&young).load.map(|(_, load)| load.waiting), Some(3));
    assert_eq!(belief(&old).load, None);
    assert_eq!(belief(&old).mean_latency, usual);
}

#[test]
fn a_machine_whose_reports_others_refute_is_not_believed() {
    let refuted = [true, true, false].map(|is_refuted| FailureReport {
        source: "bad-link",
        is_contradicted: is_refuted,
    });
    let held = [true, false, false].map(|is_refuted| FailureReport {
        source: "sound",
        is_contradicted: is_refuted,
    });
    let bad = unreliable_sources(refuted.into_iter().chain(held));
    assert_eq!(bad, BTreeSet::from(["bad-link".to_string()]));
}

#[test]
fn a_discredited_source_does_not_even_cast_doubt() {
    let mut told = told(&[failed("e", "bad-link", before(100))]);
    told.set_unreliable_sources(&BTreeSet::from(["bad-link".to_string()]));
    assert_eq!(standing(&told, LocalEvidence::default()), PeerHealth::Sound);
    told.set_unreliable_sources(&BTreeSet::new());
    assert_eq!(
        standing(&told, LocalEvidence::default()),
        PeerHealth::Doubtful
    );
}

#[test]
fn an_answer_right_after_refutes_and_a_later_one_does_not() {
    let refuted = |answer| {
        let told = told(&[
            failed("e", "g1", before(3_000)),
            answered("e", "g2", before(answer)),
        ]);
        let accusations = told.failure_reports(NOW, None, LocalEvidence::default());
        accusations
            .map(|(_, is_refuted)| is_refuted)
            .collect::<Vec<_>>()
    };
    assert_eq!(refuted(2_900), [true]);
    assert_eq!(refuted(1_500), [false]);
    assert_eq!(refuted(3_100), [false]);
}

#[rstest]
#[case::one_failure_says_nothing(1, 1, false)]
#[case::half_of_a_service_is_lost(15, 30, false)]
#[case::nearly_all_fail(21, 30, true)]
fn a_machine_that_sees_nearly_all_fail_suspects_its_link(
    #[case] failing: usize,
    #[case] tried: usize,
    #[case] expected: bool,
) {
    assert_eq!(suspects_local_link(failing, tried), expected);
}
