//! Which groups are whole in time while steps of two ranks ask for more than there are
//! places for: the load is played, and what trainers get is counted.

use crate::dispatch::{engine, Scene};
use peatgrade_jobs::{RunId, RunPart};
use peatgrade_scheduling::ItemOrder;
use peatgrade_types::{Duration, Time};
use std::collections::HashMap;

/// Time between two events of a text.
const EVENT_MS: u64 = 45;
const TICK_MS: u64 = 15;
/// After its results were due, a trainer gives a step up so much later.
const PATIENCE: Duration = Duration::from_millis(3_000);

/// A run: its text's length in events, and those that it has made.
struct Running {
    run: RunId,
    length: u64,
    events: u64,
}

/// A step that its trainer waits for.
struct OpenStep {
    job: String,
    is_urgent: bool,
    submitted: Time,
    groups: usize,
    group_size: usize,
}

/// Groups of one rank: those that were due, and those whole in time.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Outcome {
    due: usize,
    in_time: usize,
}

struct Load {
    scene: Scene,
    lengths: HashMap<String, u64>,
    running: Vec<Running>,
    seen: usize,
    open: Vec<OpenStep>,
    /// By rank: the urgent one, the other.
    outcomes: [Outcome; 2],
}

/// Texts of a group: mostly short ones, and a long one in every fourth group.
fn texts_of_group(number: usize, size: usize) -> Vec<u64> {
    (0..size)
        .map(|index| match (number * 5 + index * 7) % 32 {
            0 => 80,
            1..=6 => 26,
            _ => 12,
        })
        .collect()
}

impl Load {
    fn new(order: ItemOrder, engines: usize) -> Self {
        let engines = (0..engines).map(|number| engine(&format!("e{number}"), 5));
        let mut scene = Scene::new(engines.collect());
        scene.change_routes(|routes| {
            let mut urgent = routes[0].clone();
            urgent.name = "urgent".into();
            urgent.prefix = "/u/".into();
            urgent.priority = 0;
            routes.push(urgent);
        });
        scene.dispatcher.set_order(order);
        Self {
            scene,
            lengths: HashMap::new(),
            running: Vec::new(),
            seen: 0,
            open: Vec::new(),
            outcomes: [Outcome::default(); 2],
        }
    }

    fn submit(&mut self, job: &str, is_urgent: bool, groups: usize, group_size: usize) {
        let texts: Vec<Vec<u64>> = (0..groups)
            .map(|number| texts_of_group(number + job.len(), group_size))
            .collect();
        for (group, lengths) in texts.iter().enumerate() {
            for (index, length) in lengths.iter().enumerate() {
                self.lengths
                    .insert(format!("{job}-{group}-{index}"), *length);
            }
        }
        let path = if is_urgent { "/u/" } else { "/p/" };
        self.scene.submit_step(job, path, groups as u64, &texts);
        self.open.push(OpenStep {
            job: job.into(),
            is_urgent,
            submitted: self.scene.now,
            groups,
            group_size,
        });
    }

    fn tick(&mut self, number: usize) {
        self.scene.wait(TICK_MS);
        for started in self.scene.started[self.seen..].to_vec() {
            self.scene.head(started.run, 200, 5);
            self.running.push(Running {
                run: started.run,
                length: self.lengths[&started.item],
                events: started.after.unwrap_or(0),
            });
        }
        self.seen = self.scene.started.len();
        if number % (EVENT_MS / TICK_MS) as usize == 0 {
            self.make_events();
        }
        self.close_steps();
    }

    fn make_events(&mut self) {
        let cancelled = &self.scene.cancelled;
        self.running.retain(|run| !cancelled.contains(&run.run));
        for run in &mut self.running {
            run.events += 1;
            self.scene.data(run.run, &format!("{}|0|x\n", run.events));
        }
        let ended = self.running.extract_if(.., |run| run.events >= run.length);
        for run in ended.collect::<Vec<_>>() {
            self.scene.part(run.run, RunPart::End);
        }
    }

    /// Trainers end steps that are whole, or that they give up.
    fn close_steps(&mut self) {
        let now = self.scene.now;
        let due_after = Duration::from_secs(7);
        let mut still_open = Vec::new();
        for step in std::mem::take(&mut self.open) {
            let all = step.groups * step.group_size;
            let results = self.scene.store.get(&step.job).unwrap().results.len();
            let given_up = now >= step.submitted + due_after + PATIENCE;
            if results < all && !given_up {
                still_open.push(step);
                continue;
            }
            let outcome = &mut self.outcomes[usize::from(!step.is_urgent)];
            outcome.due += step.groups;
            outcome.in_time += groups_listed_by(&self.scene, &step, step.submitted + due_after);
            self.scene.end(&step.job);
        }
        self.open = still_open;
    }
}

fn groups_listed_by(scene: &Scene, step: &OpenStep, until: Time) -> usize {
    let job = scene.store.get(&step.job).unwrap();
    let listed = job.results.iter().filter(|r| r.known_since <= until);
    let mut items: HashMap<usize, usize> = HashMap::new();
    for result in listed {
        *items.entry(result.item / step.group_size).or_insert(0) += 1;
    }
    items
        .values()
        .filter(|count| **count == step.group_size)
        .count()
}

/// A step of each rank each 2 s for 24 s, for 64 places: 8 urgent groups and 20 others of
/// 8 texts, a third more than can be made.
fn play(order: ItemOrder) -> [Outcome; 2] {
    let mut load = Load::new(order, 16);
    for number in 0..2_400 {
        if number % 133 == 0 && number < 1_600 {
            load.submit(&format!("o{number}"), false, 20, 8);
            load.submit(&format!("u{number}"), true, 8, 8);
        }
        load.tick(number);
    }
    assert!(load.open.is_empty(), "all steps are closed");
    load.outcomes
}

#[test]
fn groups_are_whole_in_time_before_all_come_late() {
    let arrival = play(ItemOrder::Arrival);
    let planned = play(ItemOrder::GroupsInTime);
    println!("arrival {arrival:?}, planned {planned:?}");
    let [urgent, other] = planned;
    assert_eq!(urgent.in_time, urgent.due, "the urgent rank is served");
    assert!(other.in_time * 2 >= other.due, "{other:?}");
}
