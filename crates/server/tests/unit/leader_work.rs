//! When the leader's work ends, and that it can always begin again.

use super::LeaderWork;

#[test]
fn it_ends_with_the_lead_or_when_a_proposal_failed() {
    let mut work = LeaderWork::default();
    assert!(!work.must_end(false), "it has not begun");
    work.begin();
    assert!(work.is_under_way() && !work.must_end(true));
    assert!(work.must_end(false));
    work.proposal_failed();
    assert!(work.must_end(true));
}

/// The dispatcher's last proposals fail as a machine stops to lead.
#[test]
fn proposals_that_fail_as_it_ends_keep_no_later_lead_from_working() {
    let mut work = LeaderWork::default();
    work.begin();
    work.end();
    work.proposal_failed();
    assert!(!work.is_under_way() && !work.must_end(true));
    assert_eq!(format!("{work:?}"), format!("{:?}", LeaderWork::default()));
    work.begin();
    assert!(work.is_under_way() && !work.must_end(true));
}

#[test]
fn a_lead_begins_without_failed_proposals() {
    let mut work = LeaderWork::default();
    work.begin();
    work.proposal_failed();
    work.begin();
    assert!(!work.must_end(true));
}
