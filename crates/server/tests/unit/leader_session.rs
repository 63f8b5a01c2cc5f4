//! When the leader's work ends, and that it can always begin again.

use super::LeaderSession;

#[test]
fn it_ends_with_the_lead_or_when_a_proposal_failed() {
    let mut session = LeaderSession::default();
    assert!(!session.must_stop(false), "it has not begun");
    session.start();
    assert!(session.is_active() && !session.must_stop(true));
    assert!(session.must_stop(false));
    session.record_failed_proposal();
    assert!(session.must_stop(true));
}

/// The dispatcher's last proposals fail as a machine stops to lead.
#[test]
fn proposals_that_fail_as_it_ends_keep_no_later_lead_from_working() {
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
fn a_lead_begins_without_failed_proposals() {
    let mut session = LeaderSession::default();
    session.start();
    session.record_failed_proposal();
    session.start();
    assert!(!session.must_stop(true));
}
