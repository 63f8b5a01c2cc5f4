//! Observations of peers combined with local evidence.

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

fn peer_observations(observations: &[Observation]) -> PeerObservations {
    let mut peers = PeerObservations::default();
    for observation in observations {
        peers.insert(observation.clone());
    }
    peers
}

fn health(peers: &PeerObservations, local: LocalEvidence) -> PeerHealth {
    peers.summarize(NOW, None, local).health
}

fn answered_at(at: Time) -> LocalEvidence {
    LocalEvidence {
        last_response: at,
        last_failure: None,
    }
}

#[test]
fn one_source_makes_engine_doubtful() {
    let peers = peer_observations(&[failed("e", "leader", before(100))]);
    assert_eq!(
        health(&peers, LocalEvidence::default()),
        PeerHealth::Doubtful
    );
}

#[test]
fn two_sources_confirm_failure() {
    let peers = peer_observations(&[
        failed("e", "leader", before(100)),
        failed("e", "g1", before(300)),
    ]);
    assert_eq!(
        health(&peers, LocalEvidence::default()),
        PeerHealth::Failing
    );
}

#[test]
fn local_failure_confirms_reported_failure() {
    let peers = peer_observations(&[failed("e", "leader", before(100))]);
    let local = LocalEvidence {
        last_response: before(9_000),
        last_failure: Some(before(2_000)),
    };
    assert_eq!(health(&peers, local), PeerHealth::Failing);
}

#[test]
fn local_failure_alone_does_not_change_peer_health() {
    let local = LocalEvidence {
        last_response: Time(0),
        last_failure: Some(before(10)),
    };
    assert_eq!(
        health(&PeerObservations::default(), local),
        PeerHealth::Sound
    );
}

#[test]
fn later_local_response_overrides_reports() {
    let peers = peer_observations(&[
        failed("e", "leader", before(100)),
        failed("e", "g1", before(300)),
    ]);
    assert_eq!(health(&peers, answered_at(before(50))), PeerHealth::Sound);
    // An earlier response does not: the engine has failed since.
    assert_eq!(
        health(&peers, answered_at(before(500))),
        PeerHealth::Failing
    );
}

#[test]
fn failure_contradicted_by_third_source_is_doubtful() {
    let peers = peer_observations(&[
        failed("e", "g1", before(300)),
        failed("e", "g2", before(200)),
        answered("e", "g3", before(100)),
    ]);
    assert_eq!(
        health(&peers, LocalEvidence::default()),
        PeerHealth::Doubtful
    );
}

#[test]
fn reported_failure_expires() {
    let old = Time(NOW.0 - FAILURE_TTL.0);
    let peers = peer_observations(&[failed("e", "leader", old), failed("e", "g1", old)]);
    assert_eq!(health(&peers, LocalEvidence::default()), PeerHealth::Sound);
}

#[test]
fn older_observation_of_same_source_is_ignored() {
    let mut peers = peer_observations(&[failed("e", "leader", before(500))]);
    assert!(peers.insert(answered("e", "leader", before(100))));
    assert!(!peers.insert(failed("e", "leader", before(400))));
    assert_eq!(health(&peers, LocalEvidence::default()), PeerHealth::Sound);
}

#[test]
fn reports_of_earlier_incarnation_are_ignored() {
    let of_incarnation = |source: &str, started| Observation {
        started: Some(StartedAt(started)),
        ..failed("e", source, before(100))
    };
    let peers = peer_observations(&[of_incarnation("leader", 1), of_incarnation("g1", 1)]);
    let summary =
        |started| peers.summarize(NOW, Some(StartedAt(started)), LocalEvidence::default());
    assert_eq!(summary(1).health, PeerHealth::Failing);
    assert_eq!(summary(2).health, PeerHealth::Sound);
}

#[test]
fn number_of_sources_is_bounded() {
    let mut peers = PeerObservations::default();
    for index in 0..50 {
        peers.insert(failed("e", &format!("g{index}"), before(1_000 - index)));
    }
    assert_eq!(peers.len(), MAX_SOURCES);
}

#[test]
fn load_expires_before_latency() {
    let latency = Some(Duration::from_millis(20));
    let with_latency = |observed_at| Observation {
        mean_latency: latency,
        ..loaded("e", "leader", observed_at, 6, 3)
    };
    let fresh = peer_observations(&[with_latency(before(900))]);
    let old = peer_observations(&[with_latency(before(1_100))]);
    let summary = |peers: &PeerObservations| peers.summarize(NOW, None, LocalEvidence::default());
    assert_eq!(summary(&fresh).load.map(|(_, load)| load.waiting), Some(3));
    assert_eq!(summary(&old).load, None);
    assert_eq!(summary(&old).mean_latency, latency);
}

#[test]
fn source_with_contradicted_reports_is_unreliable() {
    let contradicted = [true, true, false].map(|is_contradicted| FailureReport {
        source: "bad-link",
        is_contradicted,
    });
    let mostly_confirmed = [true, false, false].map(|is_contradicted| FailureReport {
        source: "sound",
        is_contradicted,
    });
    let unreliable = unreliable_sources(contradicted.into_iter().chain(mostly_confirmed));
    assert_eq!(unreliable, BTreeSet::from(["bad-link".to_string()]));
}

#[test]
fn unreliable_source_is_ignored() {
    let mut peers = peer_observations(&[failed("e", "bad-link", before(100))]);
    peers.set_unreliable_sources(&BTreeSet::from(["bad-link".to_string()]));
    assert_eq!(health(&peers, LocalEvidence::default()), PeerHealth::Sound);
    peers.set_unreliable_sources(&BTreeSet::new());
    assert_eq!(
        health(&peers, LocalEvidence::default()),
        PeerHealth::Doubtful
    );
}

#[test]
fn only_prompt_response_contradicts_failure() {
    let contradicted = |response_age_ms| {
        let peers = peer_observations(&[
            failed("e", "g1", before(3_000)),
            answered("e", "g2", before(response_age_ms)),
        ]);
        let reports = peers.failure_reports(NOW, None, LocalEvidence::default());
        reports
            .map(|(_, is_contradicted)| is_contradicted)
            .collect::<Vec<_>>()
    };
    assert_eq!(contradicted(2_900), [true]);
    assert_eq!(contradicted(1_500), [false]);
    assert_eq!(contradicted(3_100), [false]);
}

#[rstest]
#[case::single_engine(1, 1, false)]
#[case::half_failing(15, 30, false)]
#[case::nearly_all_failing(21, 30, true)]
fn link_is_suspect_if_nearly_all_engines_fail(
    #[case] failing: usize,
    #[case] tried: usize,
    #[case] expected: bool,
) {
    assert_eq!(suspects_local_link(failing, tried), expected);
}
