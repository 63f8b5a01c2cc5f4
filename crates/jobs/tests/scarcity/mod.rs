//! Tests of planning under overload: simulates trainers whose steps need more slots than there
//! are, and counts the groups that complete in time.

use crate::dispatch::{engine, Harness};
use peatgrade_jobs::{RunId, RunPart};
use peatgrade_scheduling::{Admission, ItemOrder};
use peatgrade_schema::replication::{AcceptJob, JobItem};
use peatgrade_types::{Duration, Time};
use rstest::rstest;
use std::collections::HashMap;

/// Time between two events of a text.
const EVENT_MS: u64 = 45;
const TICK_MS: u64 = 15;
/// Time after the deadline at which a trainer gives up a step.
const GIVE_UP_DELAY: Duration = Duration::from_millis(3_000);
const DUE_AFTER: Duration = Duration::from_secs(7);
const STEP_INTERVAL: Duration = Duration::from_secs(4);
const TRAINING_TIME: Duration = Duration::from_millis(500);
/// Total steps of each trainer.
const STEPS: u64 = 6;
const MAX_OPEN_STEPS: usize = 2;
const GROUP_SIZE: usize = 8;

/// An active run: the final length of its text in events, and its events so far.
struct SimulatedRun {
    run: RunId,
    length: u64,
    events: u64,
}

/// A trainer that submits steps at fixed intervals.
struct Trainer {
    name: &'static str,
    is_urgent: bool,
    /// Number of groups per step.
    groups: usize,
    submitted_steps: u64,
    open: Vec<OpenStep>,
    /// When training on its last step ends.
    trained_at: Time,
}

struct OpenStep {
    job: String,
    submitted: Time,
}

struct Simulation {
    harness: Harness,
    lengths: HashMap<String, u64>,
    running: Vec<SimulatedRun>,
    trainers: Vec<Trainer>,
    started_at: Time,
    /// Groups completed in time: urgent and other.
    in_time: [usize; 2],
}

/// Text lengths of a group: mostly short, and one long text in every fourth group.
fn text_lengths(number: usize) -> Vec<u64> {
    (0..GROUP_SIZE)
        .map(|index| match (number * 5 + index * 7) % 32 {
            0 => 80,
            1..=6 => 26,
            _ => 12,
        })
        .collect()
}

fn trainer(name: &'static str, is_urgent: bool, groups: usize) -> Trainer {
    Trainer {
        name,
        is_urgent,
        groups,
        submitted_steps: 0,
        open: Vec::new(),
        trained_at: Time(0),
    }
}

impl Simulation {
    fn new(order: ItemOrder, engines: usize) -> Self {
        let engines = (0..engines).map(|number| engine(&format!("e{number}"), 5));
        let mut harness = Harness::new(engines.collect());
        harness.change_routes(|routes| {
            let mut urgent = routes[0].clone();
            urgent.name = "urgent".into();
            urgent.prefix = "/u/".into();
            urgent.priority = 0;
            routes.push(urgent);
        });
        harness.dispatcher.set_order(order);
        let started_at = harness.now;
        Self {
            harness,
            lengths: HashMap::new(),
            running: Vec::new(),
            trainers: vec![
                trainer("a", true, 16),
                trainer("b", false, 20),
                trainer("c", false, 20),
            ],
            started_at,
            in_time: [0; 2],
        }
    }

    fn submit_due_steps(&mut self) {
        let now = self.harness.now;
        let mut trainers = std::mem::take(&mut self.trainers);
        for trainer in &mut trainers {
            let is_time =
                now.since(self.started_at) >= Duration(STEP_INTERVAL.0 * trainer.submitted_steps);
            let may_submit = trainer.open.len() < MAX_OPEN_STEPS && now >= trainer.trained_at;
            if is_time && may_submit && trainer.submitted_steps < STEPS {
                self.submit(trainer);
            }
        }
        self.trainers = trainers;
    }

    fn submit(&mut self, trainer: &mut Trainer) {
        let job = format!("{}{}", trainer.name, trainer.submitted_steps);
        let texts: Vec<Vec<u64>> = (0..trainer.groups)
            .map(|number| text_lengths(number + trainer.submitted_steps as usize))
            .collect();
        let path = if trainer.is_urgent { "/u/" } else { "/p/" };
        self.submit_texts(&job, path, &texts);
        trainer.submitted_steps += 1;
        trainer.open.push(OpenStep {
            job,
            submitted: self.harness.now,
        });
    }

    /// Submits a job whose groups have texts of these lengths.
    fn submit_texts(&mut self, job: &str, path: &str, texts: &[Vec<u64>]) {
        for (group, lengths) in texts.iter().enumerate() {
            for (index, length) in lengths.iter().enumerate() {
                let item = format!("{job}-{group}-{index}");
                self.lengths.insert(item, *length);
            }
        }
        self.harness
            .submit_step(job, path, texts.len() as u64, texts);
    }

    fn tick(&mut self, number: usize) {
        self.harness.wait(TICK_MS);
        for started in std::mem::take(&mut self.harness.started) {
            self.harness.head(started.run, 200, 5);
            self.running.push(SimulatedRun {
                run: started.run,
                length: self.lengths[&started.item],
                events: started.after.unwrap_or(0),
            });
        }
        if number.is_multiple_of((EVENT_MS / TICK_MS) as usize) {
            self.send_events();
        }
        self.close_steps();
    }

    fn send_events(&mut self) {
        let cancelled = &self.harness.cancelled;
        self.running.retain(|run| !cancelled.contains(&run.run));
        for run in &mut self.running {
            run.events += 1;
            self.harness.data(run.run, &format!("{}|0|x\n", run.events));
        }
        let ended = self.running.extract_if(.., |run| run.events >= run.length);
        for run in ended.collect::<Vec<_>>() {
            self.harness.part(run.run, RunPart::End);
        }
    }

    /// Ends the steps that are complete or given up by their trainer.
    fn close_steps(&mut self) {
        let now = self.harness.now;
        let mut trainers = std::mem::take(&mut self.trainers);
        for trainer in &mut trainers {
            let total = trainer.groups * GROUP_SIZE;
            let mut still_open = Vec::new();
            for step in std::mem::take(&mut trainer.open) {
                let results = self.harness.store.get(&step.job).unwrap().results.len();
                let given_up = now >= step.submitted + DUE_AFTER + GIVE_UP_DELAY;
                if results < total && !given_up {
                    still_open.push(step);
                    continue;
                }
                let index = usize::from(!trainer.is_urgent);
                self.in_time[index] += groups_in_time(&self.harness, &step);
                self.harness.end(&step.job);
                trainer.trained_at = now + TRAINING_TIME;
            }
            trainer.open = still_open;
        }
        self.trainers = trainers;
    }
}

fn groups_in_time(harness: &Harness, step: &OpenStep) -> usize {
    let job = harness.store.get(&step.job).unwrap();
    let until = step.submitted + DUE_AFTER;
    let listed = job.results.iter().filter(|r| r.known_since <= until);
    let mut items: HashMap<usize, usize> = HashMap::new();
    for result in listed {
        *items.entry(result.item / GROUP_SIZE).or_insert(0) += 1;
    }
    items.values().filter(|count| **count == GROUP_SIZE).count()
}

/// Simulates an urgent and two other trainers, which need a third more slots than there are.
/// Returns the groups completed in time, urgent and other.
fn simulate(order: ItemOrder) -> [usize; 2] {
    let mut simulation = Simulation::new(order, 16);
    for number in 0..2_400 {
        if number < 1_600 {
            simulation.submit_due_steps();
        }
        simulation.tick(number);
    }
    simulation.in_time
}

/// Guards against an overload in which all groups are late instead of only some.
#[test]
fn planning_completes_urgent_and_other_groups_in_time() {
    let [urgent, other] = simulate(ItemOrder::GroupsInTime);
    assert!(
        urgent >= 92 && urgent + other >= 240,
        "{urgent} urgent and {other} other groups in time"
    );
}

/// Guards against planning although it is disabled by the setting.
#[test]
fn arrival_order_ignores_priorities() {
    let [urgent, _] = simulate(ItemOrder::Arrival);
    assert!(urgent < 70, "{urgent} urgent groups in time");
}

/// Completes some texts, so that lengths and paces are known.
fn warm_up(simulation: &mut Simulation) {
    simulation.submit_texts("warm-up", "/p/", &[vec![12; 16]]);
    for number in 0..600 {
        simulation.tick(number);
    }
    simulation.harness.end("warm-up");
}

/// Urgent work occupies all slots for 180 s, and items expire after 40 s. A job is accepted only
/// if its group fits in its guaranteed slot within that time.
#[rstest]
#[case::does_not_fit(16, Some(17..=18))]
#[case::fits_in_guaranteed_slots(8, None)]
fn an_infeasible_job_is_refused_with_a_retry_delay(
    #[case] texts: usize,
    #[case] retry_after_s: Option<std::ops::RangeInclusive<u64>>,
) {
    let mut simulation = Simulation::new(ItemOrder::GroupsInTime, 1);
    warm_up(&mut simulation);
    simulation.submit_texts("urgent", "/u/", &[vec![80; 200]]);
    simulation.harness.wait(15);
    let job = AcceptJob {
        job: "other".into(),
        host: "h".into(),
        path: "/p/".into(),
        model: "m".into(),
        items: (0..texts).map(|number| text(number, 80)).collect(),
        ..AcceptJob::default()
    };
    let harness = &mut simulation.harness;
    let (now, configuration) = (harness.now, &harness.configuration);
    let admission = harness
        .dispatcher
        .admit_job(now, &job, configuration, &harness.directory);
    match (admission, retry_after_s) {
        (Admission::Accepted, None) => {}
        (Admission::Refused { retry_after }, Some(expected)) => {
            let seconds = retry_after.as_millis() / 1_000;
            assert!(expected.contains(&seconds), "retry after {seconds} s");
        }
        (other, expected) => panic!("got {other:?}, expected a retry delay of {expected:?} s"),
    }
}

fn text(number: usize, length: u64) -> JobItem {
    JobItem {
        id: format!("other-{number}"),
        path: "/p/x".into(),
        group: "g".into(),
        length_hint: length,
        ..JobItem::default()
    }
}

#[test]
fn a_group_that_needs_one_item_gets_the_next_slot() {
    let mut simulation = Simulation::new(ItemOrder::GroupsInTime, 1);
    warm_up(&mut simulation);
    simulation.harness.started.clear();
    simulation.submit_texts("j", "/p/", &[vec![12; 8], vec![12; 5]]);
    simulation.harness.wait(15);
    // The second group occupies all four slots and needs one more item.
    let started: Vec<String> = simulation
        .harness
        .started
        .iter()
        .map(|s| s.item.clone())
        .collect();
    assert!(
        started.iter().all(|item| item.starts_with("j-1-")),
        "{started:?}"
    );
    let run = simulation.harness.started[0].run;
    simulation.harness.head(run, 200, 5);
    simulation.harness.data(run, "1|0|x\n");
    simulation.harness.part(run, RunPart::End);
    simulation.harness.wait(15);
    let next = simulation.harness.last_started().item;
    assert!(next.starts_with("j-1-"), "{next}");
}

/// 1,500 items of two priorities are open, and one slot becomes free before each poll. Guards
/// against planning all items on each poll.
#[test]
fn the_cost_of_a_planned_poll_does_not_depend_on_the_number_of_open_items() {
    const POLLS: usize = 100;
    const MAX_VISITED: u64 = 400;
    let mut simulation = Simulation::new(ItemOrder::GroupsInTime, 57);
    warm_up(&mut simulation);
    simulation.harness.started.clear();
    for job in 0..10 {
        let path = if job % 2 == 0 { "/p/" } else { "/u/" };
        let texts = vec![vec![12; 10]; 15];
        simulation.submit_texts(&format!("j{job}"), path, &texts);
    }
    simulation.harness.poll_until_started();
    let before = simulation.harness.dispatcher.items_visited();
    let start = std::time::Instant::now();
    for poll in 0..POLLS {
        let run = simulation.harness.started[poll].run;
        simulation.harness.head(run, 200, 5);
        simulation.harness.data(run, "1|0|x\n");
        simulation.harness.part(run, RunPart::End);
        simulation.harness.wait(4);
    }
    let micros = start.elapsed().as_micros() as usize / POLLS;
    let visited = (simulation.harness.dispatcher.items_visited() - before) / POLLS as u64;
    println!("{visited} items visited and {micros} us per poll");
    assert!(visited <= MAX_VISITED, "{visited} items visited per poll");
}
