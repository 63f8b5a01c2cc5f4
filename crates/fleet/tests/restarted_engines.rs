//! Orders to an engine that starts again under its name.

use peatgrade_fleet::{CoordinatorAction, EngineDirectory, OrderOutcome, VersionCoordinator};
use peatgrade_ports::{
    AnswerHead, EngineRecord, EngineReport, Instance, OrderAnswer, StartedAt, StoreEvent,
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

struct Scene {
    now: Time,
    directory: EngineDirectory,
    coordinator: VersionCoordinator,
}

impl Scene {
    /// An engine that has taken four orders, the last of which is under way.
    fn loading() -> Self {
        let now = Time(1_000_000);
        let mut directory = EngineDirectory::default();
        directory.replace(now, vec![record(5)]);
        let mut coordinator = VersionCoordinator::new("me".into(), 7, BTreeMap::new(), 2);
        coordinator.set_newest_version("m", 2);
        let mut scene = Self {
            now,
            directory,
            coordinator,
        };
        assert_eq!(scene.poll(), [CoordinatorAction::Report(name())]);
        scene.report(&report(5, 1, 3));
        let order = scene.order();
        assert_eq!(order.expected, Some(3));
        let taken = OrderOutcome::Answered(OrderAnswer::Started);
        scene
            .coordinator
            .on_order_outcome(scene.now, &name(), taken);
        assert_eq!(scene.coordinator.loading_count(), 1);
        scene
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

    fn list(&mut self, started: u64) {
        let event = StoreEvent {
            name: "a".into(),
            object: Some(StoreObject::Engine(record(started))),
        };
        self.directory.apply(self.now, event);
    }
}

#[test]
fn an_engine_that_starts_again_is_asked_for_its_count_before_an_order() {
    let mut scene = Scene::loading();
    scene.list(6);
    assert_eq!(scene.poll(), [CoordinatorAction::Report(name())]);
    assert_eq!(
        scene.coordinator.loading_count(),
        0,
        "that load ended with it"
    );
    assert!(scene
        .directory
        .get(&name())
        .unwrap()
        .loading_models
        .is_empty());
    scene.report(&report(6, 1, 0));
    assert_eq!(scene.order().expected, Some(0));
}

/// Cut off from the store, an engine is asked how its load goes, and has started again.
#[test]
fn a_report_of_another_start_is_news() {
    let mut scene = Scene::loading();
    let life = scene.directory.incarnation(&name()).unwrap();
    scene.now += Duration::from_millis(1_100);
    assert_eq!(scene.poll(), [CoordinatorAction::Report(name())]);
    scene.report(&report(6, 1, 0));
    assert!(scene.directory.has_ended(&name(), life));
    assert_eq!(scene.coordinator.loading_count(), 0);
    assert_eq!(scene.order().expected, Some(0));
}

#[test]
fn a_report_of_an_earlier_life_says_nothing_of_the_count() {
    let mut scene = Scene::loading();
    scene.list(6);
    assert_eq!(scene.poll(), [CoordinatorAction::Report(name())]);
    scene.report(&report(5, 2, 4));
    assert_eq!(scene.poll(), [], "not ordered by a count that is over");
    assert_eq!(scene.directory.get(&name()).unwrap().version("m"), 1);
    scene.now += Duration::from_millis(500);
    assert_eq!(scene.poll(), [CoordinatorAction::Report(name())]);
}

#[test]
fn the_answer_to_an_order_of_an_earlier_life_is_no_progress() {
    let mut scene = Scene::loading();
    scene.list(6);
    scene.poll();
    let taken = OrderOutcome::Answered(OrderAnswer::Started);
    scene
        .coordinator
        .on_order_outcome(scene.now, &name(), taken);
    assert_eq!(scene.coordinator.loading_count(), 0);
    scene.report(&report(6, 1, 0));
    assert_eq!(scene.order().expected, Some(0));
}

#[test]
fn an_engine_that_is_not_at_its_address_is_ordered_nothing() {
    let mut scene = Scene::loading();
    scene.list(6);
    let life = scene.directory.incarnation(&name()).unwrap();
    let head = AnswerHead {
        status: 421,
        misdirected: true,
        ..AnswerHead::default()
    };
    let (now, directory) = (scene.now, &mut scene.directory);
    directory.record_response_head(now, &name(), life, &head, None);
    assert_eq!(scene.poll(), []);
    scene.now += Duration::from_millis(500);
    assert_eq!(scene.poll(), [CoordinatorAction::Report(name())]);
}

/// An order of the holder before, sent within its lease, may still come and names the
/// engine by the name that its next life has too.
#[test]
fn a_new_start_does_not_shorten_the_wait_for_another_holders_lease() {
    let now = Time(1_000_000);
    let mut directory = EngineDirectory::default();
    directory.replace(now, vec![record(5)]);
    let until = now + Duration::from_millis(3_000);
    let quiet = BTreeMap::from([(name(), until)]);
    let mut coordinator = VersionCoordinator::new("me".into(), 7, quiet, 2);
    coordinator.set_newest_version("m", 2);
    let mut scene = Scene {
        now,
        directory,
        coordinator,
    };
    scene.list(6);
    assert_eq!(scene.poll(), [CoordinatorAction::Report(name())]);
    scene.report(&report(6, 1, 0));
    assert_eq!(scene.poll(), []);
    scene.now = until;
    assert_eq!(scene.order().expected, Some(0));
}
