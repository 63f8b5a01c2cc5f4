//! Batch jobs of a model are limited to a working set, and the cost of scheduling does not
//! depend on the number of engines outside it.

use peatgrade_fleet::{
    CoordinatorAction, EngineDirectory, OrderOutcome, VersionCoordinator, WorkingSetSize,
};
use peatgrade_ports::{
    EngineRecord, EngineReport, Instance, OrderResponse, StoreEvent, StoreObject,
};
use peatgrade_types::{Duration, Time};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;
use std::collections::{BTreeMap, BTreeSet};

const NOW: Time = Time(1_000_000);
const SLOTS: u32 = 6;
const MODELS: [&str; 6] = ["a", "b", "c", "d", "e", "f"];
const STEP_ITEMS: usize = 192;

fn name(index: usize) -> Instance {
    Instance(format!("e{index:05}"))
}

fn record(index: usize, version: u64) -> EngineRecord {
    EngineRecord {
        instance: name(index),
        service: "llm".into(),
        zone: format!("z{}", index % 3),
        slots: SLOTS,
        models: MODELS.iter().map(|m| (m.to_string(), version)).collect(),
        ..EngineRecord::default()
    }
}

fn directory(engines: usize) -> EngineDirectory {
    let mut directory = EngineDirectory::default();
    let records = (0..engines).map(|index| record(index, 1));
    directory.replace(NOW, records.collect());
    directory
}

fn coordinator() -> VersionCoordinator {
    let mut coordinator = VersionCoordinator::new("me".into(), 7, BTreeMap::new(), 0).in_zone("z1");
    for model in MODELS {
        coordinator.set_demand(model, STEP_ITEMS);
    }
    coordinator
}

/// Engines that receive an order or a report request.
fn contacted_engines(actions: &[CoordinatorAction]) -> BTreeSet<Instance> {
    let engines = actions.iter().map(|action| match action {
        CoordinatorAction::Order(order) => order.instance.clone(),
        CoordinatorAction::Report(instance) => instance.clone(),
    });
    engines.collect()
}

/// Runs the coordinator until engines hold a version of each model, and returns the engines
/// that received an order or a report request. Engines answer immediately.
fn load_version(
    coordinator: &mut VersionCoordinator,
    directory: &mut EngineDirectory,
    from: Time,
    version: u64,
) -> BTreeSet<Instance> {
    for model in MODELS {
        coordinator.set_newest_version(model, version);
    }
    let mut all = BTreeSet::new();
    for poll in 1..=100 {
        let now = from + Duration::from_millis(30 * poll);
        let actions = coordinator.poll(now, directory);
        all.extend(contacted_engines(&actions));
        for action in actions {
            match action {
                CoordinatorAction::Order(order) => {
                    directory.record_version(&order.instance, &order.model, order.version);
                    let done = OrderOutcome::Answered(OrderResponse::Done);
                    coordinator.on_order_outcome(now, &order.instance, done);
                }
                CoordinatorAction::Report(instance) => {
                    let models = directory.get(&instance).unwrap().record.models.clone();
                    let report = EngineReport {
                        models,
                        ..EngineReport::default()
                    };
                    coordinator.on_report(now, &instance, Some(&report), directory);
                }
            }
        }
    }
    all
}

/// Guards against polls that scan all engines for each model.
#[test]
fn poll_cost_does_not_depend_on_engines_outside_working_sets() {
    let scanned = [1_000, 4_000].map(|engines| {
        let (mut directory, mut coordinator) = (directory(engines), coordinator());
        load_version(&mut coordinator, &mut directory, NOW, 2);
        let (_, scanned_to_fill) = directory.working_set_stats();
        // Each set is filled once from the whole list.
        assert_eq!(scanned_to_fill, (MODELS.len() * engines) as u64);
        coordinator.engines_scanned()
    });
    assert!(scanned[0] > 0);
    assert_eq!(scanned[0], scanned[1]);
    let size = WorkingSetSize::for_steps(STEP_ITEMS, SLOTS);
    assert!(scanned[1] <= 100 * (MODELS.len() * size.target) as u64);
}

#[test]
fn only_working_set_engines_are_contacted_and_reused() {
    let (mut directory, mut coordinator) = (directory(4_000), coordinator());
    let mut contacted = BTreeSet::new();
    for version in 2..10 {
        let from = NOW + Duration::from_millis(4_000 * version);
        contacted.extend(load_version(
            &mut coordinator,
            &mut directory,
            from,
            version,
        ));
    }
    let size = WorkingSetSize::for_steps(STEP_ITEMS, SLOTS);
    assert!(
        contacted.len() <= MODELS.len() * size.target,
        "{}",
        contacted.len()
    );
    let zones = contacted
        .iter()
        .map(|engine| &directory.get(engine).unwrap().record.zone);
    assert!(zones.clone().all(|zone| zone == "z1"));
}

/// A step must not wait for engines that are busy with the previous step.
#[test]
fn newest_version_has_slots_for_a_whole_step() {
    let (mut directory, mut coordinator) = (directory(4_000), coordinator());
    load_version(&mut coordinator, &mut directory, NOW, 2);
    for model in MODELS {
        let newest = directory.iter().filter(|state| state.version(model) == 2);
        let slots = newest.count() * SLOTS as usize;
        assert!(slots >= STEP_ITEMS, "{slots} slots for {model}");
    }
}

#[test]
fn sets_are_refilled_only_below_minimum_size() {
    let (mut directory, mut coordinator) = (directory(4_000), coordinator());
    load_version(&mut coordinator, &mut directory, NOW, 2);
    let (_, filled_once) = directory.working_set_stats();
    let members: Vec<Instance> = directory
        .batch_engines("llm", "a")
        .map(|state| state.record.instance.clone())
        .collect();
    let size = WorkingSetSize::for_steps(STEP_ITEMS, SLOTS);
    assert_eq!(members.len(), size.target);
    let remove_engine = |directory: &mut EngineDirectory, engine: &Instance| {
        let gone = StoreEvent {
            name: engine.0.clone(),
            object: None,
        };
        directory.apply(NOW, gone);
    };
    for engine in &members[..size.target - size.min_usable] {
        remove_engine(&mut directory, engine);
    }
    directory.update_working_sets(NOW, "a", STEP_ITEMS, "z1", true);
    assert_eq!(directory.working_set_stats().1, filled_once);
    assert_eq!(directory.batch_engines("llm", "a").count(), size.min_usable);
    remove_engine(&mut directory, &members[size.target - 1]);
    directory.update_working_sets(NOW, "a", STEP_ITEMS, "z1", true);
    assert_eq!(directory.batch_engines("llm", "a").count(), size.target);
}

#[test]
fn draining_and_unreachable_engines_are_replaced() {
    let mut directory = directory(1_000);
    directory.update_working_sets(NOW, "a", STEP_ITEMS, "z1", true);
    let members: Vec<Instance> = directory
        .batch_engines("llm", "a")
        .map(|state| state.record.instance.clone())
        .collect();
    for engine in &members[..20] {
        directory.engine_unreachable(NOW, engine);
    }
    for engine in &members[20..40] {
        let mut draining = directory.get(engine).unwrap().record.clone();
        draining.draining = true;
        let event = StoreEvent {
            name: engine.0.clone(),
            object: Some(StoreObject::Engine(draining)),
        };
        directory.apply(NOW, event);
    }
    directory.update_working_sets(NOW, "a", STEP_ITEMS, "z1", true);
    let renewed: BTreeSet<Instance> = directory
        .batch_engines("llm", "a")
        .map(|state| state.record.instance.clone())
        .collect();
    assert!(members[..40].iter().all(|engine| !renewed.contains(engine)));
    assert!(renewed.len() >= WorkingSetSize::for_steps(STEP_ITEMS, SLOTS).min_usable);
}

/// Scanning all engines for several sets in one poll would delay heartbeats.
#[test]
fn one_set_is_filled_per_poll() {
    let (mut directory, mut coordinator) = (directory(1_000), coordinator());
    let size = WorkingSetSize::for_steps(STEP_ITEMS, SLOTS);
    for poll in 1..=MODELS.len() {
        coordinator.poll(
            NOW + Duration::from_millis(30 * poll as u64),
            &mut directory,
        );
        let sizes = MODELS.map(|model| directory.batch_engines("llm", model).count());
        let filled = sizes.iter().filter(|count| **count == size.target);
        assert_eq!(filled.count(), poll);
        let empty = sizes.iter().filter(|count| **count == 0);
        assert_eq!(empty.count(), MODELS.len() - poll);
    }
}

/// A new leader knows only the list, and must select the engines of its predecessor.
#[test]
fn new_holder_selects_engines_with_newest_versions() {
    let mut directory = EngineDirectory::default();
    let version = |index: usize| if index.is_multiple_of(40) { 7 } else { 1 };
    let records = (0..4_000).map(|index| record(index, version(index)));
    directory.replace(NOW, records.collect());
    directory.update_working_sets(NOW, "a", STEP_ITEMS, "z1", true);
    let engines = directory.batch_engines("llm", "a");
    let holding_newest = engines.filter(|state| state.version("a") == 7);
    assert_eq!(holding_newest.count(), 100);
}

#[rstest]
#[case::small_service(12)]
#[case::one_less_than_twice_the_set(239)]
fn service_without_surplus_has_no_working_set(#[case] engines: usize) {
    let mut directory = directory(engines);
    directory.update_working_sets(NOW, "a", 16, "z1", true);
    assert!(!directory.has_working_set("a"));
    assert_eq!(directory.batch_engines("llm", "a").count(), engines);
}

#[test]
fn working_set_grows_with_steps_until_no_surplus_remains() {
    let mut directory = directory(1_000);
    directory.update_working_sets(NOW, "a", 16, "z1", true);
    let small = directory.batch_engines("llm", "a").count();
    directory.update_working_sets(NOW, "a", 4 * STEP_ITEMS, "z1", true);
    let large = directory.batch_engines("llm", "a").count();
    assert!(large >= 3 * 4 * STEP_ITEMS / SLOTS as usize && large > small);
    directory.update_working_sets(NOW, "a", 100 * STEP_ITEMS, "z1", true);
    assert!(!directory.has_working_set("a"));
}

/// The index must agree with a scan of all engines.
#[rstest]
fn index_follows_every_change_of_the_list(#[values(1, 2, 3, 4)] seed: u64) {
    let mut random = SmallRng::seed_from_u64(seed);
    let mut directory = directory(20);
    for step in 0..400 {
        let index = random.random_range(0..30);
        let mut changed = record(index, random.random_range(1..4));
        changed.slots = random.random_range(0..4);
        changed.draining = random.random_bool(0.3);
        changed.service = ["llm", "app"][random.random_range(0..2)].into();
        if random.random_bool(0.5) {
            changed.models.clear();
        }
        let object = match random.random_range(0..4) {
            0 => None,
            1 => Some(StoreObject::Unreadable {
                name: changed.instance.0.clone(),
                revision: None,
                reason: "other writer".into(),
            }),
            _ => Some(StoreObject::Engine(changed.clone())),
        };
        if random.random_bool(0.1) {
            directory.record_version(&changed.instance, "z", 3);
        }
        let now = NOW + Duration::from_millis(step);
        let event = StoreEvent {
            name: changed.instance.0.clone(),
            object,
        };
        directory.apply(now, event);
        if random.random_bool(0.05) {
            let records = directory.iter().map(|state| state.record.clone());
            let mut records: Vec<EngineRecord> = records.collect();
            records.sort_by(|a, b| a.instance.cmp(&b.instance));
            let records = records.split_off(3.min(records.len()));
            directory.relist(now, now, records, Duration::from_millis(1_000));
        }
        assert_index_matches_scan(&directory);
    }
}

fn assert_index_matches_scan(directory: &EngineDirectory) {
    let mut serving: Vec<_> = directory.iter().filter(|s| !s.record.draining).collect();
    serving.sort_by(|a, b| a.record.instance.cmp(&b.record.instance));
    for service in ["llm", "app"] {
        let expected = serving.iter().filter(|s| s.record.service == service);
        let names: Vec<_> = expected.clone().map(|s| &s.record.instance).collect();
        let found: Vec<_> = directory
            .serving(service)
            .map(|s| &s.record.instance)
            .collect();
        assert_eq!(found, names);
        let slots: u32 = expected.map(|s| s.record.slots.max(1)).sum();
        assert_eq!(directory.sum_of_slots(service, |slots| slots.max(1)), slots);
    }
    let holding = serving.iter().filter(|s| !s.record.models.is_empty());
    let slots: usize = holding.clone().map(|s| s.record.slots as usize).sum();
    assert_eq!(directory.model_engines(), (holding.count(), slots));
    let has_free_slot =
        |s: &&peatgrade_fleet::EngineState| s.stats.in_flight < s.record.slots.max(1);
    assert_eq!(directory.has_free_slot(), serving.iter().any(has_free_slot));
}

/// If too few engines are reachable to fill a set, the list must not be scanned by each poll.
#[test]
fn incomplete_set_is_refilled_only_occasionally() {
    let (mut directory, mut coordinator) = (directory(1_000), coordinator());
    for index in 0..970 {
        directory.engine_unreachable(NOW, &name(index));
    }
    for poll in 1..=100 {
        coordinator.poll(NOW + Duration::from_millis(30 * poll), &mut directory);
    }
    // Twelve timed polls within 3 s, and one for the first fill of each set.
    let (_, scanned) = directory.working_set_stats();
    assert!(scanned <= 30 * 1_000, "{scanned} engines scanned");
}
