//! Simulates training steps with texts of varying lengths on engines of three speeds, and
//! compares step durations and moves between placement policies.

use crate::dispatch::{engine, Harness};
use peatgrade_jobs::{ItemPlacement, PlacementStats, RunId, RunPart};
use peatgrade_schema::replication::JobItem;
use peatgrade_types::{hash_bytes, Duration};
use rstest::rstest;
use std::collections::{BTreeMap, HashMap};

/// Milliseconds per event of a single run, and number of engines of that pace.
const ENGINE_PACES: [(f64, usize); 3] = [(72.0, 4), (46.0, 4), (29.0, 4)];
const SLOTS: u32 = 6;
/// Relative slowdown of a run on a full engine.
const FULL_BATCH_SLOWDOWN: f64 = 0.12;
const STEPS: usize = 24;
const GROUPS: usize = 8;
const GROUP_ITEMS: usize = 6;
const TICK_MS: u64 = 15;
/// Time from the start of a run to the start of its first event.
const START_MS: f64 = 45.0;
/// Tokens per event; length hints are in tokens.
const TOKENS_PER_EVENT: f64 = 85.0;

struct SimulatedRun {
    item: String,
    engine: String,
    /// Number of the last event of earlier runs.
    after: u64,
    /// Events produced since the run started, including fractions.
    produced: f64,
    /// Complete events sent to the dispatcher.
    sent: u64,
}

struct Outcome {
    /// Mean time from the start of a step to its last text.
    mean_step_ms: u64,
    moves: u64,
    stats: PlacementStats,
}

/// Deterministic pseudo-random number in 0..1 for a name.
fn unit_hash(name: &str) -> f64 {
    (hash_bytes(name.as_bytes()) >> 11) as f64 / (1_u64 << 53) as f64
}

/// Events of a text: most near 25, a few several times longer.
fn length(item: &str) -> f64 {
    let spread = (unit_hash(&format!("{item} length")) - 0.5) * 2.4;
    let tail = if unit_hash(&format!("{item} tail")) < 0.08 {
        4.0
    } else {
        1.0
    };
    (25.0 * spread.exp() * tail).max(2.0).round()
}

/// Length hint of an item: correct in the median, with a random error.
fn length_hint(item: &str) -> u64 {
    let error = (unit_hash(&format!("{item} guess")) - 0.5) * 1.4;
    (length(item) * TOKENS_PER_EVENT * error.exp()) as u64
}

fn pace_of(engine: &str) -> f64 {
    let index: usize = engine[1..].parse().expect("numbered");
    let mut engines = 0;
    for (pace, count) in ENGINE_PACES {
        engines += count;
        if index < engines {
            return pace;
        }
    }
    panic!("unknown engine {engine}");
}

fn simulate(placement: ItemPlacement) -> Outcome {
    let engines = ENGINE_PACES.iter().map(|(_, count)| count).sum::<usize>();
    let records = (0..engines).map(|index| {
        let mut record = engine(&format!("e{index}"), 5);
        record.slots = SLOTS;
        record
    });
    let mut harness = Harness::new(records.collect());
    harness.set_placement(placement);
    let mut total_ms = 0;
    for step in 0..STEPS {
        total_ms += simulate_step(&mut harness, step);
    }
    let stats = harness.dispatcher.placement_stats();
    Outcome {
        mean_step_ms: total_ms / STEPS as u64,
        moves: stats.moves_slow + stats.moves_faster + stats.moves_silent,
        stats,
    }
}

/// Simulates a step up to its last text and returns its duration in milliseconds.
fn simulate_step(harness: &mut Harness, step: usize) -> u64 {
    let job = format!("step-{step}");
    let items = (0..GROUPS * GROUP_ITEMS).map(|index| {
        let id = format!("{step}-{index}");
        JobItem {
            length_hint: length_hint(&id),
            group: format!("{step}-{}", index / GROUP_ITEMS),
            id,
            path: "/p/x".into(),
            ..JobItem::default()
        }
    });
    harness.submit_items(&job, 5, items.collect());
    let started_at = harness.now;
    let mut runs: BTreeMap<RunId, SimulatedRun> = BTreeMap::new();
    let mut completed = 0;
    while completed < GROUPS * GROUP_ITEMS {
        assert!(harness.now.since(started_at) < Duration::from_secs(60));
        harness.poll_until_started();
        for run in harness.cancelled.drain(..) {
            runs.remove(&run);
        }
        for started in std::mem::take(&mut harness.started) {
            let run = SimulatedRun {
                item: started.item,
                engine: started.engine.clone(),
                after: started.after.unwrap_or(0),
                produced: -START_MS / pace_of(&started.engine),
                sent: 0,
            };
            harness.head(started.run, 200, 5);
            runs.insert(started.run, run);
        }
        harness.now += Duration::from_millis(TICK_MS);
        completed += advance(harness, &mut runs);
    }
    harness.poll();
    let duration_ms = harness.now.since(started_at).as_millis();
    harness.end(&job);
    // Lets the paces of this step be observed before the next one.
    harness.wait(200);
    duration_ms
}

/// Advances all engines by a tick and returns the number of completed texts.
fn advance(harness: &mut Harness, runs: &mut BTreeMap<RunId, SimulatedRun>) -> usize {
    let mut running: HashMap<String, u32> = HashMap::new();
    for run in runs.values() {
        *running.entry(run.engine.clone()).or_default() += 1;
    }
    let mut ended = Vec::new();
    for (id, run) in runs.iter_mut() {
        let load = f64::from(running[&run.engine]) / f64::from(SLOTS);
        let pace = pace_of(&run.engine) * (1.0 + FULL_BATCH_SLOWDOWN * load);
        run.produced += TICK_MS as f64 / pace;
        let remaining = length(&run.item) as u64 - run.after;
        let produced = (run.produced.max(0.0) as u64).min(remaining);
        let events = (run.sent + 1..=produced).map(|event| format!("{}|0|x\n", run.after + event));
        let events: String = events.collect();
        run.sent = produced;
        if !events.is_empty() {
            harness.data(*id, &events);
        }
        if produced == remaining {
            ended.push(*id);
        }
    }
    for id in &ended {
        runs.remove(id);
        harness.part(*id, RunPart::End);
    }
    ended.len()
}

/// Guards against moves that cost more than they gain.
#[test]
fn priced_moves_halve_moves_without_longer_steps() {
    let before = simulate(ItemPlacement::RelativePace);
    let after = simulate(ItemPlacement::PricedMoves);
    let figures = (
        before.mean_step_ms,
        before.moves,
        after.mean_step_ms,
        after.moves,
    );
    assert!(2 * after.moves <= before.moves, "{figures:?}");
    assert!(
        100 * after.mean_step_ms <= 101 * before.mean_step_ms,
        "{figures:?}"
    );
}

/// Guards against `ByPaces` treating engines of different speeds as uniform.
#[test]
fn heterogeneous_engines_use_priced_moves() {
    let before = simulate(ItemPlacement::RelativePace);
    let by_paces = simulate(ItemPlacement::ByPaces);
    let figures = (before.moves, by_paces.moves);
    assert!(2 * by_paces.moves <= before.moves, "{figures:?}");
}

#[test]
fn every_run_is_counted_as_prompt_kept_or_read() {
    let outcome = simulate(ItemPlacement::ExpectedEnd);
    let runs = outcome.stats.prompts_kept + outcome.stats.prompts_read;
    assert!(runs >= (STEPS * GROUPS * GROUP_ITEMS) as u64, "{runs}");
}

/// Runs one text of a group on engine `a`, sets the pace of `a`, and returns the engine
/// chosen for the next text of the group.
fn engine_of_next_item(placement: ItemPlacement, version: u64, pace_ms: u64) -> String {
    let mut harness = Harness::new(vec![engine("a", 5), engine("b", 5)]);
    harness.set_placement(placement);
    harness.set_running("b", 3);
    harness.submit("first", 5, &["one"]);
    harness.poll();
    let first = harness.last_started();
    assert_eq!(first.engine, "a");
    harness.head(first.run, 200, 5);
    harness.data(first.run, "1|0|x\n");
    harness.part(first.run, RunPart::End);
    harness.poll();
    harness.end("first");
    harness.set_running("b", 0);
    harness.set_pace("a", pace_ms);
    harness.set_pace("b", 40);
    harness.head(first.run, 200, version);
    if version != 5 {
        harness.add_engine(engine("a", version));
    }
    harness.submit("second", 5, &["two"]);
    harness.poll();
    harness.last_started().engine
}

#[rstest]
#[case::prompt_cached(ItemPlacement::PricedMoves, 5, 41, "a")]
#[case::weights_changed(ItemPlacement::PricedMoves, 6, 41, "b")]
#[case::slower(ItemPlacement::PricedMoves, 5, 60, "b")]
#[case::similar_engines(ItemPlacement::ByPaces, 5, 41, "b")]
#[case::relative_pace(ItemPlacement::RelativePace, 5, 41, "b")]
fn resubmitted_group_runs_where_its_prompt_is_cached(
    #[case] placement: ItemPlacement,
    #[case] version: u64,
    #[case] pace_ms: u64,
    #[case] chosen: &str,
) {
    assert_eq!(engine_of_next_item(placement, version, pace_ms), chosen);
}

/// Guards against runs that move back and forth between engines.
#[test]
fn run_does_not_move_back() {
    let mut harness = Harness::new(vec![engine("a", 5), engine("b", 5), engine("c", 5)]);
    harness.set_placement(ItemPlacement::PricedMoves);
    for (name, pace) in [("a", 40), ("b", 200), ("c", 80)] {
        harness.set_pace(name, pace);
    }
    harness.set_running("a", 4);
    harness.set_running("c", 4);
    harness.submit("j", 5, &["long"]);
    harness.poll();
    let first = harness.last_started();
    assert_eq!(first.engine, "b");
    harness.set_running("c", 0);
    stream(&mut harness, first.run, 1, 6, 200);
    let second = harness.last_started();
    assert_eq!(second.engine, "c");
    // The engine that the run left becomes the fastest.
    for (name, pace) in [("b", 10), ("c", 200)] {
        for _ in 0..20 {
            harness.set_pace(name, pace);
        }
    }
    let next = second.after.expect("events were received") + 1;
    stream(&mut harness, second.run, next, next + 5, 200);
    assert_eq!(
        harness.last_started().run,
        second.run,
        "{:?}",
        harness.started
    );
}

/// Sends events `from..=to` of a run at intervals of `millis`.
fn stream(harness: &mut Harness, run: RunId, from: u64, to: u64, millis: u64) {
    harness.head(run, 200, 5);
    for event in from..=to {
        harness.wait(millis);
        if harness.cancelled.contains(&run) {
            return;
        }
        harness.data(run, &format!("{event}|0|x\n"));
    }
}
