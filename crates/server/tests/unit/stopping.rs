//! When a gateway that stops gives up open connections.

use super::{accept_period, close_timed_out, drain_period};
use peatgrade_types::Duration;

const GRACE: Duration = Duration::from_secs(8);

fn ms(value: u64) -> Duration {
    Duration::from_millis(value)
}

#[test]
fn what_was_read_last_is_answered_while_there_is_time() {
    assert!(!close_timed_out(ms(460), ms(5_900), GRACE, 1));
    assert!(!close_timed_out(ms(1_900), ms(7_840), GRACE, 1));
    assert!(close_timed_out(ms(1_910), ms(7_850), GRACE, 1));
}

#[test]
fn connections_without_a_request_keep_nobody() {
    assert!(!close_timed_out(ms(440), ms(4_000), GRACE, 0));
    assert!(close_timed_out(ms(450), ms(4_000), GRACE, 0));
}

#[test]
fn the_end_comes_before_the_grace_is_over() {
    assert!(accept_period(GRACE) < drain_period(GRACE));
    for grace in [ms(3_000), GRACE, ms(400)] {
        assert!(
            close_timed_out(ms(450), grace.max(ms(450)), grace, 3),
            "{grace:?}"
        );
    }
}
