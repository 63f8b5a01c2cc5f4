//! The work of a model keeps to a set of engines, and what decisions cost does not grow with
//! the engines outside it.

use peatgrade_fleet::{
    CoordinatorAction, EngineDirectory, OrderOutcome, VersionCoordinator, WorkingSetSize,
};
use peatgrade_ports::{EngineRecord, EngineReport, Instance, OrderAnswer, StoreEvent, StoreObject};
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

/// Engines that were ordered or asked.
fn touched(actions: &[CoordinatorAction]) -> BTreeSet<Instance> {
    let engines = actions.iter().map(|action| match action {
        CoordinatorAction::Order(order) => order.instance.clone(),
        CoordinatorAction::Report(instance) => instance.clone(),
    });
    engines.collect()
}

/// Lets a coordinator bring engines that answer at once to a version of each model.
/// Engines that it ordered or asked.
fn name_versions(
    coordinator: &mut VersionCoordinator,
    directory: &mut EngineDirectory,
    from: Time,
    version: u64,
) -> BTreeSet<Instance> {
    for model in MODELS {
        coordinator.set_newest_version(model, version);
    }
    let mut all = BTreeSet::new();
    for look in 1..=100 {
        let now = from + Duration::from_millis(30 * look);
        let actions = coordinator.poll(now, directory);
        all.extend(touched(&actions));
        for action in actions {
            match action {
                CoordinatorAction::Order(order) => {
                    directory.record_version(&order.instance, &order.model, order.version);
                    let done = OrderOutcome::Answered(OrderAnswer::Done);
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

/// Without sets each look went over every engine once a model: 6,000 of 1,000 engines and
/// 24,000 of 4,000. With them over 720 of either.
#[test]
fn looks_cost_the_same_whatever_the_engines_outside() {
    let visits = [1_000, 4_000].map(|engines| {
        let (mut directory, mut coordinator) = (directory(engines), coordinator());
        name_versions(&mut coordinator, &mut directory, NOW, 2);
        let (_, filling) = directory.working_set_stats();
        // Each set is filled once from the whole list.
        assert_eq!(filling, (MODELS.len() * engines) as u64);
        coordinator.engines_scanned()
    });
    assert!(visits[0] > 0);
    assert_eq!(visits[0], visits[1]);
    let size = WorkingSetSize::for_steps(STEP_ITEMS, SLOTS);
    assert!(visits[1] <= 100 * (MODELS.len() * size.target) as u64);
}

#[test]
fn only_engines_of_the_sets_are_ordered_or_asked_and_they_are_used_again() {
    let (mut directory, mut coordinator) = (directory(4_000), coordinator());
    let mut used = BTreeSet::new();
    for version in 2..10 {
        let from = NOW + Duration::from_millis(4_000 * version);
        used.extend(name_versions(
            &mut coordinator,
            &mut directory,
            from,
            version,
        ));
    }
    let size = WorkingSetSize::for_steps(STEP_ITEMS, SLOTS);
    assert!(used.len() <= MODELS.len() * size.target, "{}", used.len());
    let zones = used
        .iter()
        .map(|engine| &directory.get(engine).unwrap().record.zone);
    assert!(zones.clone().all(|zone| zone == "z1"));
}

/// As many engines have the newest version as run a whole step, without waiting for those
/// of the step before.
#[test]
fn a_whole_step_has_places_on_the_newest_version() {
    let (mut directory, mut coordinator) = (directory(4_000), coordinator());
    name_versions(&mut coordinator, &mut directory, NOW, 2);
    for model in MODELS {
        let newest = directory.iter().filter(|state| state.version(model) == 2);
        let places = newest.count() * SLOTS as usize;
        assert!(places >= STEP_ITEMS, "{places} places for {model}");
    }
}

#[test]
fn sets_are_filled_again_after_losses_and_not_for_each() {
    let (mut directory, mut coordinator) = (directory(4_000), coordinator());
    name_versions(&mut coordinator, &mut directory, NOW, 2);
    let (_, filled_once) = directory.working_set_stats();
    let set: Vec<Instance> = directory
        .batch_engines("llm", "a")
        .map(|state| state.record.instance.clone())
        .collect();
    let size = WorkingSetSize::for_steps(STEP_ITEMS, SLOTS);
    assert_eq!(set.len(), size.target);
    let lose = |directory: &mut EngineDirectory, engine: &Instance| {
        let gone = StoreEvent {
            name: engine.0.clone(),
            object: None,
        };
        directory.apply(NOW, gone);
    };
    for engine in &set[..size.target - size.min_usable] {
        lose(&mut directory, engine);
    }
    directory.update_working_sets(NOW, "a", STEP_ITEMS, "z1", true);
    assert_eq!(directory.working_set_stats().1, filled_once);
    assert_eq!(directory.batch_engines("llm", "a").count(), size.min_usable);
    lose(&mut directory, &set[size.target - 1]);
    directory.update_working_sets(NOW, "a", STEP_ITEMS, "z1", true);
    assert_eq!(directory.batch_engines("llm", "a").count(), size.target);
}

#[test]
fn engines_that_leave_or_cannot_be_reached_make_room_for_others() {
    let mut directory = directory(1_000);
    directory.update_working_sets(NOW, "a", STEP_ITEMS, "z1", true);
    let set: Vec<Instance> = directory
        .batch_engines("llm", "a")
        .map(|state| state.record.instance.clone())
        .collect();
    for engine in &set[..20] {
        directory.engine_unreachable(NOW, engine);
    }
    for engine in &set[20..40] {
        let mut leaving = directory.get(engine).unwrap().record.clone();
        leaving.draining = true;
        let event = StoreEvent {
            name: engine.0.clone(),
            object: Some(StoreObject::Engine(leaving)),
        };
        directory.apply(NOW, event);
    }
    directory.update_working_sets(NOW, "a", STEP_ITEMS, "z1", true);
    let now: BTreeSet<Instance> = directory
        .batch_engines("llm", "a")
        .map(|state| state.record.instance.clone())
        .collect();
    assert!(set[..40].iter().all(|engine| !now.contains(engine)));
    assert!(now.len() >= WorkingSetSize::for_steps(STEP_ITEMS, SLOTS).min_usable);
}

/// A look at all engines for each of six sets in one turn keeps heartbeats waiting.
#[test]
fn one_set_is_filled_in_a_look_and_the_others_wait_for_theirs() {
    let (mut directory, mut coordinator) = (directory(1_000), coordinator());
    let size = WorkingSetSize::for_steps(STEP_ITEMS, SLOTS);
    for look in 1..=MODELS.len() {
        coordinator.poll(
            NOW + Duration::from_millis(30 * look as u64),
            &mut directory,
        );
        let sizes = MODELS.map(|model| directory.batch_engines("llm", model).count());
        let filled = sizes.iter().filter(|count| **count == size.target);
        assert_eq!(filled.count(), look);
        let empty = sizes.iter().filter(|count| **count == 0);
        assert_eq!(empty.count(), MODELS.len() - look);
    }
}

/// A new leader knows the list alone: it goes on with the engines that hold new versions.
#[test]
fn a_new_holder_goes_on_with_the_engines_of_the_one_before() {
    let mut directory = EngineDirectory::default();
    let version = |index: usize| if index.is_multiple_of(40) { 7 } else { 1 };
    let records = (0..4_000).map(|index| record(index, version(index)));
    directory.replace(NOW, records.collect());
    directory.update_working_sets(NOW, "a", STEP_ITEMS, "z1", true);
    let working = directory.batch_engines("llm", "a");
    let kept = working.filter(|state| state.version("a") == 7);
    assert_eq!(kept.count(), 100);
}

#[rstest]
#[case::few(12)]
#[case::as_many_as_two_sets_lack(239)]
fn a_service_without_engines_to_spare_has_no_set(#[case] engines: usize) {
    let mut directory = directory(engines);
    directory.update_working_sets(NOW, "a", 16, "z1", true);
    assert!(!directory.has_working_set("a"));
    assert_eq!(directory.batch_engines("llm", "a").count(), engines);
}

#[test]
fn a_set_grows_with_the_steps_and_ends_with_abundance() {
    let mut directory = directory(1_000);
    directory.update_working_sets(NOW, "a", 16, "z1", true);
    let small = directory.batch_engines("llm", "a").count();
    directory.update_working_sets(NOW, "a", 4 * STEP_ITEMS, "z1", true);
    let large = directory.batch_engines("llm", "a").count();
    assert!(large >= 3 * 4 * STEP_ITEMS / SLOTS as usize && large > small);
    directory.update_working_sets(NOW, "a", 100 * STEP_ITEMS, "z1", true);
    assert!(!directory.has_working_set("a"));
}

/// What decisions count without a look over all engines is what such a look would find.
#[rstest]
fn counts_follow_every_change_of_the_list(#[values(1, 2, 3, 4)] seed: u64) {
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
        check(&directory);
    }
}

fn check(directory: &EngineDirectory) {
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
        let places: u32 = expected.map(|s| s.record.slots.max(1)).sum();
        assert_eq!(
            directory.sum_of_slots(service, |slots| slots.max(1)),
            places
        );
    }
    let holding = serving.iter().filter(|s| !s.record.models.is_empty());
    let places: usize = holding.clone().map(|s| s.record.slots as usize).sum();
    assert_eq!(directory.model_engines(), (holding.count(), places));
    let is_free = |s: &&peatgrade_fleet::EngineState| s.stats.in_flight < s.record.slots.max(1);
    assert_eq!(directory.has_free_slot(), serving.iter().any(is_free));
}

/// More engines can't be reached than a set may lack: the list is not gone through again at
/// each look for engines that are not there.
#[test]
fn a_set_that_cannot_be_filled_is_tried_now_and_then() {
    let (mut directory, mut coordinator) = (directory(1_000), coordinator());
    for index in 0..970 {
        directory.engine_unreachable(NOW, &name(index));
    }
    for look in 1..=100 {
        coordinator.poll(NOW + Duration::from_millis(30 * look), &mut directory);
    }
    // Twelve looks in 3 s that time alone makes due, and one for each set at first.
    let (_, visited) = directory.working_set_stats();
    assert!(visited <= 30 * 1_000, "{visited} engines visited");
}
