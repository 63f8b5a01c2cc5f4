//! Tests of the placement and moving of items by the paces of engines.

use super::dispatch::{engine, Harness};

/// Sends the events `from..=to` of a run, one per `millis`.
fn stream(harness: &mut Harness, run: peatgrade_jobs::RunId, from: u64, to: u64, millis: u64) {
    for event in from..=to {
        harness.wait(millis);
        harness.data(run, &format!("{event}|0|x\n"));
    }
}

#[test]
fn a_text_expected_to_be_long_moves_to_a_faster_engine_after_a_few_events() {
    let mut harness = Harness::new(vec![engine("a", 5), engine("b", 5)]);
    harness.set_pace("a", 40);
    harness.set_pace("b", 52);
    harness.set_running("a", 4);
    harness.submit("j", 5, &["i", "k", "long"]);
    harness.poll();
    let runs: Vec<_> = harness.started.clone();
    assert!(runs.iter().all(|run| run.engine == "b"), "{runs:?}");
    harness.set_running("a", 0);
    for run in &runs {
        harness.head(run.run, 200, 5);
    }
    for event in 1..=8 {
        harness.wait(52);
        for run in &runs {
            harness.data(run.run, &format!("{event}|0|x\n"));
        }
    }
    // Only the long item moves; it was started first.
    assert_eq!(harness.cancelled, vec![runs[0].run]);
    assert_eq!(harness.last_started().engine, "a");
}

#[test]
fn a_run_moves_soon_after_its_engine_becomes_slow() {
    let mut harness = Harness::new(vec![engine("a", 5), engine("b", 5), engine("c", 5)]);
    harness.submit("j", 5, &["i"]);
    harness.poll();
    let first = harness.last_started();
    harness.head(first.run, 200, 5);
    for other in ["a", "b", "c"] {
        harness.set_pace(other, 40);
    }
    stream(&mut harness, first.run, 1, 15, 40);
    assert!(harness.cancelled.is_empty());
    // From now on events take 3.5 times as long.
    let slow_since = harness.now;
    for event in 16..=30 {
        harness.wait(140);
        if harness.cancelled.contains(&first.run) {
            break;
        }
        harness.data(first.run, &format!("{event}|0|x\n"));
    }
    assert_ne!(harness.last_started().engine, first.engine);
    let elapsed = harness.now.since(slow_since).as_millis();
    assert!(elapsed <= 600, "the run moved after {elapsed} ms");
}

#[test]
fn items_go_to_fuller_engines_rather_than_to_a_slow_one() {
    let mut harness = Harness::new(vec![engine("a", 5), engine("b", 5), engine("c", 5)]);
    harness.set_pace("a", 150);
    harness.set_pace("b", 40);
    harness.set_pace("c", 40);
    // The reservation of slots for long items must not push short items to a slow engine.
    let service = peatgrade_ports::Service {
        slots: 4,
        ..Default::default()
    };
    harness
        .configuration
        .services
        .insert("models".into(), service);
    harness.submit("j", 5, &["1", "2", "3", "4", "5", "6", "long"]);
    harness.poll();
    assert_eq!(harness.started.len(), 7);
    let slow = harness.started.iter().filter(|run| run.engine == "a");
    assert_eq!(slow.count(), 0, "{:?}", harness.started);
}

#[test]
fn a_formerly_slow_engine_is_probed_with_one_item() {
    let mut harness = Harness::new(vec![engine("a", 5), engine("b", 5), engine("c", 5)]);
    harness.set_pace("a", 150);
    harness.set_pace("b", 40);
    harness.set_pace("c", 40);
    harness.wait(5_000);
    harness.submit("j", 5, &["1", "2", "3", "4", "5", "6"]);
    harness.poll();
    let probes = harness.started.iter().filter(|run| run.engine == "a");
    assert_eq!(probes.count(), 1, "{:?}", harness.started);
}

/// Guards against moving runs when the leader was paused and received all events late.
#[test]
fn a_pause_of_the_leader_marks_no_engine_as_slow() {
    let names = ["a", "b", "c", "d", "e", "f"];
    let mut harness = Harness::new(names.iter().map(|name| engine(name, 5)).collect());
    let items: Vec<String> = (0..6).map(|item| format!("i{item}")).collect();
    let items: Vec<&str> = items.iter().map(String::as_str).collect();
    harness.submit("j", 5, &items);
    harness.poll_until_started();
    let runs: Vec<_> = harness.started.clone();
    for run in &runs {
        harness.head(run.run, 200, 5);
    }
    let mut event = 0;
    for gap in [78, 78, 78, 78, 78, 78, 390, 20, 20, 78, 78, 420, 78, 78] {
        event += 1;
        harness.now += peatgrade_types::Duration::from_millis(gap);
        for run in &runs {
            harness.data(run.run, &format!("{event}|0|x\n"));
            harness.poll();
        }
    }
    assert!(harness.cancelled.is_empty(), "{:?}", harness.started);
}

/// Guards against moving runs because of uneven batches of events: streams are read every 150 ms,
/// and events take 78 ms.
#[test]
fn the_first_events_of_runs_mark_no_engine_as_slow() {
    let mut harness = Harness::new(vec![engine("a", 5)]);
    harness.submit("j", 5, &["i", "k"]);
    harness.poll();
    let runs: Vec<_> = harness.started.clone();
    assert!(runs.iter().all(|run| run.engine == "a"));
    for name in ["b", "c", "d"] {
        harness.add_engine(engine(name, 5));
        harness.set_pace(name, 78);
    }
    for run in &runs {
        harness.head(run.run, 200, 5);
        harness.data(run.run, "1|0|x\n");
    }
    for events in ["2|0|x\n", "3|0|x\n4|0|x\n", "5|0|x\n6|0|x\n"] {
        harness.wait(150);
        for run in &runs {
            harness.data(run.run, events);
        }
        harness.wait(1);
    }
    assert!(harness.cancelled.is_empty(), "{:?}", harness.started);
}
