//! Engine choice, admission, retries and circuits.

use peatgrade_routing::select::View;
use peatgrade_routing::{
    prefix_blocks, Admission, Admitted, Circuit, CircuitState, EngineDirectory, EngineInfo,
    LoadReport, LoadView, PrefixIndex, Refusal, RetryBudget, Selector, SelectorPolicy, Want,
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
        leaving: false,
    }
}

#[derive(Default)]
struct Fixture {
    engines: EngineDirectory,
    load: LoadView,
    prefixes: PrefixIndex,
    circuits: Circuit,
    trusted_since: Option<Time>,
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
        self.load.report(NOW, EngineId(number), report, Duration(0));
    }

    fn choose(&self, want: &Want<'_>) -> Option<u32> {
        let view = View {
            engines: &self.engines,
            load: &self.load,
            prefixes: &self.prefixes,
            circuits: &self.circuits,
            trusted_since: self.trusted_since,
        };
        let mut selector = Selector::new(1, "here", SelectorPolicy::Full, 1);
        selector.choose(NOW, &view, want).map(|id| id.0)
    }
}

fn want() -> Want<'static> {
    Want {
        pool: "pool",
        ..Want::default()
    }
}

#[test]
fn leaving_engines_get_nothing_whoever_says_so() {
    let mut fixture = Fixture::with(2);
    fixture.report(1, LoadReport::default());
    let leaving = LoadReport {
        leaving: true,
        ..LoadReport::default()
    };
    fixture
        .load
        .report(NOW + Duration(1), EngineId(1), leaving, Duration(0));
    assert_eq!(fixture.choose(&want()), Some(2));
    let mut listed = engine(2, "here");
    listed.leaving = true;
    fixture.engines.replace([engine(1, "here"), listed]);
    assert_eq!(fixture.choose(&want()), None);
}

#[test]
fn a_longer_cached_prefix_wins_at_equal_load() {
    let mut fixture = Fixture::with(5);
    let prompt = vec![b'x'; 64 * 10];
    let blocks = prefix_blocks(&prompt);
    fixture.prefixes.insert(EngineId(4), &blocks);
    let want = Want {
        blocks: &blocks,
        ..want()
    };
    assert_eq!(fixture.choose(&want), Some(4));
}

#[test]
fn a_crowded_engine_loses_its_cached_prefix_s_worth() {
    let mut fixture = Fixture::with(3);
    let blocks = prefix_blocks(&vec![b'x'; 64 * 10]);
    fixture.prefixes.insert(EngineId(2), &blocks);
    let crowded = LoadReport {
        running: 16,
        waiting: 20,
        ..LoadReport::default()
    };
    fixture
        .load
        .report(NOW + Duration(1), EngineId(2), crowded, Duration(0));
    let want = Want {
        blocks: &blocks,
        ..want()
    };
    assert_ne!(fixture.choose(&want), Some(2));
}

#[test]
fn own_requests_count_until_a_newer_report_has_seen_them() {
    let mut load = LoadView::default();
    load.report(NOW, EngineId(1), LoadReport::default(), Duration(0));
    for _ in 0..5 {
        load.sent(EngineId(1));
    }
    assert_eq!(load.expected(NOW, EngineId(1)), 5);
    let seen = LoadReport {
        running: 5,
        ..LoadReport::default()
    };
    load.report(NOW + Duration(10), EngineId(1), seen, Duration(0));
    assert_eq!(load.expected(NOW + Duration(10), EngineId(1)), 5);
    assert!(
        !load.report(
            NOW + Duration(20),
            EngineId(1),
            LoadReport::default(),
            Duration(15)
        ),
        "older than known"
    );
}

#[test]
fn reports_from_before_a_pause_do_not_count() {
    let mut fixture = Fixture::with(2);
    fixture.trusted_since = Some(NOW + Duration(1));
    assert_eq!(fixture.choose(&want()), None);
    fixture.load.report(
        NOW + Duration(2),
        EngineId(2),
        LoadReport::default(),
        Duration(0),
    );
    fixture.trusted_since = Some(NOW);
    assert!(fixture.choose(&want()).is_some());
}

#[test]
fn a_gap_in_cache_events_forgets_what_was_believed() {
    let mut index = PrefixIndex::default();
    let blocks = prefix_blocks(&[b'y'; 640]);
    index.on_event(EngineId(1), 1, &blocks, &[]);
    assert_eq!(index.matching(EngineId(1), &blocks), 10);
    index.on_event(EngineId(1), 2, &[], &blocks[5..]);
    assert_eq!(index.matching(EngineId(1), &blocks), 5);
    index.on_event(EngineId(1), 9, &[], &[]);
    assert_eq!(index.matching(EngineId(1), &blocks), 0);
}

#[test]
fn a_circuit_opens_after_failures_and_lets_one_trial_through() {
    let mut circuit = Circuit::default();
    let id = EngineId(1);
    for _ in 0..3 {
        assert_eq!(circuit.state(NOW, id), CircuitState::Closed);
        circuit.failed(NOW, id);
    }
    assert_eq!(circuit.state(NOW, id), CircuitState::Open);
    let later = NOW + Duration::from_millis(600);
    assert_eq!(circuit.state(later, id), CircuitState::HalfOpen);
    circuit.sent(later, id);
    assert_eq!(
        circuit.state(later, id),
        CircuitState::Open,
        "one trial at a time"
    );
    circuit.succeeded(id);
    assert_eq!(circuit.state(later, id), CircuitState::Closed);
}

#[test]
fn retries_stay_below_a_tenth_of_first_attempts() {
    let mut budget = RetryBudget::default();
    while budget.spend() {}
    let mut retries = 0;
    for _ in 0..1_000 {
        budget.earn();
        retries += u32::from(budget.spend());
    }
    assert_eq!(retries, 100);
}

#[rstest]
fn urgent_tenants_get_places_first() {
    let mut admission: Admission<u32> = Admission::default();
    let queue = Duration::from_millis(500);
    let mut enter =
        |tenant: &str, priority, key| admission.enter(NOW, tenant, Some(priority), 1, queue, key);
    assert_eq!(enter("rollouts", Priority::Batch, 1), Admitted::Now);
    assert_eq!(enter("lookups", Priority::Interactive, 2), Admitted::Now);
    assert_eq!(enter("rollouts", Priority::Batch, 3), Admitted::Queued);
    assert_eq!(enter("lookups", Priority::Interactive, 4), Admitted::Queued);
    admission.leave("rollouts");
    admission.leave("lookups");
    assert_eq!(admission.take_next(), Some(4));
    assert_eq!(admission.take_next(), Some(3));
}

#[rstest]
fn queues_are_bounded_in_time_and_length() {
    let mut admission: Admission<u32> = Admission::default();
    let queue = Duration::from_millis(500);
    for key in 0..3 {
        admission.enter(NOW, "tenant", None, 1, queue, key);
    }
    let full = admission.enter(NOW, "tenant", None, 1, queue, 9);
    assert_eq!(full, Admitted::Refused(Refusal::QueueFull));
    assert_eq!(
        admission.expired(NOW + Duration::from_millis(499)),
        Vec::<u32>::new()
    );
    assert_eq!(
        admission.expired(NOW + Duration::from_millis(500)),
        vec![1, 2]
    );
}
