//! Which items go first while places are scarce: three steps are handed in at once, and
//! engines with weights that they allow have places for a part of them.

use crate::dispatch::{engine, Scene};
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

fn submit(scene: &mut Scene, job: &str, count: usize) {
    let names = names(job, count);
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    scene.submit(job, 5, &names);
}

#[test]
fn long_texts_of_a_later_job_go_before_short_ones_of_an_earlier() {
    let mut scene = Scene::new(vec![engine("a", 5)]);
    submit(&mut scene, "j", 16);
    scene.wait(15);
    submit(&mut scene, "k", 16);
    let taken = scene.started.len();
    assert_eq!(taken, SLOTS, "the first job has taken all places");
    // A place falls free after the other, and each goes to what is expected to be long.
    for next in 0..2 {
        let short = scene.started.iter().position(|s| !s.item.contains("long"));
        let run = scene.started.remove(short.unwrap()).run;
        scene.head(run, 200, 5);
        scene.data(run, "1|0|one\n");
        scene.part(run, RunPart::End);
        scene.wait(15);
        let last = scene.last();
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
    let mut scene = Scene::new(engines.collect());
    let begun = scene.now;
    let mut running: Vec<LoadRun> = Vec::new();
    let (mut last_long, mut seen) = (0, 0);
    for tick in 0..200 {
        if let Some(job) = JOBS.get(tick) {
            submit(&mut scene, job, ITEMS);
        }
        scene.wait(TICK_MS);
        let now = scene.now.since(begun).as_millis();
        let fresh: Vec<_> = scene.started[seen..].to_vec();
        for started in fresh {
            scene.head(started.run, 200, 5);
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
        seen = scene.started.len();
        if tick % 3 == 0 {
            for run in &mut running {
                run.events += 1;
                scene.data(run.run, &format!("{}|0|x\n", run.events));
            }
        }
        let ended: Vec<LoadRun> = running.extract_if(.., |run| now >= run.ends).collect();
        for run in ended {
            scene.part(run.run, RunPart::End);
        }
    }
    let begun = scene.started.len();
    assert!(begun >= JOBS.len() * ITEMS, "only {begun} have begun");
    assert!(last_long <= LIMIT_MS, "{last_long} ms");
}

/// One tenant has handed in far more than there are places for when another comes: its 16
/// items begin within 0.26 s (2.91 s when items went by the age of their job).
#[test]
fn a_greedy_tenant_keeps_no_places_from_another() {
    const TICK_MS: u64 = 15;
    let engines = (0..16).map(|number| engine(&format!("e{number}"), 5));
    let mut scene = Scene::new(engines.collect());
    let greedy: Vec<String> = (0..400).map(|number| format!("g{number}")).collect();
    let greedy: Vec<&str> = greedy.iter().map(String::as_str).collect();
    scene.submit_for("greedy", "j", &greedy);
    let small: Vec<String> = (0..16).map(|number| format!("s{number}")).collect();
    let small: Vec<&str> = small.iter().map(String::as_str).collect();
    let mut running: Vec<LoadRun> = Vec::new();
    let (mut last_small, mut seen) = (0, 0);
    let begun = scene.now;
    for tick in 0..400 {
        if tick == 20 {
            scene.submit_for("small", "k", &small);
        }
        scene.wait(TICK_MS);
        let now = scene.now.since(begun).as_millis();
        let fresh: Vec<_> = scene.started[seen..].to_vec();
        for started in fresh {
            scene.head(started.run, 200, 5);
            if started.item.starts_with('s') {
                last_small = now - 20 * TICK_MS;
            }
            running.push(LoadRun {
                run: started.run,
                ends: now + 500,
                events: 0,
            });
        }
        seen = scene.started.len();
        if tick % 3 == 0 {
            for run in &mut running {
                run.events += 1;
                scene.data(run.run, &format!("{}|0|x\n", run.events));
            }
        }
        let ended: Vec<LoadRun> = running.extract_if(.., |run| now >= run.ends).collect();
        for run in ended {
            scene.part(run.run, RunPart::End);
        }
    }
    let begun = scene.started.iter().filter(|s| s.item.starts_with('s'));
    assert_eq!(begun.count(), small.len());
    assert!(last_small <= 500, "{last_small} ms");
}
