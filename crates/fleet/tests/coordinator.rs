//! Orders bring engines to named versions, one holder at a time.

use peatgrade_fleet::{CoordinatorAction, EngineDirectory, OrderOutcome, VersionCoordinator};
use peatgrade_ports::{EngineRecord, EngineReport, Instance, OrderAnswer, VersionOrder};
use peatgrade_types::{Duration, Time};
use rstest::rstest;
use std::collections::{BTreeMap, BTreeSet};

struct Scene {
    now: Time,
    directory: EngineDirectory,
    coordinator: VersionCoordinator,
    /// Version of model `m`, and orders taken, of each engine.
    engines: BTreeMap<String, (u64, u64)>,
    orders: Vec<VersionOrder>,
    /// Loads under way: when they end, engine and version.
    loads: Vec<(Time, String, u64)>,
    /// Loads that may be under way together.
    allowed: usize,
    /// Time that a load takes, in milliseconds.
    load_ms: u64,
}

impl Scene {
    fn new(count: usize, quiet: u64) -> Self {
        Self::loading(count, quiet, 2)
    }

    /// A scene in which `at_once` engines may load together; 0 for a share.
    fn loading(count: usize, quiet: u64, at_once: usize) -> Self {
        let now = Time(1_000_000);
        let mut directory = EngineDirectory::default();
        let names: Vec<String> = (0..count).map(|index| format!("e{index}")).collect();
        let records = names.iter().map(|name| EngineRecord {
            instance: Instance(name.clone()),
            service: "s".into(),
            slots: 4,
            models: BTreeMap::from([("m".to_string(), 1)]),
            ..EngineRecord::default()
        });
        directory.replace(now, records.collect());
        let quiet_until = now + Duration::from_millis(quiet);
        // The last holder has ordered the first two engines.
        let ordered = names.iter().take(2);
        let quiet = ordered.map(|name| (Instance(name.clone()), quiet_until));
        let quiet = quiet.collect();
        Self {
            now,
            directory,
            coordinator: VersionCoordinator::new("me".into(), 7, quiet, at_once),
            engines: names.into_iter().map(|name| (name, (1, 0))).collect(),
            orders: Vec::new(),
            loads: Vec::new(),
            load_ms: 900,
            allowed: if at_once > 0 {
                at_once
            } else {
                (count / 5).max(2)
            },
        }
    }

    /// Lets time pass with engines that answer at once.
    fn run(&mut self, millis: u64) {
        let end = self.now + Duration::from_millis(millis);
        let mut done = std::mem::take(&mut self.loads);
        while self.now < end {
            self.now += Duration::from_millis(10);
            let now = self.now;
            done.retain(|(at, name, version)| {
                if now >= *at {
                    self.engines.get_mut(name).unwrap().0 = *version;
                }
                now < *at
            });
            for action in self.coordinator.poll(now, &mut self.directory) {
                match action {
                    CoordinatorAction::Report(instance) => {
                        let busy = done.iter().any(|(_, name, _)| *name == instance.0);
                        let (version, orders) = self.engines[&instance.0];
                        let report = EngineReport {
                            models: BTreeMap::from([("m".to_string(), version)]),
                            busy,
                            orders,
                            ..EngineReport::default()
                        };
                        self.coordinator.on_report(
                            now,
                            &instance,
                            Some(&report),
                            &mut self.directory,
                        );
                    }
                    CoordinatorAction::Order(order) => {
                        let engine = self.engines.get_mut(&order.instance.0).unwrap();
                        assert_eq!(order.expected, Some(engine.1));
                        engine.1 += 1;
                        let at = now + Duration::from_millis(self.load_ms);
                        done.push((at, order.instance.0.clone(), order.version));
                        let under_way = done.iter().filter(|(end, _, _)| *end > now);
                        let allowed = self.allowed;
                        assert!(under_way.count() <= allowed, "too many loads at once");
                        let started = OrderOutcome::Answered(OrderAnswer::Started);
                        self.coordinator
                            .on_order_outcome(now, &order.instance, started);
                        self.orders.push(order);
                    }
                }
            }
        }
        self.loads = done;
    }

    fn at(&self, version: u64) -> usize {
        let versions = self.engines.values();
        versions.filter(|(has, _)| *has == version).count()
    }
}

#[test]
fn half_of_the_engines_take_each_version() {
    let mut scene = Scene::new(8, 0);
    for version in 2..8 {
        scene.coordinator.set_newest_version("m", version);
        scene.run(4_000);
        assert_eq!(scene.at(version), 4, "version {version}");
        assert_eq!(scene.at(version - 1), 4, "version {version}");
    }
    assert_eq!(scene.orders.len(), 6 * 4);
}

#[test]
fn engines_of_no_use_any_more_catch_up() {
    let mut scene = Scene::new(8, 0);
    scene.coordinator.set_newest_version("m", 2);
    scene.coordinator.set_newest_version("m", 3);
    scene.run(8_000);
    assert_eq!(scene.at(3), 8);
}

#[test]
fn an_engine_that_has_just_loaded_leaves_the_next_version_to_others() {
    let mut scene = Scene::new(8, 0);
    scene.coordinator.set_newest_version("m", 2);
    scene.run(500);
    scene.coordinator.set_newest_version("m", 3);
    scene.run(1_500);
    let mut first_four: Vec<&str> = scene.orders[..4]
        .iter()
        .map(|order| order.instance.0.as_str())
        .collect();
    first_four.sort_unstable();
    first_four.dedup();
    assert_eq!(first_four.len(), 4, "{:?}", scene.orders);
}

#[test]
fn a_small_step_needs_few_engines() {
    let mut scene = Scene::new(40, 0);
    // Half of 32 items on engines of 4 places.
    scene.coordinator.set_demand("m", 32);
    scene.coordinator.set_newest_version("m", 2);
    scene.run(20_000);
    assert_eq!(scene.at(2), 4);
    scene.coordinator.set_newest_version("m", 3);
    scene.run(20_000);
    assert_eq!(scene.at(3), 8 - 4 + 4);
}

#[test]
fn a_new_holder_waits_out_the_lease_where_the_last_one_has_ordered() {
    let mut scene = Scene::new(4, 3_000);
    scene.coordinator.set_newest_version("m", 2);
    scene.coordinator.set_newest_version("m", 3);
    scene.run(2_950);
    let ordered: BTreeSet<&str> = scene.orders.iter().map(|o| o.instance.0.as_str()).collect();
    assert_eq!(ordered, BTreeSet::from(["e2", "e3"]));
    scene.run(2_000);
    let ordered: BTreeSet<&str> = scene.orders.iter().map(|o| o.instance.0.as_str()).collect();
    assert_eq!(ordered, BTreeSet::from(["e0", "e1", "e2", "e3"]));
    assert!(scene.orders.iter().all(|order| order.fence == 7));
}

#[test]
fn an_order_without_an_answer_is_looked_into_before_the_next() {
    let mut scene = Scene::new(1, 0);
    scene.coordinator.set_newest_version("m", 2);
    let instance = Instance("e0".into());
    let mut reports = 0;
    for step in 0..400 {
        scene.now += Duration::from_millis(10);
        for action in scene.coordinator.poll(scene.now, &mut scene.directory) {
            match action {
                CoordinatorAction::Report(_) => {
                    reports += 1;
                    let report = EngineReport {
                        models: BTreeMap::from([("m".to_string(), 1)]),
                        ..EngineReport::default()
                    };
                    let directory = &mut scene.directory;
                    scene
                        .coordinator
                        .on_report(scene.now, &instance, Some(&report), directory);
                }
                CoordinatorAction::Order(order) => {
                    assert!(reports > scene.orders.len(), "no look before order {step}");
                    scene.orders.push(order);
                    scene
                        .coordinator
                        .on_order_outcome(scene.now, &instance, OrderOutcome::Unknown);
                }
            }
        }
    }
    assert!(scene.orders.len() > 2);
}

#[test]
fn a_holder_that_was_fenced_gives_no_more_orders() {
    let mut scene = Scene::new(4, 0);
    scene.coordinator.set_newest_version("m", 2);
    scene.run(20);
    let count = scene.orders.len();
    assert!(count > 0);
    // A later order of this holder is refused.
    scene.coordinator.set_newest_version("m", 3);
    let mut fenced = false;
    for _ in 0..500 {
        scene.now += Duration::from_millis(10);
        // Orders of one batch go out before the first answer comes.
        let before = fenced;
        for action in scene.coordinator.poll(scene.now, &mut scene.directory) {
            match action {
                CoordinatorAction::Order(order) => {
                    assert!(!before, "an order after it was fenced");
                    fenced = true;
                    let answer = OrderOutcome::Answered(OrderAnswer::Fenced);
                    scene
                        .coordinator
                        .on_order_outcome(scene.now, &order.instance, answer);
                }
                CoordinatorAction::Report(instance) => {
                    let report = EngineReport {
                        orders: 1,
                        ..EngineReport::default()
                    };
                    let directory = &mut scene.directory;
                    scene
                        .coordinator
                        .on_report(scene.now, &instance, Some(&report), directory);
                }
            }
        }
    }
    assert!(fenced && scene.coordinator.is_fenced());
}

/// A large fleet that loads two by two is never through before the next version.
#[rstest]
#[case::small(9, 2)]
#[case::large(48, 9)]
fn without_a_number_a_share_of_the_fleet_loads_at_once(
    #[case] count: usize,
    #[case] expected: usize,
) {
    let mut scene = Scene::loading(count, 0, 0);
    scene.coordinator.set_newest_version("m", 2);
    scene.run(600);
    assert_eq!(scene.loads.len(), expected);
}

#[test]
fn one_slow_load_does_not_slow_all_later_ones() {
    let mut scene = Scene::new(8, 0);
    // Nobody can know in advance that these take so long.
    (scene.load_ms, scene.allowed) = (2_400, 4);
    scene.coordinator.set_newest_version("m", 2);
    scene.run(8_000);
    assert_eq!(scene.at(2), 4);
    (scene.load_ms, scene.allowed) = (900, 2);
    let mut spans = Vec::new();
    for version in 3..9 {
        let begun = scene.now;
        scene.coordinator.set_newest_version("m", version);
        while scene.at(version) < 4 {
            scene.run(10);
        }
        spans.push(scene.now.since(begun).as_millis());
        scene.run(1_000);
    }
    // Two rounds of two loads at 900 ms each.
    assert!(spans.last().is_some_and(|span| *span <= 2_200), "{spans:?}");
}

#[test]
fn loads_that_outlast_what_was_expected_keep_their_places() {
    let mut scene = Scene::new(16, 0);
    // Two more may begin before the first look at the first two.
    (scene.load_ms, scene.allowed) = (6_000, 4);
    scene.coordinator.set_newest_version("m", 2);
    scene.run(5_000);
    assert_eq!(scene.orders.len(), 4);
}
