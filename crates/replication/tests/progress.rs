//! How much is on its way to one replica.

use peatgrade_replication::{Progress, MAX_IN_FLIGHT_BYTES};
use peatgrade_types::{Duration, Time};

const MESSAGE: usize = 128 * 1024;

fn millis(at: u64) -> Time {
    Time(0) + Duration::from_millis(at)
}

fn filled() -> Progress {
    let mut progress = Progress::new(1, millis(0));
    let mut last = 0;
    while progress.has_capacity() {
        last += 10;
        progress.record_send(millis(0), last, MESSAGE);
    }
    progress
}

#[test]
fn what_was_not_answered_stays_on_its_way() {
    let mut progress = filled();
    assert_eq!(progress.in_flight_bytes(), MAX_IN_FLIGHT_BYTES);
    // One message is answered: there is room for one, not for all.
    progress.record_match(10);
    assert_eq!(progress.in_flight_bytes(), MAX_IN_FLIGHT_BYTES - MESSAGE);
    // Half a message answers for none.
    progress.record_match(15);
    assert_eq!(progress.in_flight_bytes(), MAX_IN_FLIGHT_BYTES - MESSAGE);
}

#[test]
fn a_silent_replica_is_sent_the_same_again_more_and_more_rarely() {
    let mut progress = filled();
    let mut now = 0;
    let mut resent = Vec::new();
    while now < 6_000 {
        now += 10;
        if progress.is_send_timed_out(millis(now)) {
            progress.on_send_timeout(millis(now));
            resent.push(now);
            progress.record_send(millis(now), 10, MESSAGE);
        }
    }
    assert_eq!(resent, [300, 900, 2_100, 3_300, 4_500, 5_700]);
    progress.record_match(10);
    progress.record_send(millis(6_000), 20, MESSAGE);
    assert!(
        progress.is_send_timed_out(millis(6_300)),
        "progress forgives"
    );
}
