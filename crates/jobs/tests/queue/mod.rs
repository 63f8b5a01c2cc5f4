//! Tests of the order in which items start when there are more items than slots.

use crate::dispatch::{engine, Harness};
use peatgrade_jobs::{RunId, RunPart};

/// Time within which all long items must start.
const MAX_LONG_START_MS: u64 = 200;
/// Slots of an engine.
const SLOTS: usize = 4;

/// IDs of the items of a job. Every eighth item is expected to be long.
fn item_ids(job: &str, count: usize) -> Vec<String> {
    (0..count)
        .map(|index| match index % 8 {
            0 => format!("{job}-long-{index}"),
            _ => format!("{job}-{index}"),
        })
        .collect()
}

fn submit(harness: &mut Harness, job: &str, count: usize) {
    let ids = item_ids(job, count);
    let ids: Vec<&str> = ids.iter().map(String::as_str).collect();
    harness.submit(job, 5, &ids);
}

#[test]
fn long_items_of_a_later_job_start_before_short_items_of_an_earlier_job() {
    let mut harness = Harness::new(vec![engine("a", 5)]);
    submit(&mut harness, "j", 16);
    harness.wait(15);
    submit(&mut harness, "k", 16);
    let occupied = harness.started.len();
    assert_eq!(occupied, SLOTS, "the first job occupies all slots");
    // Each slot that becomes free goes to an item that is expected to be long.
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

/// An active run, when its text ends and the number of its events so far.
struct SimulatedRun {
    run: RunId,
    ends: u64,
    events: u64,
}

/// Three jobs of 64 items are submitted for 64 slots. Guards against long items that wait behind
/// short items of earlier jobs.
#[test]
fn long_items_start_early_when_several_jobs_arrive_at_once() {
    const JOBS: [&str; 3] = ["j", "k", "l"];
    const ITEMS: usize = 64;
    const TICK_MS: u64 = 15;
    let engines = (0..16).map(|number| engine(&format!("e{number}"), 5));
    let mut harness = Harness::new(engines.collect());
    let start = harness.now;
    let mut running: Vec<SimulatedRun> = Vec::new();
    let (mut last_long, mut handled) = (0, 0);
    for tick in 0..200 {
        if let Some(job) = JOBS.get(tick) {
            submit(&mut harness, job, ITEMS);
        }
        harness.wait(TICK_MS);
        let now = harness.now.since(start).as_millis();
        let new_runs: Vec<_> = harness.started[handled..].to_vec();
        for started in new_runs {
            harness.head(started.run, 200, 5);
            let is_long = started.item.contains("long");
            if is_long {
                last_long = now;
            }
            running.push(SimulatedRun {
                run: started.run,
                ends: now + if is_long { 7_000 } else { 500 },
                events: 0,
            });
        }
        handled = harness.started.len();
        if tick % 3 == 0 {
            for run in &mut running {
                run.events += 1;
                harness.data(run.run, &format!("{}|0|x\n", run.events));
            }
        }
        let ended: Vec<SimulatedRun> = running.extract_if(.., |run| now >= run.ends).collect();
        for run in ended {
            harness.part(run.run, RunPart::End);
        }
    }
    let started = harness.started.len();
    assert!(
        started >= JOBS.len() * ITEMS,
        "only {started} items started"
    );
    assert!(
        last_long <= MAX_LONG_START_MS,
        "last long item started after {last_long} ms"
    );
}

/// Guards against a tenant with a large backlog that starves a tenant with few items.
#[test]
fn a_tenant_with_a_backlog_does_not_starve_another() {
    const TICK_MS: u64 = 15;
    let engines = (0..16).map(|number| engine(&format!("e{number}"), 5));
    let mut harness = Harness::new(engines.collect());
    let large: Vec<String> = (0..400).map(|number| format!("g{number}")).collect();
    let large: Vec<&str> = large.iter().map(String::as_str).collect();
    harness.submit_for("large", "j", &large);
    let small: Vec<String> = (0..16).map(|number| format!("s{number}")).collect();
    let small: Vec<&str> = small.iter().map(String::as_str).collect();
    let mut running: Vec<SimulatedRun> = Vec::new();
    let (mut last_small, mut handled) = (0, 0);
    let start = harness.now;
    for tick in 0..400 {
        if tick == 20 {
            harness.submit_for("small", "k", &small);
        }
        harness.wait(TICK_MS);
        let now = harness.now.since(start).as_millis();
        let new_runs: Vec<_> = harness.started[handled..].to_vec();
        for started in new_runs {
            harness.head(started.run, 200, 5);
            if started.item.starts_with('s') {
                last_small = now - 20 * TICK_MS;
            }
            running.push(SimulatedRun {
                run: started.run,
                ends: now + 500,
                events: 0,
            });
        }
        handled = harness.started.len();
        if tick % 3 == 0 {
            for run in &mut running {
                run.events += 1;
                harness.data(run.run, &format!("{}|0|x\n", run.events));
            }
        }
        let ended: Vec<SimulatedRun> = running.extract_if(.., |run| now >= run.ends).collect();
        for run in ended {
            harness.part(run.run, RunPart::End);
        }
    }
    let started = harness.started.iter().filter(|s| s.item.starts_with('s'));
    assert_eq!(started.count(), small.len());
    assert!(
        last_small <= 500,
        "last item of the small tenant started after {last_small} ms"
    );
}

/// Guards against items that wait although engines are free, because the engines that are
/// considered are the fastest ones and all of their slots are occupied.
#[test]
fn an_item_starts_on_a_slow_engine_while_the_fastest_hundred_are_full() {
    let engines = (0..200).map(|number| engine(&format!("e-{number:03}"), 5));
    let mut harness = Harness::new(engines.collect());
    for number in 0..200 {
        let name = format!("e-{number:03}");
        harness.set_pace(&name, if number < 100 { 20 } else { 30 });
        if number < 100 {
            harness.set_running(&name, 4);
        }
    }
    harness.submit("j", 5, &["i"]);
    harness.wait(2_000);
    let started = &harness.started;
    assert!(!started.is_empty(), "no engine was chosen");
    assert!(started[0].engine.as_str() >= "e-100");
}
