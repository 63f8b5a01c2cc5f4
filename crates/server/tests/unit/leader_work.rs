//! When a leader session stops, and that a new one can always start.

use super::LeaderSession;

#[test]
fn session_stops_on_leadership_loss_or_failed_proposal() {
    let mut session = LeaderSession::default();
    assert!(!session.must_stop(false), "not started");
    session.start();
    assert!(session.is_active() && !session.must_stop(true));
    assert!(session.must_stop(false));
    session.record_failed_proposal();
    assert!(session.must_stop(true));
}

/// Guards against a leader that never serves: the dispatcher's last proposals fail while a
/// machine steps down.
#[test]
fn proposal_failed_after_stop_does_not_affect_the_next_session() {
    let mut session = LeaderSession::default();
    session.start();
    session.stop();
    session.record_failed_proposal();
    assert!(!session.is_active() && !session.must_stop(true));
    assert_eq!(
        format!("{session:?}"),
        format!("{:?}", LeaderSession::default())
    );
    session.start();
    assert!(session.is_active() && !session.must_stop(true));
}

#[test]
fn session_starts_without_failed_proposals() {
    let mut session = LeaderSession::default();
    session.start();
    session.record_failed_proposal();
    session.start();
    assert!(!session.must_stop(true));
}
