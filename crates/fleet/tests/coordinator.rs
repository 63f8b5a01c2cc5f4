//! The coordinator brings engines to published versions by orders of one holder at a time.

use peatgrade_fleet::{CoordinatorAction, EngineDirectory, OrderOutcome, VersionCoordinator};
use peatgrade_ports::{EngineRecord, EngineReport, Instance, OrderResponse, VersionOrder};
use peatgrade_types::{Duration, Time};
use rstest::rstest;
use std::collections::{BTreeMap, BTreeSet};

struct Harness {
    now: Time,
    directory: EngineDirectory,
    coordinator: VersionCoordinator,
    /// Version of model `m` and number of accepted orders of each engine.
    engines: BTreeMap<String, (u64, u64)>,
    orders: Vec<VersionOrder>,
    /// Loads in progress: end, engine and version.
    loads: Vec<(Time, String, u64)>,
    /// Maximum number of concurrent loads.
    max_loads: usize,
    /// Duration of a load.
    load_ms: u64,
}

impl Harness {
    fn new(count: usize, lease_ms: u64) -> Self {
        Self::with_load_limit(count, lease_ms, 2)
    }

    /// A harness with a limit of concurrent loads; 0 for a share of the engines. The lease of
    /// another holder that sent orders to two engines ends after `lease_ms`.
    fn with_load_limit(count: usize, lease_ms: u64, max_concurrent_loads: usize) -> Self {
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
        let lease_end = now + Duration::from_millis(lease_ms);
        // The previous holder sent orders to the first two engines.
        let ordered = names.iter().take(2);
        let not_before = ordered.map(|name| (Instance(name.clone()), lease_end));
        let not_before = not_before.collect();
        Self {
            now,
            directory,
            coordinator: VersionCoordinator::new("me".into(), 7, not_before, max_concurrent_loads),
            engines: names.into_iter().map(|name| (name, (1, 0))).collect(),
            orders: Vec::new(),
            loads: Vec::new(),
            load_ms: 900,
            max_loads: if max_concurrent_loads > 0 {
                max_concurrent_loads
            } else {
                (count / 5).max(2)
            },
        }
    }

    /// Advances time; engines answer immediately.
    fn run(&mut self, millis: u64) {
        let end = self.now + Duration::from_millis(millis);
        let mut loads = std::mem::take(&mut self.loads);
        while self.now < end {
            self.now += Duration::from_millis(10);
            let now = self.now;
            loads.retain(|(end, name, version)| {
                if now >= *end {
                    self.engines.get_mut(name).unwrap().0 = *version;
                }
                now < *end
            });
            for action in self.coordinator.poll(now, &mut self.directory) {
                match action {
                    CoordinatorAction::Report(instance) => {
                        let busy = loads.iter().any(|(_, name, _)| *name == instance.0);
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
                        let end = now + Duration::from_millis(self.load_ms);
                        loads.push((end, order.instance.0.clone(), order.version));
                        let in_progress = loads.iter().filter(|(end, _, _)| *end > now);
                        let max_loads = self.max_loads;
                        assert!(
                            in_progress.count() <= max_loads,
                            "more than {max_loads} concurrent loads"
                        );
                        let started = OrderOutcome::Answered(OrderResponse::Started);
                        self.coordinator
                            .on_order_outcome(now, &order.instance, started);
                        self.orders.push(order);
                    }
                }
            }
        }
        self.loads = loads;
    }

    /// Number of engines that hold a version.
    fn engines_at(&self, version: u64) -> usize {
        let versions = self.engines.values();
        versions.filter(|(held, _)| *held == version).count()
    }
}

#[test]
fn half_of_engines_load_each_version() {
    let mut harness = Harness::new(8, 0);
    for version in 2..8 {
        harness.coordinator.set_newest_version("m", version);
        harness.run(4_000);
        assert_eq!(harness.engines_at(version), 4, "version {version}");
        assert_eq!(harness.engines_at(version - 1), 4, "version {version}");
    }
    assert_eq!(harness.orders.len(), 6 * 4);
}

#[test]
fn outdated_engines_load_newest_version_when_capacity_remains() {
    let mut harness = Harness::new(8, 0);
    harness.coordinator.set_newest_version("m", 2);
    harness.coordinator.set_newest_version("m", 3);
    harness.run(8_000);
    assert_eq!(harness.engines_at(3), 8);
}

#[test]
fn next_version_is_loaded_by_other_engines() {
    let mut harness = Harness::new(8, 0);
    harness.coordinator.set_newest_version("m", 2);
    harness.run(500);
    harness.coordinator.set_newest_version("m", 3);
    harness.run(1_500);
    let mut first_four: Vec<&str> = harness.orders[..4]
        .iter()
        .map(|order| order.instance.0.as_str())
        .collect();
    first_four.sort_unstable();
    first_four.dedup();
    assert_eq!(first_four.len(), 4, "{:?}", harness.orders);
}

#[test]
fn small_step_loads_few_engines() {
    let mut harness = Harness::new(40, 0);
    // Half of 32 items on engines with 4 slots.
    harness.coordinator.set_demand("m", 32);
    harness.coordinator.set_newest_version("m", 2);
    harness.run(20_000);
    assert_eq!(harness.engines_at(2), 4);
    harness.coordinator.set_newest_version("m", 3);
    harness.run(20_000);
    assert_eq!(harness.engines_at(3), 8 - 4 + 4);
}

/// Guards against items that wait although engines are idle: those hold older versions, and the
/// newest job alone needs no more engines.
#[test]
fn items_that_wait_beside_idle_engines_raise_the_number_of_loads() {
    let mut harness = Harness::new(12, 0);
    harness.coordinator.set_demand("m", 16);
    harness.coordinator.set_newest_version("m", 2);
    harness.coordinator.set_newest_version("m", 3);
    harness.run(20_000);
    // Half of 16 items on engines with 4 slots, and as many outdated ones again.
    assert_eq!(harness.engines_at(3), 4);
    let backlog = BTreeMap::from([("m".to_string(), 100)]);
    harness.coordinator.set_backlog(&backlog);
    harness.run(20_000);
    assert_eq!(harness.engines_at(3), 12);
}

#[test]
fn new_holder_waits_for_lease_of_previous_orders() {
    let mut harness = Harness::new(4, 3_000);
    harness.coordinator.set_newest_version("m", 2);
    harness.coordinator.set_newest_version("m", 3);
    harness.run(2_950);
    let ordered: BTreeSet<&str> = harness
        .orders
        .iter()
        .map(|o| o.instance.0.as_str())
        .collect();
    assert_eq!(ordered, BTreeSet::from(["e2", "e3"]));
    harness.run(2_000);
    let ordered: BTreeSet<&str> = harness
        .orders
        .iter()
        .map(|o| o.instance.0.as_str())
        .collect();
    assert_eq!(ordered, BTreeSet::from(["e0", "e1", "e2", "e3"]));
    assert!(harness.orders.iter().all(|order| order.fence == 7));
}

#[test]
fn unanswered_order_is_followed_by_report_request() {
    let mut harness = Harness::new(1, 0);
    harness.coordinator.set_newest_version("m", 2);
    let instance = Instance("e0".into());
    let mut reports = 0;
    for step in 0..400 {
        harness.now += Duration::from_millis(10);
        for action in harness
            .coordinator
            .poll(harness.now, &mut harness.directory)
        {
            match action {
                CoordinatorAction::Report(_) => {
                    reports += 1;
                    let report = EngineReport {
                        models: BTreeMap::from([("m".to_string(), 1)]),
                        ..EngineReport::default()
                    };
                    let directory = &mut harness.directory;
                    harness
                        .coordinator
                        .on_report(harness.now, &instance, Some(&report), directory);
                }
                CoordinatorAction::Order(order) => {
                    assert!(
                        reports > harness.orders.len(),
                        "no report requested before order {step}"
                    );
                    harness.orders.push(order);
                    harness.coordinator.on_order_outcome(
                        harness.now,
                        &instance,
                        OrderOutcome::Unknown,
                    );
                }
            }
        }
    }
    assert!(harness.orders.len() > 2);
}

#[test]
fn fenced_holder_sends_no_orders() {
    let mut harness = Harness::new(4, 0);
    harness.coordinator.set_newest_version("m", 2);
    harness.run(20);
    let count = harness.orders.len();
    assert!(count > 0);
    // The engine rejects the next order of this holder.
    harness.coordinator.set_newest_version("m", 3);
    let mut fenced = false;
    for _ in 0..500 {
        harness.now += Duration::from_millis(10);
        // All orders of one poll are sent before the first answer arrives.
        let was_fenced = fenced;
        for action in harness
            .coordinator
            .poll(harness.now, &mut harness.directory)
        {
            match action {
                CoordinatorAction::Order(order) => {
                    assert!(!was_fenced, "order sent by a fenced holder");
                    fenced = true;
                    let answer = OrderOutcome::Answered(OrderResponse::Fenced);
                    harness
                        .coordinator
                        .on_order_outcome(harness.now, &order.instance, answer);
                }
                CoordinatorAction::Report(instance) => {
                    let report = EngineReport {
                        orders: 1,
                        ..EngineReport::default()
                    };
                    let directory = &mut harness.directory;
                    harness
                        .coordinator
                        .on_report(harness.now, &instance, Some(&report), directory);
                }
            }
        }
    }
    assert!(fenced && harness.coordinator.is_fenced());
}

/// A fixed limit would make a large fleet too slow to finish before the next version.
#[rstest]
#[case::small(9, 2)]
#[case::large(48, 9)]
fn default_load_limit_is_a_share_of_the_fleet(#[case] count: usize, #[case] expected: usize) {
    let mut harness = Harness::with_load_limit(count, 0, 0);
    harness.coordinator.set_newest_version("m", 2);
    harness.run(600);
    assert_eq!(harness.loads.len(), expected);
}

#[test]
fn one_slow_load_does_not_delay_later_loads() {
    let mut harness = Harness::new(8, 0);
    // Loads longer than expected are noticed late, so more begin than the limit allows.
    (harness.load_ms, harness.max_loads) = (2_400, 4);
    harness.coordinator.set_newest_version("m", 2);
    harness.run(8_000);
    assert_eq!(harness.engines_at(2), 4);
    (harness.load_ms, harness.max_loads) = (900, 2);
    let mut durations_ms = Vec::new();
    for version in 3..9 {
        let started_at = harness.now;
        harness.coordinator.set_newest_version("m", version);
        while harness.engines_at(version) < 4 {
            harness.run(10);
        }
        durations_ms.push(harness.now.since(started_at).as_millis());
        harness.run(1_000);
    }
    // Two rounds of two concurrent loads at 900 ms each.
    assert!(
        durations_ms.last().is_some_and(|span| *span <= 2_200),
        "{durations_ms:?}"
    );
}

#[test]
fn loads_that_exceed_expected_time_keep_their_slots() {
    let mut harness = Harness::new(16, 0);
    // Two more begin before the first report of the first two is requested.
    (harness.load_ms, harness.max_loads) = (6_000, 4);
    harness.coordinator.set_newest_version("m", 2);
    harness.run(5_000);
    assert_eq!(harness.orders.len(), 4);
}
