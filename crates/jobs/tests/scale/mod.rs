//! Tests of the cost of polls with many items, runs and engines.

use crate::dispatch::{engine, Harness};

const ENGINES: usize = 48;
const SLOTS: usize = 8;
const JOBS: usize = 6;
const ITEMS: usize = 208;

fn oversubscribed_harness() -> Harness {
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

/// Guards against evaluating all engines for each waiting item on each poll.
#[test]
fn waiting_items_cost_nothing_while_all_slots_are_occupied() {
    let mut harness = oversubscribed_harness();
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
    let evaluated = harness.dispatcher.engines_weighed() - before;
    assert!(
        evaluated <= (JOBS * ENGINES) as u64,
        "{evaluated} engines evaluated"
    );
}

#[test]
fn a_free_slot_is_used_by_the_next_poll() {
    let mut harness = oversubscribed_harness();
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
    // The remaining items are not evaluated against occupied engines.
    let evaluated = harness.dispatcher.engines_weighed() - before;
    assert!(
        evaluated <= (2 * JOBS * ENGINES) as u64,
        "{evaluated} engines evaluated"
    );
}

/// Guards against evaluating all engines for each run that is checked.
#[test]
fn checking_runs_evaluates_engines_only_for_runs_that_may_move() {
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

/// Guards against long polls: heartbeats are not sent while a poll starts runs.
#[test]
fn the_number_of_starts_per_poll_is_bounded() {
    const MAX_STARTS: usize = 24;
    let mut harness = oversubscribed_harness();
    let mut before = 0;
    let mut polls = 0;
    while harness.started.len() < ENGINES * SLOTS {
        harness.poll();
        let started = harness.started.len() - before;
        before = harness.started.len();
        assert!(
            started > 0 && started <= MAX_STARTS,
            "{started} runs started in one poll"
        );
        let is_full = before == ENGINES * SLOTS;
        let has_backlog = harness.dispatcher.has_backlog();
        assert!(
            is_full || has_backlog,
            "an incomplete poll reports no backlog"
        );
        polls += 1;
    }
    assert!(polls <= ENGINES * SLOTS / 8, "{polls} polls");
}

/// 1,500 items are open, and one slot becomes free before each poll. Guards against sorting all
/// waiting items on each poll.
#[test]
fn the_cost_of_a_poll_does_not_depend_on_the_number_of_open_items() {
    const POLLS: usize = 150;
    const MAX_VISITED: u64 = 400;
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
    let start = std::time::Instant::now();
    for poll in 0..POLLS {
        let run = harness.started[poll].run;
        harness.head(run, 200, 5);
        harness.data(run, "1|0|one\n");
        harness.part(run, peatgrade_jobs::RunPart::End);
        harness.wait(4);
        assert_eq!(harness.started.len(), 38 * 6 + poll + 1);
    }
    let visited = (harness.dispatcher.items_visited() - before) / POLLS as u64;
    println!(
        "{visited} items visited and {} us per poll",
        start.elapsed().as_micros() as usize / POLLS
    );
    assert!(visited <= MAX_VISITED, "{visited} items visited per poll");
}
