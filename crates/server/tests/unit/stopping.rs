//! When a stopping gateway closes connections that are still open.

use super::{accept_period, close_timed_out, drain_period};
use peatgrade_types::Duration;

const GRACE: Duration = Duration::from_secs(8);

fn ms(value: u64) -> Duration {
    Duration::from_millis(value)
}

#[test]
fn requests_in_flight_are_answered_within_the_grace_period() {
    assert!(!close_timed_out(ms(460), ms(5_900), GRACE, 1));
    assert!(!close_timed_out(ms(1_900), ms(7_840), GRACE, 1));
    assert!(close_timed_out(ms(1_910), ms(7_850), GRACE, 1));
}

#[test]
fn idle_connections_do_not_delay_the_stop() {
    assert!(!close_timed_out(ms(440), ms(4_000), GRACE, 0));
    assert!(close_timed_out(ms(450), ms(4_000), GRACE, 0));
}

#[test]
fn connections_are_closed_before_the_grace_period_ends() {
    assert!(accept_period(GRACE) < drain_period(GRACE));
    for grace in [ms(3_000), GRACE, ms(400)] {
        assert!(
            close_timed_out(ms(450), grace.max(ms(450)), grace, 3),
            "{grace:?}"
        );
    }
}
