//! What a broken run shows, and what machines learn from each other.

use peatgrade_ports::Instance;
use peatgrade_quarantine::{
    Fingerprint, Quarantine, RetryScope, Verdict, MAX_CRASHES_PER_REQUEST, MAX_TRACKED_REQUESTS,
    RECORD_TTL,
};
use peatgrade_schema::encode;
use peatgrade_types::{Duration, Time};

const REQUEST: Fingerprint = Fingerprint(1);
const START: Time = Time(7_200_000_000);

fn engine(name: &str) -> Instance {
    Instance(name.into())
}

fn after(millis: u64) -> Time {
    START + Duration::from_millis(millis)
}

fn crash(quarantine: &mut Quarantine, at: Time, name: &str) {
    quarantine.record_interrupted_run(at, &engine(name), REQUEST, RetryScope::AnyNode);
    assert_eq!(quarantine.take_due_probes(at), [engine(name)]);
    quarantine.record_engine_crash(at, &engine(name), None);
}

#[test]
fn a_broken_run_on_an_engine_that_answers_is_no_crash() {
    let mut quarantine = Quarantine::default();
    for number in 0..5 {
        let name = format!("e{number}");
        quarantine.record_interrupted_run(START, &engine(&name), REQUEST, RetryScope::AnyNode);
        assert_eq!(quarantine.take_due_probes(START).len(), 1);
        quarantine.record_engine_alive(&engine(&name));
        // That it ends later has nothing to do with it.
        quarantine.record_engine_crash(after(50), &engine(&name), None);
    }
    assert!(quarantine.is_empty());
    assert!(!quarantine.take_changed());
}

#[test]
fn an_engine_that_says_nothing_is_asked_a_few_times() {
    let mut quarantine = Quarantine::default();
    quarantine.record_interrupted_run(START, &engine("e"), REQUEST, RetryScope::AnyNode);
    let asked = (0..100).map(|tick| quarantine.take_due_probes(after(tick * 50)).len());
    assert_eq!(asked.sum::<usize>(), 4);
    quarantine.record_engine_crash(after(6_000), &engine("e"), None);
    assert!(
        quarantine.is_empty(),
        "it is too late to tell why it is gone"
    );
}

#[test]
fn what_many_ask_for_is_not_blamed() {
    let mut quarantine = Quarantine::default();
    for second in 0..6 {
        quarantine.record_completed_run(after(second * 1_000), REQUEST);
        crash(
            &mut quarantine,
            after(second * 1_000 + 500),
            &format!("e{second}"),
        );
    }
    assert_eq!(quarantine.verdict(REQUEST), Verdict::Clear);
}

/// Two gateways saw one crash each and a third one saw another: only together they know
/// enough. They hear of each other through a member of the group, in any order.
#[test]
fn machines_add_up_what_each_has_seen() {
    let mut member = Quarantine::default();
    let mut gateways = vec![Quarantine::default(); 3];
    for (number, gateway) in gateways.iter_mut().enumerate() {
        crash(gateway, START, &format!("e{number}"));
        assert!(gateway.take_changed());
        assert!(member.merge(after(100), &gateway.records(after(100)), "gateway"));
        assert!(!member.merge(after(200), &gateway.records(after(200)), "gateway"));
    }
    for gateway in &mut gateways {
        gateway.merge(after(300), &member.records(after(300)), "member");
        assert_eq!(gateway.digest(), member.digest());
        assert_eq!(gateway.verdict(REQUEST), Verdict::Convicted { crashes: 3 });
        assert!(!gateway.take_changed(), "it is news to nobody");
    }
}

#[test]
fn that_it_ran_to_its_end_elsewhere_clears_it_here() {
    let (mut here, mut there) = (Quarantine::default(), Quarantine::default());
    crash(&mut here, START, "e1");
    crash(&mut here, after(10), "e2");
    there.merge(after(20), &here.records(after(20)), "here");
    there.record_completed_run(after(500), REQUEST);
    assert!(there.take_changed());
    here.merge(after(600), &there.records(after(600)), "there");
    assert_eq!(here.verdict(REQUEST), Verdict::Clear);
    // Old news that are still on their way change nothing.
    let mut old = Quarantine::default();
    crash(&mut old, START, "e1");
    here.merge(after(700), &old.records(after(700)), "old");
    assert_eq!(here.crash_count(REQUEST), 0);
}

#[test]
fn what_is_told_again_does_not_live_longer() {
    let mut quarantine = Quarantine::default();
    crash(&mut quarantine, START, "e1");
    let mut other = Quarantine::default();
    let late = START + Duration(RECORD_TTL.0 - 1_000_000);
    other.merge(late, &quarantine.records(late), "first");
    assert_eq!(other.crash_count(REQUEST), 1);
    other.evict_expired(START + RECORD_TTL);
    assert_eq!(other.crash_count(REQUEST), 0);
    let too_late = START + RECORD_TTL;
    other.merge(too_late, &quarantine.records(too_late), "first");
    assert_eq!(other.crash_count(REQUEST), 0);
}

/// Ten times as many requests as are kept, on as many engines, each of them known to ten
/// machines: memory and what one message carries stay bounded.
#[test]
fn a_flood_stays_within_bounds_in_bytes() {
    let mut quarantine = Quarantine::default();
    for number in 0..10 * MAX_TRACKED_REQUESTS {
        let request = Fingerprint(number as u128);
        for crash in 0..2 * MAX_CRASHES_PER_REQUEST {
            let engine = engine(&format!("engine-{number}-{crash}"));
            quarantine.record_interrupted_run(START, &engine, request, RetryScope::AnyNode);
            quarantine.record_engine_crash(START, &engine, None);
        }
    }
    let records = quarantine.records(after(1));
    assert_eq!(records.len(), MAX_TRACKED_REQUESTS);
    let bytes: usize = records.iter().map(|record| encode(record).len()).sum();
    assert!(bytes <= 128 * 1024, "{bytes} bytes");
}

#[test]
fn engines_that_are_checked_at_once_are_bounded() {
    let mut quarantine = Quarantine::default();
    for number in 0..10_000 {
        let engine = engine(&format!("e{number}"));
        quarantine.record_interrupted_run(START, &engine, REQUEST, RetryScope::AnyNode);
    }
    assert_eq!(quarantine.take_due_probes(START).len(), 128);
}
