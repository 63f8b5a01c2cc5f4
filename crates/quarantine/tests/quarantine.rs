//! Evidence from interrupted runs, and the exchange of records between machines.

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
fn an_interrupted_run_on_a_live_engine_is_not_a_crash() {
    let mut quarantine = Quarantine::default();
    for number in 0..5 {
        let name = format!("e{number}");
        quarantine.record_interrupted_run(START, &engine(&name), REQUEST, RetryScope::AnyNode);
        assert_eq!(quarantine.take_due_probes(START).len(), 1);
        quarantine.record_engine_alive(&engine(&name));
        // A later crash is not attributed to the interrupted run.
        quarantine.record_engine_crash(after(50), &engine(&name), None);
    }
    assert!(quarantine.is_empty());
    assert!(!quarantine.take_changed());
}

#[test]
fn the_number_of_probes_per_engine_is_bounded() {
    let mut quarantine = Quarantine::default();
    quarantine.record_interrupted_run(START, &engine("e"), REQUEST, RetryScope::AnyNode);
    let probes = (0..100).map(|tick| quarantine.take_due_probes(after(tick * 50)).len());
    assert_eq!(probes.sum::<usize>(), 4);
    quarantine.record_engine_crash(after(6_000), &engine("e"), None);
    assert!(
        quarantine.is_empty(),
        "a late crash is not attributed to the run"
    );
}

#[test]
fn a_recently_completed_request_is_not_blamed() {
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

/// Three gateways observe one crash each. They must reach the same conviction after exchanging
/// records through a storage machine.
#[test]
fn crashes_seen_by_several_machines_accumulate() {
    let mut storage = Quarantine::default();
    let mut gateways = vec![Quarantine::default(); 3];
    for (number, gateway) in gateways.iter_mut().enumerate() {
        crash(gateway, START, &format!("e{number}"));
        assert!(gateway.take_changed());
        assert!(storage.merge(after(100), &gateway.records(after(100)), "gateway"));
        assert!(!storage.merge(after(200), &gateway.records(after(200)), "gateway"));
    }
    for gateway in &mut gateways {
        gateway.merge(after(300), &storage.records(after(300)), "storage");
        assert_eq!(gateway.digest(), storage.digest());
        assert_eq!(gateway.verdict(REQUEST), Verdict::Convicted { crashes: 3 });
        assert!(
            !gateway.take_changed(),
            "merged records are not local changes"
        );
    }
}

#[test]
fn a_completed_run_on_another_machine_clears_a_request() {
    let (mut here, mut there) = (Quarantine::default(), Quarantine::default());
    crash(&mut here, START, "e1");
    crash(&mut here, after(10), "e2");
    there.merge(after(20), &here.records(after(20)), "here");
    there.record_completed_run(after(500), REQUEST);
    assert!(there.take_changed());
    here.merge(after(600), &there.records(after(600)), "there");
    assert_eq!(here.verdict(REQUEST), Verdict::Clear);
    // Records from before the completion that arrive late have no effect.
    let mut old = Quarantine::default();
    crash(&mut old, START, "e1");
    here.merge(after(700), &old.records(after(700)), "old");
    assert_eq!(here.crash_count(REQUEST), 0);
}

#[test]
fn merged_records_keep_their_age() {
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

/// Guards against unbounded memory and message size when many requests crash engines.
#[test]
fn the_encoded_size_of_all_records_is_bounded() {
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
fn the_number_of_probed_engines_is_bounded() {
    let mut quarantine = Quarantine::default();
    for number in 0..10_000 {
        let engine = engine(&format!("e{number}"));
        quarantine.record_interrupted_run(START, &engine, REQUEST, RetryScope::AnyNode);
    }
    assert_eq!(quarantine.take_due_probes(START).len(), 128);
}
