//! Which groups are whole in time while steps of two ranks ask for more than there are
//! places for: the load is played, and what trainers get is counted.

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
/// After its results were due, a trainer gives a step up so much later.
const PATIENCE: Duration = Duration::from_millis(3_000);
const DUE_AFTER: Duration = Duration::from_secs(7);
const STEP_EVERY: Duration = Duration::from_secs(4);
const TRAINING: Duration = Duration::from_millis(500);
/// Steps of each trainer, and those that it has open at most.
const STEPS: u64 = 6;
const STEPS_OPEN: usize = 2;
const GROUP_SIZE: usize = 8;

/// A run: its text's length in events, and those that it has made.
struct Running {
    run: RunId,
    length: u64,
    events: u64,
}

/// A trainer: it asks for a step each four seconds, and has two open at most.
struct Trainer {
    name: &'static str,
    is_urgent: bool,
    /// Groups of 8 texts in a step.
    groups: usize,
    asked: u64,
    open: Vec<OpenStep>,
    /// When it has trained on its last step.
    trained: Time,
}

/// A step that its trainer waits for.
struct OpenStep {
    job: String,
    submitted: Time,
}

struct Load {
    harness: Harness,
    lengths: HashMap<String, u64>,
    running: Vec<Running>,
    trainers: Vec<Trainer>,
    began: Time,
    /// Groups whole in time: of the urgent rank, of the other.
    in_time: [usize; 2],
}

/// Texts of a group: mostly short ones, and a long one in every fourth group.
fn texts_of_group(number: usize) -> Vec<u64> {
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
        asked: 0,
        open: Vec::new(),
        trained: Time(0),
    }
}

impl Load {
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
        let began = harness.now;
        Self {
            harness,
            lengths: HashMap::new(),
            running: Vec::new(),
            trainers: vec![
                trainer("a", true, 16),
                trainer("b", false, 20),
                trainer("c", false, 20),
            ],
            began,
            in_time: [0; 2],
        }
    }

    /// Trainers ask for steps whose time has come.
    fn ask_for_steps(&mut self) {
        let now = self.harness.now;
        let mut trainers = std::mem::take(&mut self.trainers);
        for trainer in &mut trainers {
            let is_time = now.since(self.began) >= Duration(STEP_EVERY.0 * trainer.asked);
            let may_ask = trainer.open.len() < STEPS_OPEN && now >= trainer.trained;
            if is_time && may_ask && trainer.asked < STEPS {
                self.submit(trainer);
            }
        }
        self.trainers = trainers;
    }

    fn submit(&mut self, trainer: &mut Trainer) {
        let job = format!("{}{}", trainer.name, trainer.asked);
        let texts: Vec<Vec<u64>> = (0..trainer.groups)
            .map(|number| texts_of_group(number + trainer.asked as usize))
            .collect();
        let path = if trainer.is_urgent { "/u/" } else { "/p/" };
        self.submit_texts(&job, path, &texts);
        trainer.asked += 1;
        trainer.open.push(OpenStep {
            job,
            submitted: self.harness.now,
        });
    }

    /// A job of groups of texts with these lengths.
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
            self.running.push(Running {
                run: started.run,
                length: self.lengths[&started.item],
                events: started.after.unwrap_or(0),
            });
        }
        if number.is_multiple_of((EVENT_MS / TICK_MS) as usize) {
            self.make_events();
        }
        self.close_steps();
    }

    fn make_events(&mut self) {
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

    /// Trainers end steps that are whole, or that they give up, and train.
    fn close_steps(&mut self) {
        let now = self.harness.now;
        let mut trainers = std::mem::take(&mut self.trainers);
        for trainer in &mut trainers {
            let all = trainer.groups * GROUP_SIZE;
            let mut still_open = Vec::new();
            for step in std::mem::take(&mut trainer.open) {
                let results = self.harness.store.get(&step.job).unwrap().results.len();
                let given_up = now >= step.submitted + DUE_AFTER + PATIENCE;
                if results < all && !given_up {
                    still_open.push(step);
                    continue;
                }
                let rank = usize::from(!trainer.is_urgent);
                self.in_time[rank] += groups_in_time(&self.harness, &step);
                self.harness.end(&step.job);
                trainer.trained = now + TRAINING;
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

/// Three trainers ask for 6 steps each within 24 s, for 64 places: one of the urgent rank
/// for 16 groups of 8 texts, two others for 20 each, a third more than can be made. Groups
/// of steps that a trainer does not come to are not in time either.
fn play(order: ItemOrder) -> [usize; 2] {
    let mut load = Load::new(order, 16);
    for number in 0..2_400 {
        if number < 1_600 {
            load.ask_for_steps();
        }
        load.tick(number);
    }
    load.in_time
}

/// Of 96 urgent groups and 240 others, 96 and 165 are whole in time; 59 and 70 by the age of
/// their jobs.
#[test]
fn groups_are_whole_in_time_before_all_come_late() {
    let [urgent, other] = play(ItemOrder::GroupsInTime);
    assert!(urgent >= 92 && urgent + other >= 240, "{urgent} {other}");
}

/// The setting switches the plan off.
#[test]
fn by_arrival_ranks_are_served_alike() {
    let [urgent, _] = play(ItemOrder::Arrival);
    assert!(urgent < 70, "{urgent}");
}

/// One text after the other ends, so that lengths and paces are known.
fn learn(load: &mut Load) {
    load.submit_texts("learn", "/p/", &[vec![12; 16]]);
    for number in 0..600 {
        load.tick(number);
    }
    load.harness.end("learn");
}

/// Urgent texts for 180 s of all places are ahead of another job. Its only group takes one
/// place for 58 s, and may be given up after 40 s; one that fits is taken.
#[rstest]
#[case::one_that_cannot_be_made(16, Some(17..=18))]
#[case::one_that_fits_in_its_floor(8, None)]
fn a_job_that_cannot_be_made_is_told_when_to_come_back(
    #[case] texts: usize,
    #[case] retry_after_s: Option<std::ops::RangeInclusive<u64>>,
) {
    let mut load = Load::new(ItemOrder::GroupsInTime, 1);
    learn(&mut load);
    load.submit_texts("urgent", "/u/", &[vec![80; 200]]);
    load.harness.wait(15);
    let job = AcceptJob {
        job: "other".into(),
        host: "h".into(),
        path: "/p/".into(),
        model: "m".into(),
        items: (0..texts).map(|number| text(number, 80)).collect(),
        ..AcceptJob::default()
    };
    let harness = &mut load.harness;
    let (now, configuration) = (harness.now, &harness.configuration);
    let admission = harness
        .dispatcher
        .admit_job(now, &job, configuration, &harness.directory);
    match (admission, retry_after_s) {
        (Admission::Accepted, None) => {}
        (Admission::Refused { retry_after }, Some(expected)) => {
            let seconds = retry_after.as_millis() / 1_000;
            assert!(expected.contains(&seconds), "{seconds} s");
        }
        (other, expected) => panic!("{other:?} {expected:?}"),
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

/// Two groups of a step lack texts when a place falls free: the one that needs a single
/// item gets it.
#[test]
fn a_group_that_needs_one_item_gets_the_next_place() {
    let mut load = Load::new(ItemOrder::GroupsInTime, 1);
    learn(&mut load);
    load.harness.started.clear();
    load.submit_texts("j", "/p/", &[vec![12; 8], vec![12; 5]]);
    load.harness.wait(15);
    // All four places run texts of the second group, which now needs one more.
    let begun: Vec<String> = load
        .harness
        .started
        .iter()
        .map(|s| s.item.clone())
        .collect();
    assert!(
        begun.iter().all(|item| item.starts_with("j-1-")),
        "{begun:?}"
    );
    let run = load.harness.started[0].run;
    load.harness.head(run, 200, 5);
    load.harness.data(run, "1|0|x\n");
    load.harness.part(run, RunPart::End);
    load.harness.wait(15);
    let next = load.harness.last_started().item;
    assert!(next.starts_with("j-1-"), "{next}");
}

/// 1,500 open items of two ranks before 57 engines of 4 places, one of which falls free
/// before each look: a look visits 200 items and takes 0.08 ms.
#[test]
fn a_planned_look_costs_what_changed() {
    const LOOKS: usize = 100;
    const MOST_VISITED: u64 = 400;
    let mut load = Load::new(ItemOrder::GroupsInTime, 57);
    learn(&mut load);
    load.harness.started.clear();
    for job in 0..10 {
        let path = if job % 2 == 0 { "/p/" } else { "/u/" };
        let texts = vec![vec![12; 10]; 15];
        load.submit_texts(&format!("j{job}"), path, &texts);
    }
    load.harness.poll_until_started();
    let before = load.harness.dispatcher.items_visited();
    let began = std::time::Instant::now();
    for look in 0..LOOKS {
        let run = load.harness.started[look].run;
        load.harness.head(run, 200, 5);
        load.harness.data(run, "1|0|x\n");
        load.harness.part(run, RunPart::End);
        load.harness.wait(4);
    }
    let micros = began.elapsed().as_micros() as usize / LOOKS;
    let each = (load.harness.dispatcher.items_visited() - before) / LOOKS as u64;
    println!("{each} visited, {micros} us a look");
    assert!(each <= MOST_VISITED, "{each} visited");
}
