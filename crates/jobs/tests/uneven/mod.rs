//! A step of texts of all lengths on engines of three speeds, played without a network:
//! when the step ends and how often its runs move, by each way to choose engines.

use crate::dispatch::{engine, Harness};
use peatgrade_jobs::{ItemPlacement, PlacementStats, RunId, RunPart};
use peatgrade_schema::replication::JobItem;
use peatgrade_types::{hash_bytes, Duration};
use rstest::rstest;
use std::collections::{BTreeMap, HashMap};

/// Milliseconds an event of a run alone, and engines of that pace.
const SPEEDS: [(f64, usize); 3] = [(72.0, 4), (46.0, 4), (29.0, 4)];
const SLOTS: u32 = 6;
/// How much slower a run is on a full engine.
const FULL_BATCH: f64 = 0.12;
const STEPS: usize = 24;
const GROUPS: usize = 8;
const GROUP_ITEMS: usize = 6;
const TICK_MS: u64 = 15;
/// Time from the start of a run to its first piece of an event.
const START_MS: f64 = 45.0;
/// Tokens of an event: what callers guess is in tokens.
const TOKENS: f64 = 85.0;

struct Playing {
    item: String,
    engine: String,
    after: u64,
    /// Events since the run began, in parts.
    made: f64,
    sent: u64,
}

struct Outcome {
    /// Mean time from a step's start to its last text, in milliseconds.
    step_ms: u64,
    moves: u64,
    figures: PlacementStats,
}

/// A number from 0 to 1 that a name stands for.
fn draw(name: &str) -> f64 {
    (hash_bytes(name.as_bytes()) >> 11) as f64 / (1_u64 << 53) as f64
}

/// Events of a text: most near the usual 25, few several times longer.
fn length(item: &str) -> f64 {
    let spread = (draw(&format!("{item} length")) - 0.5) * 2.4;
    let tail = if draw(&format!("{item} tail")) < 0.08 {
        4.0
    } else {
        1.0
    };
    (25.0 * spread.exp() * tail).max(2.0).round()
}

/// What its caller guesses: right in the median, half of the time within a factor of 1.4.
fn guess(item: &str) -> u64 {
    let error = (draw(&format!("{item} guess")) - 0.5) * 1.4;
    (length(item) * TOKENS * error.exp()) as u64
}

fn pace_of(engine: &str) -> f64 {
    let index: usize = engine[1..].parse().expect("numbered");
    let mut engines = 0;
    for (pace, count) in SPEEDS {
        engines += count;
        if index < engines {
            return pace;
        }
    }
    panic!("no such engine");
}

fn play(way: ItemPlacement) -> Outcome {
    let engines = SPEEDS.iter().map(|(_, count)| count).sum::<usize>();
    let records = (0..engines).map(|index| {
        let mut record = engine(&format!("e{index}"), 5);
        record.slots = SLOTS;
        record
    });
    let mut scene = Harness::new(records.collect());
    scene.set_placement(way);
    let mut total_ms = 0;
    for step in 0..STEPS {
        total_ms += play_step(&mut scene, step);
    }
    let figures = scene.dispatcher.placement_stats();
    Outcome {
        step_ms: total_ms / STEPS as u64,
        moves: figures.moves_slow + figures.moves_faster + figures.moves_silent,
        figures,
    }
}

/// Plays a step to its last text; the time that it takes, in milliseconds.
fn play_step(scene: &mut Harness, step: usize) -> u64 {
    let job = format!("step-{step}");
    let items = (0..GROUPS * GROUP_ITEMS).map(|index| {
        let id = format!("{step}-{index}");
        JobItem {
            length_hint: guess(&id),
            group: format!("{step}-{}", index / GROUP_ITEMS),
            id,
            path: "/p/x".into(),
            ..JobItem::default()
        }
    });
    scene.submit_items(&job, 5, items.collect());
    let began = scene.now;
    let mut playing: BTreeMap<RunId, Playing> = BTreeMap::new();
    let mut whole = 0;
    while whole < GROUPS * GROUP_ITEMS {
        assert!(scene.now.since(began) < Duration::from_secs(60));
        scene.poll_until_started();
        for run in scene.cancelled.drain(..) {
            playing.remove(&run);
        }
        for started in std::mem::take(&mut scene.started) {
            let run = Playing {
                item: started.item,
                engine: started.engine.clone(),
                after: started.after.unwrap_or(0),
                made: -START_MS / pace_of(&started.engine),
                sent: 0,
            };
            scene.head(started.run, 200, 5);
            playing.insert(started.run, run);
        }
        scene.now += Duration::from_millis(TICK_MS);
        whole += advance(scene, &mut playing);
    }
    scene.poll();
    let took = scene.now.since(began).as_millis();
    scene.end(&job);
    // The next step comes once all paces of this one have been seen.
    scene.wait(200);
    took
}

/// Lets all engines work for a tick; the texts that became whole.
fn advance(scene: &mut Harness, playing: &mut BTreeMap<RunId, Playing>) -> usize {
    let mut running: HashMap<String, u32> = HashMap::new();
    for run in playing.values() {
        *running.entry(run.engine.clone()).or_default() += 1;
    }
    let mut ended = Vec::new();
    for (id, run) in playing.iter_mut() {
        let load = f64::from(running[&run.engine]) / f64::from(SLOTS);
        let pace = pace_of(&run.engine) * (1.0 + FULL_BATCH * load);
        run.made += TICK_MS as f64 / pace;
        let left = length(&run.item) as u64 - run.after;
        let made = (run.made.max(0.0) as u64).min(left);
        let events = (run.sent + 1..=made).map(|event| format!("{}|0|x\n", run.after + event));
        let events: String = events.collect();
        run.sent = made;
        if !events.is_empty() {
            scene.data(*id, &events);
        }
        if made == left {
            ended.push(*id);
        }
    }
    for id in &ended {
        playing.remove(id);
        scene.part(*id, RunPart::End);
    }
    ended.len()
}

/// Steps of 48 texts on twelve engines. As measured here: by relative pace 6,542 ms a step
/// and 228 moves; with priced moves 6,545 ms and 65.
#[test]
fn moves_that_must_pay_are_half_as_many_and_steps_end_no_later() {
    let before = play(ItemPlacement::RelativePace);
    let after = play(ItemPlacement::PricedMoves);
    let figures = (before.step_ms, before.moves, after.step_ms, after.moves);
    assert!(2 * after.moves <= before.moves, "{figures:?}");
    assert!(100 * after.step_ms <= 101 * before.step_ms, "{figures:?}");
}

/// By paces, uneven engines are placed as with priced moves, but for the first step, in
/// which no pace is known.
#[test]
fn uneven_engines_are_noticed() {
    let before = play(ItemPlacement::RelativePace);
    let by_paces = play(ItemPlacement::ByPaces);
    let figures = (before.moves, by_paces.moves);
    assert!(2 * by_paces.moves <= before.moves, "{figures:?}");
}

#[test]
fn every_run_is_counted_as_kept_or_read() {
    let outcome = play(ItemPlacement::ExpectedEnd);
    let runs = outcome.figures.prompts_kept + outcome.figures.prompts_read;
    assert!(runs >= (STEPS * GROUPS * GROUP_ITEMS) as u64, "{runs}");
}

/// Plays one text of a group on engine `a`, whose pace then is as given, and returns where
/// the next text of the group goes.
fn next_of_group(way: ItemPlacement, version: u64, pace_ms: u64) -> String {
    let mut scene = Harness::new(vec![engine("a", 5), engine("b", 5)]);
    scene.set_placement(way);
    scene.set_running("b", 3);
    scene.submit("first", 5, &["one"]);
    scene.poll();
    let first = scene.last_started();
    assert_eq!(first.engine, "a");
    scene.head(first.run, 200, 5);
    scene.data(first.run, "1|0|x\n");
    scene.part(first.run, RunPart::End);
    scene.poll();
    scene.end("first");
    scene.set_running("b", 0);
    scene.set_pace("a", pace_ms);
    scene.set_pace("b", 40);
    scene.head(first.run, 200, version);
    if version != 5 {
        scene.add_engine(engine("a", version));
    }
    scene.submit("second", 5, &["two"]);
    scene.poll();
    scene.last_started().engine
}

#[rstest]
#[case::it_keeps_the_prompt(ItemPlacement::PricedMoves, 5, 41, "a")]
#[case::its_weights_have_changed(ItemPlacement::PricedMoves, 6, 41, "b")]
#[case::it_is_slower(ItemPlacement::PricedMoves, 5, 60, "b")]
#[case::engines_alike(ItemPlacement::ByPaces, 5, 41, "b")]
#[case::by_pace_alone(ItemPlacement::RelativePace, 5, 41, "b")]
fn a_group_that_comes_back_goes_where_its_prompt_is_kept(
    #[case] way: ItemPlacement,
    #[case] version: u64,
    #[case] pace_ms: u64,
    #[case] chosen: &str,
) {
    assert_eq!(next_of_group(way, version, pace_ms), chosen);
}

/// A run that was moved is not sent back where it came from while it could go elsewhere.
#[test]
fn a_run_does_not_move_back() {
    let mut scene = Harness::new(vec![engine("a", 5), engine("b", 5), engine("c", 5)]);
    scene.set_placement(ItemPlacement::PricedMoves);
    for (name, pace) in [("a", 40), ("b", 200), ("c", 80)] {
        scene.set_pace(name, pace);
    }
    scene.set_running("a", 4);
    scene.set_running("c", 4);
    scene.submit("j", 5, &["long"]);
    scene.poll();
    let first = scene.last_started();
    assert_eq!(first.engine, "b");
    scene.set_running("c", 0);
    stream(&mut scene, first.run, 1, 6, 200);
    let second = scene.last_started();
    assert_eq!(second.engine, "c");
    // The one that it left is the fastest of all now.
    for (name, pace) in [("b", 10), ("c", 200)] {
        for _ in 0..20 {
            scene.set_pace(name, pace);
        }
    }
    let next = second.after.expect("it had begun") + 1;
    stream(&mut scene, second.run, next, next + 5, 200);
    assert_eq!(scene.last_started().run, second.run, "{:?}", scene.started);
}

/// Sends events `from..=to` of a run, one each `millis`.
fn stream(scene: &mut Harness, run: RunId, from: u64, to: u64, millis: u64) {
    scene.head(run, 200, 5);
    for event in from..=to {
        scene.wait(millis);
        if scene.cancelled.contains(&run) {
            return;
        }
        scene.data(run, &format!("{event}|0|x\n"));
    }
}
