//! A member that lacks something is told, and not for ever.

use super::{CrashExchange, MAX_SENDS, RESEND_INTERVAL};
use peatgrade_types::{Duration, Time};

const START: Time = Time(1_000_000);

#[test]
fn a_member_that_differs_is_told_at_once_and_a_few_times_more() {
    let mut exchange = CrashExchange::default();
    let news = Duration::from_millis(50);
    let mut now = START;
    let mut told = 0;
    while now < START + Duration::from_secs(60) {
        told += u32::from(exchange.should_send(now, 1, 2));
        now += news;
    }
    assert_eq!(told, MAX_SENDS);
}

#[test]
fn what_changed_is_told_again_at_once() {
    let mut exchange = CrashExchange::default();
    assert!(exchange.should_send(START, 1, 2));
    assert!(!exchange.should_send(START + Duration(RESEND_INTERVAL.0 - 1), 1, 2));
    assert!(exchange.should_send(START + RESEND_INTERVAL, 1, 2));
    assert!(
        exchange.should_send(START + RESEND_INTERVAL, 1, 3),
        "more is known here"
    );
    assert!(
        exchange.should_send(START + RESEND_INTERVAL, 4, 3),
        "the member changed"
    );
}
