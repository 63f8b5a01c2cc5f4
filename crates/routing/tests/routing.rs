//! Engine selection, admission, retry budgets and circuit breakers.

use peatgrade_routing::select::RoutingState;
use peatgrade_routing::{
    prefix_blocks, Admission, AdmissionDecision, CircuitBreakers, CircuitState, EngineDirectory,
    EngineInfo, EngineRequirements, LoadReport, LoadView, PrefixIndex, Refusal, RetryBudget,
    Selector, SelectorPolicy,
};
use peatgrade_schema::documents::Priority;
use peatgrade_types::{Duration, EngineId, Time};
use rstest::rstest;

const NOW: Time = Time(1_000_000_000);

fn engine(number: u32, zone: &str) -> EngineInfo {
    EngineInfo {
        id: EngineId(number),
        name: format!("engine{number}"),
        pool: "pool".into(),
        zone: zone.into(),
        address: String::new(),
        slots: 16,
        draining: false,
    }
}

#[derive(Default)]
struct Fixture {
    engines: EngineDirectory,
    load: LoadView,
    prefixes: PrefixIndex,
    circuits: CircuitBreakers,
    reports_valid_since: Option<Time>,
}

impl Fixture {
    fn with(count: u32) -> Self {
        let mut fixture = Self::default();
        fixture
            .engines
            .replace((1..=count).map(|number| engine(number, "here")));
        for number in 1..=count {
            fixture.report(number, LoadReport::default());
        }
        fixture
    }

    fn report(&mut self, number: u32, report: LoadReport) {
        self.load.update(NOW, EngineId(number), report, Duration(0));
    }

    fn choose(&self, requirements: &EngineRequirements<'_>) -> Option<u32> {
        let state = RoutingState {
            engines: &self.engines,
            load: &self.load,
            prefixes: &self.prefixes,
            circuits: &self.circuits,
            reports_valid_since: self.reports_valid_since,
        };
        let mut selector = Selector::new(1, "here", SelectorPolicy::Full, 1);
        selector.choose(NOW, &state, requirements).map(|id| id.0)
    }
}

fn requirements() -> EngineRequirements<'static> {
    EngineRequirements {
        pool: "pool",
        ..EngineRequirements::default()
    }
}

#[test]
fn draining_engines_are_not_selected() {
    let mut fixture = Fixture::with(2);
    fixture.report(1, LoadReport::default());
    let draining = LoadReport {
        draining: true,
        ..LoadReport::default()
    };
    fixture
        .load
        .update(NOW + Duration(1), EngineId(1), draining, Duration(0));
    assert_eq!(fixture.choose(&requirements()), Some(2));
    let mut listed = engine(2, "here");
    listed.draining = true;
    fixture.engines.replace([engine(1, "here"), listed]);
    assert_eq!(fixture.choose(&requirements()), None);
}

#[test]
fn a_longer_cached_prefix_is_preferred_at_equal_load() {
    let mut fixture = Fixture::with(5);
    let prompt = vec![b'x'; 64 * 10];
    let blocks = prefix_blocks(&prompt);
    fixture.prefixes.insert(EngineId(4), &blocks);
    let requirements = EngineRequirements {
        blocks: &blocks,
        ..requirements()
    };
    assert_eq!(fixture.choose(&requirements), Some(4));
}

#[test]
fn high_load_outweighs_a_cached_prefix() {
    let mut fixture = Fixture::with(3);
    let blocks = prefix_blocks(&vec![b'x'; 64 * 10]);
    fixture.prefixes.insert(EngineId(2), &blocks);
    let high_load = LoadReport {
        running: 16,
        waiting: 20,
        ..LoadReport::default()
    };
    fixture
        .load
        .update(NOW + Duration(1), EngineId(2), high_load, Duration(0));
    let requirements = EngineRequirements {
        blocks: &blocks,
        ..requirements()
    };
    assert_ne!(fixture.choose(&requirements), Some(2));
}

#[test]
fn own_requests_count_until_a_newer_report_includes_them() {
    let mut load = LoadView::default();
    load.update(NOW, EngineId(1), LoadReport::default(), Duration(0));
    for _ in 0..5 {
        load.record_sent(EngineId(1));
    }
    assert_eq!(load.expected_requests(NOW, EngineId(1)), 5);
    let report = LoadReport {
        running: 5,
        ..LoadReport::default()
    };
    load.update(NOW + Duration(10), EngineId(1), report, Duration(0));
    assert_eq!(load.expected_requests(NOW + Duration(10), EngineId(1)), 5);
    assert!(
        !load.update(
            NOW + Duration(20),
            EngineId(1),
            LoadReport::default(),
            Duration(15)
        ),
        "older than the known report"
    );
}

#[test]
fn reports_from_before_a_suspension_are_ignored() {
    let mut fixture = Fixture::with(2);
    fixture.reports_valid_since = Some(NOW + Duration(1));
    assert_eq!(fixture.choose(&requirements()), None);
    fixture.load.update(
        NOW + Duration(2),
        EngineId(2),
        LoadReport::default(),
        Duration(0),
    );
    fixture.reports_valid_since = Some(NOW);
    assert!(fixture.choose(&requirements()).is_some());
}

#[test]
fn a_gap_in_cache_events_clears_the_index() {
    let mut index = PrefixIndex::default();
    let blocks = prefix_blocks(&[b'y'; 640]);
    index.on_event(EngineId(1), 1, &blocks, &[]);
    assert_eq!(index.matching_blocks(EngineId(1), &blocks), 10);
    index.on_event(EngineId(1), 2, &[], &blocks[5..]);
    assert_eq!(index.matching_blocks(EngineId(1), &blocks), 5);
    index.on_event(EngineId(1), 9, &[], &[]);
    assert_eq!(index.matching_blocks(EngineId(1), &blocks), 0);
}

#[test]
fn a_circuit_opens_after_failures_and_allows_one_trial() {
    let mut circuit = CircuitBreakers::default();
    let id = EngineId(1);
    for _ in 0..3 {
        assert_eq!(circuit.state(NOW, id), CircuitState::Closed);
        circuit.record_failure(NOW, id);
    }
    assert_eq!(circuit.state(NOW, id), CircuitState::Open);
    let later = NOW + Duration::from_millis(600);
    assert_eq!(circuit.state(later, id), CircuitState::HalfOpen);
    circuit.record_sent(later, id);
    assert_eq!(
        circuit.state(later, id),
        CircuitState::Open,
        "one trial at a time"
    );
    circuit.record_success(id);
    assert_eq!(circuit.state(later, id), CircuitState::Closed);
}

#[test]
fn retries_stay_below_a_tenth_of_first_attempts() {
    let mut budget = RetryBudget::default();
    while budget.try_withdraw() {}
    let mut retries = 0;
    for _ in 0..1_000 {
        budget.deposit();
        retries += u32::from(budget.try_withdraw());
    }
    assert_eq!(retries, 100);
}

#[rstest]
fn high_priority_tenants_are_served_first() {
    let mut admission: Admission<u32> = Admission::default();
    let queue_timeout = Duration::from_millis(500);
    let mut enter = |tenant: &str, priority, key| {
        admission.try_admit(NOW, tenant, Some(priority), 1, queue_timeout, key)
    };
    assert_eq!(
        enter("rollouts", Priority::Batch, 1),
        AdmissionDecision::Admitted
    );
    assert_eq!(
        enter("lookups", Priority::Interactive, 2),
        AdmissionDecision::Admitted
    );
    assert_eq!(
        enter("rollouts", Priority::Batch, 3),
        AdmissionDecision::Queued
    );
    assert_eq!(
        enter("lookups", Priority::Interactive, 4),
        AdmissionDecision::Queued
    );
    admission.release("rollouts");
    admission.release("lookups");
    assert_eq!(admission.take_next(), Some(4));
    assert_eq!(admission.take_next(), Some(3));
}

#[rstest]
fn queues_are_bounded_in_time_and_length() {
    let mut admission: Admission<u32> = Admission::default();
    let queue_timeout = Duration::from_millis(500);
    for key in 0..3 {
        admission.try_admit(NOW, "tenant", None, 1, queue_timeout, key);
    }
    let full = admission.try_admit(NOW, "tenant", None, 1, queue_timeout, 9);
    assert_eq!(full, AdmissionDecision::Refused(Refusal::QueueFull));
    assert_eq!(
        admission.take_expired(NOW + Duration::from_millis(499)),
        Vec::<u32>::new()
    );
    assert_eq!(
        admission.take_expired(NOW + Duration::from_millis(500)),
        vec![1, 2]
    );
}
