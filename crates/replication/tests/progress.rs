//! Flow control and resending of entries in flight to a replica.

use peatgrade_replication::{Progress, MAX_IN_FLIGHT_BYTES};
use peatgrade_types::{Duration, Time};

const MESSAGE_BYTES: usize = 128 * 1024;

fn millis(at: u64) -> Time {
    Time(0) + Duration::from_millis(at)
}

fn full_progress() -> Progress {
    let mut progress = Progress::new(1, millis(0));
    let mut last = 0;
    while progress.has_capacity() {
        last += 10;
        progress.record_send(millis(0), last, MESSAGE_BYTES);
    }
    progress
}

#[test]
fn unacknowledged_messages_stay_in_flight() {
    let mut progress = full_progress();
    assert_eq!(progress.in_flight_bytes(), MAX_IN_FLIGHT_BYTES);
    // One acknowledged message frees the capacity of one message.
    progress.record_match(10);
    assert_eq!(
        progress.in_flight_bytes(),
        MAX_IN_FLIGHT_BYTES - MESSAGE_BYTES
    );
    // A partially acknowledged message stays in flight.
    progress.record_match(15);
    assert_eq!(
        progress.in_flight_bytes(),
        MAX_IN_FLIGHT_BYTES - MESSAGE_BYTES
    );
}

#[test]
fn resend_intervals_grow_while_a_replica_is_silent() {
    let mut progress = full_progress();
    let mut now = 0;
    let mut resent = Vec::new();
    while now < 6_000 {
        now += 10;
        if progress.is_send_timed_out(millis(now)) {
            progress.on_send_timeout(millis(now));
            resent.push(now);
            progress.record_send(millis(now), 10, MESSAGE_BYTES);
        }
    }
    assert_eq!(resent, [300, 900, 2_100, 3_300, 4_500, 5_700]);
    progress.record_match(10);
    progress.record_send(millis(6_000), 20, MESSAGE_BYTES);
    assert!(
        progress.is_send_timed_out(millis(6_300)),
        "progress resets the timeout"
    );
}
