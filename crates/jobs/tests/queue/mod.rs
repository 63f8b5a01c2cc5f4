//! Which items go first while places are scarce: three steps are handed in at once, and
//! engines with weights that they allow have places for a part of them.

use crate::dispatch::{engine, Harness};
use peatgrade_jobs::{RunId, RunPart};

/// Within which all long texts must run.
const LIMIT_MS: u64 = 200;
/// Places of an engine in these tests.
const SLOTS: usize = 4;

/// Items of a job by name; one in eight is expected to be long.
fn names(job: &str, count: usize) -> Vec<String> {
    (0..count)
        .map(|index| match index % 8 {
            0 => format!("{job}-long-{index}"),
            _ => format!("{job}-{index}"),
        })
        .collect()
}

fn submit(harness: &mut Harness, job: &str, count: usize) {
    let names = names(job, count);
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    harness.submit(job, 5, &names);
}

#[test]
fn long_texts_of_a_later_job_go_before_short_ones_of_an_earlier() {
    let mut harness = Harness::new(vec![engine("a", 5)]);
    submit(&mut harness, "j", 16);
    harness.wait(15);
    submit(&mut harness, "k", 16);
    let taken = harness.started.len();
    assert_eq!(taken, SLOTS, "the first job has taken all places");
    // A place falls free after the other, and each goes to what is expected to be long.
    for next in 0..2 {
        let short = harness
            .started
            .iter()
            .position(|s| !s.item.contains("long"));
        let run = harness.started.remove(short.unwrap()).run;
        harness.head(run, 200, 5);
        harness.data(run, "1|0|one\n");
        harness.part(run, RunPart::End);
        harness.wait(15);
        let last = harness.last_started();
        assert!(last.item.starts_with("k-long"), "{next}: {}", last.item);
    }
}

/// A run of the load: when its text ends, and its events so far.
struct LoadRun {
    run: RunId,
    ends: u64,
    events: u64,
}

/// The load of a heavy moment: three jobs of 64 items within 30 ms before engines with 64
/// places; an event takes 45 ms, short texts 0.5 s, long ones 7 s. All long ones run
/// within 0.05 s (1.11 s when items went by the age of their job), so that the last text
/// of the last step is whole as much sooner.
#[test]
fn the_last_long_text_of_a_heavy_moment_begins_soon() {
    const JOBS: [&str; 3] = ["j", "k", "l"];
    const ITEMS: usize = 64;
    const TICK_MS: u64 = 15;
    let engines = (0..16).map(|number| engine(&format!("e{number}"), 5));
    let mut harness = Harness::new(engines.collect());
    let begun = harness.now;
    let mut running: Vec<LoadRun> = Vec::new();
    let (mut last_long, mut seen) = (0, 0);
    for tick in 0..200 {
        if let Some(job) = JOBS.get(tick) {
            submit(&mut harness, job, ITEMS);
        }
        harness.wait(TICK_MS);
        let now = harness.now.since(begun).as_millis();
        let fresh: Vec<_> = harness.started[seen..].to_vec();
        for started in fresh {
            harness.head(started.run, 200, 5);
            let is_long = started.item.contains("long");
            if is_long {
                last_long = now;
            }
            running.push(LoadRun {
                run: started.run,
                ends: now + if is_long { 7_000 } else { 500 },
                events: 0,
            });
        }
        seen = harness.started.len();
        if tick % 3 == 0 {
            for run in &mut running {
                run.events += 1;
                harness.data(run.run, &format!("{}|0|x\n", run.events));
            }
        }
        let ended: Vec<LoadRun> = running.extract_if(.., |run| now >= run.ends).collect();
        for run in ended {
            harness.part(run.run, RunPart::End);
        }
    }
    let begun = harness.started.len();
    assert!(begun >= JOBS.len() * ITEMS, "only {begun} have begun");
    assert!(last_long <= LIMIT_MS, "{last_long} ms");
}

/// One tenant has handed in far more than there are places for when another comes: its 16
/// items begin within 0.26 s (2.91 s when items went by the age of their job).
#[test]
fn a_greedy_tenant_keeps_no_places_from_another() {
    const TICK_MS: u64 = 15;
    let engines = (0..16).map(|number| engine(&format!("e{number}"), 5));
    let mut harness = Harness::new(engines.collect());
    let greedy: Vec<String> = (0..400).map(|number| format!("g{number}")).collect();
    let greedy: Vec<&str> = greedy.iter().map(String::as_str).collect();
    harness.submit_for("greedy", "j", &greedy);
    let small: Vec<String> = (0..16).map(|number| format!("s{number}")).collect();
    let small: Vec<&str> = small.iter().map(String::as_str).collect();
    let mut running: Vec<LoadRun> = Vec::new();
    let (mut last_small, mut seen) = (0, 0);
    let begun = harness.now;
    for tick in 0..400 {
        if tick == 20 {
            harness.submit_for("small", "k", &small);
        }
        harness.wait(TICK_MS);
        let now = harness.now.since(begun).as_millis();
        let fresh: Vec<_> = harness.started[seen..].to_vec();
        for started in fresh {
            harness.head(started.run, 200, 5);
            if started.item.starts_with('s') {
                last_small = now - 20 * TICK_MS;
            }
            running.push(LoadRun {
                run: started.run,
                ends: now + 500,
                events: 0,
            });
        }
        seen = harness.started.len();
        if tick % 3 == 0 {
            for run in &mut running {
                run.events += 1;
                harness.data(run.run, &format!("{}|0|x\n", run.events));
            }
        }
        let ended: Vec<LoadRun> = running.extract_if(.., |run| now >= run.ends).collect();
        for run in ended {
            harness.part(run.run, RunPart::End);
        }
    }
    let begun = harness.started.iter().filter(|s| s.item.starts_with('s'));
    assert_eq!(begun.count(), small.len());
    assert!(last_small <= 500, "{last_small} ms");
}
