//! What a look over many items costs.

use crate::dispatch::{engine, Harness};

const ENGINES: usize = 48;
const SLOTS: usize = 8;
const JOBS: usize = 6;
const ITEMS: usize = 208;

fn crowded_harness() -> Harness {
    let engines = (0..ENGINES).map(|index| {
        let mut engine = engine(&format!("e{index}"), 5);
        engine.slots = SLOTS as u32;
        engine
    });
    let mut harness = Harness::new(engines.collect());
    for job in 0..JOBS {
        let ids: Vec<String> = (0..ITEMS).map(|item| format!("{job}-{item}")).collect();
        let ids: Vec<&str> = ids.iter().map(String::as_str).collect();
        harness.submit(&format!("job-{job}"), 5, &ids);
    }
    harness
}

/// A leader that weighs all engines for each waiting item on each look has no
/// time left for the events that arrive.
#[test]
fn items_that_wait_for_a_place_cost_nothing_until_there_is_one() {
    let mut harness = crowded_harness();
    harness.poll_until_started();
    assert_eq!(harness.started.len(), ENGINES * SLOTS);
    for started in harness.started.clone() {
        harness.head(started.run, 200, 5);
        harness.data(started.run, "1|0|one\n");
    }
    let before = harness.dispatcher.engines_weighed();
    for _ in 0..100 {
        harness.wait(4);
    }
    let weighed = harness.dispatcher.engines_weighed() - before;
    assert!(weighed <= (JOBS * ENGINES) as u64, "{weighed} weighed");
}

#[test]
fn a_place_that_becomes_free_is_taken_at_the_next_look() {
    let mut harness = crowded_harness();
    harness.poll_until_started();
    for started in harness.started.clone() {
        harness.head(started.run, 200, 5);
        harness.data(started.run, "1|0|one\n");
    }
    let full = harness.started.len();
    let run = harness.started[7].run;
    harness.part(run, peatgrade_jobs::RunPart::End);
    let before = harness.dispatcher.engines_weighed();
    harness.wait(4);
    assert_eq!(harness.started.len(), full + 1);
    // The rest of the queue is not weighed against engines that are full.
    let weighed = harness.dispatcher.engines_weighed() - before;
    assert!(weighed <= (2 * JOBS * ENGINES) as u64, "{weighed} weighed");
}

/// Looking at runs must not weigh a whole fleet for each of them, or a leader
/// before thousands of engines does nothing else.
#[test]
fn watching_runs_weighs_engines_only_for_those_that_could_move() {
    let engines = (0..2_000).map(|index| engine(&format!("e{index}"), 5));
    let mut harness = Harness::new(engines.collect());
    let ids: Vec<String> = (0..ITEMS).map(|item| item.to_string()).collect();
    let ids: Vec<&str> = ids.iter().map(String::as_str).collect();
    harness.submit("job", 5, &ids);
    harness.poll_until_started();
    assert_eq!(harness.started.len(), ITEMS);
    let runs = harness.started.clone();
    for event in 1..10 {
        harness.now += peatgrade_types::Duration::from_millis(50);
        for started in &runs {
            harness.head(started.run, 200, 5);
            harness.data(started.run, &format!("{event}|0|x\n"));
        }
    }
    let before = harness.dispatcher.engines_weighed();
    for _ in 0..50 {
        harness.wait(4);
    }
    assert_eq!(harness.dispatcher.engines_weighed(), before);
    assert!(harness.cancelled.is_empty());
}

/// A leader is not heard while it starts runs. However many items wait, a look takes
/// only so long, and the rest starts at once in those that follow.
#[test]
fn a_look_starts_a_few_runs_however_many_items_wait() {
    const MOST_STARTS: usize = 24;
    let mut harness = crowded_harness();
    let mut before = 0;
    let mut looks = 0;
    while harness.started.len() < ENGINES * SLOTS {
        harness.poll();
        let started = harness.started.len() - before;
        before = harness.started.len();
        assert!(
            started > 0 && started <= MOST_STARTS,
            "{started} in one look"
        );
        let is_full = before == ENGINES * SLOTS;
        let says_so = harness.dispatcher.has_backlog();
        assert!(is_full || says_so, "a look that left something says so");
        looks += 1;
    }
    assert!(looks <= ENGINES * SLOTS / 8, "{looks} looks");
}

/// A leader with 1,500 open items before 38 engines of 6 places, one of which falls free
/// before each look. A look visits 304 items and takes 0.13 ms (5,501 and 6.3 ms when each
/// look sorted all that waited, on the same busy machine).
#[test]
fn a_look_costs_what_changed_however_many_items_are_open() {
    const LOOKS: usize = 150;
    const MOST_VISITED: u64 = 400;
    let engines = (0..38).map(|index| {
        let mut engine = engine(&format!("e{index}"), 5);
        engine.slots = 6;
        engine
    });
    let mut harness = Harness::new(engines.collect());
    for job in 0..10 {
        let ids: Vec<String> = (0..150).map(|item| format!("{job}-{item}")).collect();
        let ids: Vec<&str> = ids.iter().map(String::as_str).collect();
        harness.submit(&format!("job-{job}"), 5, &ids);
    }
    harness.poll_until_started();
    let before = harness.dispatcher.items_visited();
    let began = std::time::Instant::now();
    for look in 0..LOOKS {
        let run = harness.started[look].run;
        harness.head(run, 200, 5);
        harness.data(run, "1|0|one\n");
        harness.part(run, peatgrade_jobs::RunPart::End);
        harness.wait(4);
        assert_eq!(harness.started.len(), 38 * 6 + look + 1);
    }
    let each = (harness.dispatcher.items_visited() - before) / LOOKS as u64;
    println!(
        "{each} visited, {} us a look",
        began.elapsed().as_micros() as usize / LOOKS
    );
    assert!(each <= MOST_VISITED, "{each} visited");
}
