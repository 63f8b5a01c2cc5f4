//! Retransmission of crash records to members that lack them is prompt and bounded.

use super::{CrashExchange, MAX_SENDS, RESEND_INTERVAL};
use peatgrade_types::{Duration, Time};

const START: Time = Time(1_000_000);

#[test]
fn differing_member_is_sent_a_bounded_number_of_reports() {
    let mut exchange = CrashExchange::default();
    let poll_interval = Duration::from_millis(50);
    let mut now = START;
    let mut sent = 0;
    while now < START + Duration::from_secs(60) {
        sent += u32::from(exchange.should_send(now, 1, 2));
        now += poll_interval;
    }
    assert_eq!(sent, MAX_SENDS);
}

#[test]
fn changes_are_sent_without_delay() {
    let mut exchange = CrashExchange::default();
    assert!(exchange.should_send(START, 1, 2));
    assert!(!exchange.should_send(START + Duration(RESEND_INTERVAL.0 - 1), 1, 2));
    assert!(exchange.should_send(START + RESEND_INTERVAL, 1, 2));
    assert!(
        exchange.should_send(START + RESEND_INTERVAL, 1, 3),
        "local records changed"
    );
    assert!(
        exchange.should_send(START + RESEND_INTERVAL, 4, 3),
        "the member's records changed"
    );
}
