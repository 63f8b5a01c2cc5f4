//! Orders to an engine that restarts under the same name.

use peatgrade_fleet::{CoordinatorAction, EngineDirectory, OrderOutcome, VersionCoordinator};
use peatgrade_ports::{
    EngineRecord, EngineReport, EngineResponseHead, Instance, OrderResponse, StartedAt, StoreEvent,
    StoreObject, VersionOrder,
};
use peatgrade_types::{Duration, Time};
use std::collections::BTreeMap;

fn name() -> Instance {
    Instance("a".into())
}

fn record(started: u64) -> EngineRecord {
    EngineRecord {
        instance: name(),
        started: Some(StartedAt(started)),
        service: "s".into(),
        slots: 4,
        models: BTreeMap::from([("m".to_string(), 1)]),
        ..EngineRecord::default()
    }
}

fn report(started: u64, version: u64, orders: u64) -> EngineReport {
    EngineReport {
        started: Some(StartedAt(started)),
        models: BTreeMap::from([("m".to_string(), version)]),
        orders,
        ..EngineReport::default()
    }
}

struct Harness {
    now: Time,
    directory: EngineDirectory,
    coordinator: VersionCoordinator,
}

impl Harness {
    /// An engine that has accepted four orders and is loading for the last one.
    fn loading() -> Self {
        let now = Time(1_000_000);
        let mut directory = EngineDirectory::default();
        directory.replace(now, vec![record(5)]);
        let mut coordinator = VersionCoordinator::new("me".into(), 7, BTreeMap::new(), 2);
        coordinator.set_newest_version("m", 2);
        let mut harness = Self {
            now,
            directory,
            coordinator,
        };
        assert_eq!(harness.poll(), [CoordinatorAction::Report(name())]);
        harness.report(&report(5, 1, 3));
        let order = harness.order();
        assert_eq!(order.expected, Some(3));
        let accepted = OrderOutcome::Answered(OrderResponse::Started);
        harness
            .coordinator
            .on_order_outcome(harness.now, &name(), accepted);
        assert_eq!(harness.coordinator.loading_count(), 1);
        harness
    }

    fn poll(&mut self) -> Vec<CoordinatorAction> {
        self.now += Duration::from_millis(20);
        self.coordinator.poll(self.now, &mut self.directory)
    }

    fn order(&mut self) -> VersionOrder {
        match &self.poll()[..] {
            [CoordinatorAction::Order(order)] => order.clone(),
            other => panic!("{other:?}"),
        }
    }

    fn report(&mut self, report: &EngineReport) {
        let (now, directory) = (self.now, &mut self.directory);
        self.coordinator
            .on_report(now, &name(), Some(report), directory);
    }

    fn apply_record(&mut self, started: u64) {
        let event = StoreEvent {
            name: "a".into(),
            object: Some(StoreObject::Engine(record(started))),
        };
        self.directory.apply(self.now, event);
    }
}

#[test]
fn restarted_engine_reports_before_next_order() {
    let mut harness = Harness::loading();
    harness.apply_record(6);
    assert_eq!(harness.poll(), [CoordinatorAction::Report(name())]);
    assert_eq!(
        harness.coordinator.loading_count(),
        0,
        "the load ended with the incarnation"
    );
    assert!(harness
        .directory
        .get(&name())
        .unwrap()
        .loading_models
        .is_empty());
    harness.report(&report(6, 1, 0));
    assert_eq!(harness.order().expected, Some(0));
}

/// Without the store, a restart is known only from the report requested during a load.
#[test]
fn report_reveals_restart() {
    let mut harness = Harness::loading();
    let incarnation = harness.directory.incarnation(&name()).unwrap();
    harness.now += Duration::from_millis(1_100);
    assert_eq!(harness.poll(), [CoordinatorAction::Report(name())]);
    harness.report(&report(6, 1, 0));
    assert!(harness.directory.has_ended(&name(), incarnation));
    assert_eq!(harness.coordinator.loading_count(), 0);
    assert_eq!(harness.order().expected, Some(0));
}

#[test]
fn report_of_earlier_incarnation_is_ignored() {
    let mut harness = Harness::loading();
    harness.apply_record(6);
    assert_eq!(harness.poll(), [CoordinatorAction::Report(name())]);
    harness.report(&report(5, 2, 4));
    assert_eq!(harness.poll(), [], "the order count is outdated");
    assert_eq!(harness.directory.get(&name()).unwrap().version("m"), 1);
    harness.now += Duration::from_millis(500);
    assert_eq!(harness.poll(), [CoordinatorAction::Report(name())]);
}

#[test]
fn answer_to_order_of_earlier_incarnation_is_ignored() {
    let mut harness = Harness::loading();
    harness.apply_record(6);
    harness.poll();
    let accepted = OrderOutcome::Answered(OrderResponse::Started);
    harness
        .coordinator
        .on_order_outcome(harness.now, &name(), accepted);
    assert_eq!(harness.coordinator.loading_count(), 0);
    harness.report(&report(6, 1, 0));
    assert_eq!(harness.order().expected, Some(0));
}

#[test]
fn absent_engine_receives_no_orders() {
    let mut harness = Harness::loading();
    harness.apply_record(6);
    let incarnation = harness.directory.incarnation(&name()).unwrap();
    let head = EngineResponseHead {
        status: 421,
        not_run: true,
        reads_as_misdirected: true,
        ..EngineResponseHead::default()
    };
    let (now, directory) = (harness.now, &mut harness.directory);
    directory.record_response_head(now, &name(), incarnation, &head, None);
    assert_eq!(harness.poll(), []);
    harness.now += Duration::from_millis(500);
    assert_eq!(harness.poll(), [CoordinatorAction::Report(name())]);
}

/// A delayed order of the previous holder may still arrive and be accepted by the restarted
/// engine, which has the same name.
#[test]
fn restart_does_not_shorten_wait_for_previous_lease() {
    let now = Time(1_000_000);
    let mut directory = EngineDirectory::default();
    directory.replace(now, vec![record(5)]);
    let until = now + Duration::from_millis(3_000);
    let not_before = BTreeMap::from([(name(), until)]);
    let mut coordinator = VersionCoordinator::new("me".into(), 7, not_before, 2);
    coordinator.set_newest_version("m", 2);
    let mut harness = Harness {
        now,
        directory,
        coordinator,
    };
    harness.apply_record(6);
    assert_eq!(harness.poll(), [CoordinatorAction::Report(name())]);
    harness.report(&report(6, 1, 0));
    assert_eq!(harness.poll(), []);
    harness.now = until;
    assert_eq!(harness.order().expected, Some(0));
}
