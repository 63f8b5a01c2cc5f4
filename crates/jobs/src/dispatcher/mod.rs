//! The leader's work: open items to engines, texts to the log.

use bytes::Bytes;
use peatgrade_fleet::EngineDirectory;
use peatgrade_ports::{AnswerHead, Configuration, EngineCall, EventReader};
use peatgrade_schema::replication::{
    AcceptJob, ItemProgress, ItemResult, KeepProgress, ListResults, ProgressEvent,
};
use peatgrade_types::{Duration, Time};
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;

mod answers;
mod moving;
mod starting;

use crate::item::{ItemKey, OpenItem};
use crate::store::{Earlier, JobStore};
use crate::streams::Run;
use crate::text::PartialText;

/// Whether one version must make all of an item's text.
fn must_be_single(configuration: &Configuration, spec: &AcceptJob, item: usize) -> bool {
    let route = configuration.route(&spec.host, &spec.items[item].path);
    route.is_some_and(|route| route.single_version)
}

/// Names a run of an item.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub struct RunId(pub u64);

/// Time between two looks over all runs.
const WATCH_EVERY: Duration = Duration::from_millis(20);
/// Time between two records of unfinished texts.
const PROGRESS_EVERY: Duration = Duration::from_millis(160);
/// Events that make such a record worth its place.
const PROGRESS_EVENTS: usize = 3;
/// Partial texts kept for later jobs.
const MAX_KEPT: usize = 4_096;
/// How long they are kept.
const KEEP_PARTIAL: Duration = Duration::from_secs(60);

/// What the dispatcher wants done.
#[derive(Clone, Debug)]
pub enum DispatchAction {
    /// Send a request to an engine.
    Run {
        /// Names the run in [`RunPart`]s.
        run: RunId,
        /// The engine's address.
        address: String,
        /// The request.
        call: Box<EngineCall>,
    },
    /// Break a run off by closing its connection.
    Cancel(RunId),
    /// Put results into the log.
    List(ListResults),
    /// Put unfinished texts into the log.
    Keep(KeepProgress),
}

/// What came of a run.
#[derive(Clone, Debug)]
pub enum RunPart {
    /// The head of the answer.
    Head(AnswerHead),
    /// A piece of the body.
    Data(Bytes),
    /// The body is whole.
    End,
    /// The answer will not be whole.
    Failed(String),
}

struct Kept {
    text: PartialText,
    body: Vec<u8>,
    at: Time,
}

/// Brings open items to engines.
pub struct Dispatcher {
    items: BTreeMap<ItemKey, OpenItem>,
    runs: HashMap<RunId, Run>,
    kept: HashMap<String, Kept>,
    /// Results that wait for the next proposal, by job.
    done: BTreeMap<Rc<str>, Vec<ItemResult>>,
    next_run: u64,
    progress_at: Time,
    watched_at: Time,
    /// Next look for runs that would get on better elsewhere.
    chances_at: Time,
    /// Median pace of each service, and when to look again.
    medians: HashMap<String, f64>,
    medians_at: Time,
    /// Next look at what waits while no engine has a place.
    full_look_at: Time,
    /// Engines weighed for items since the start.
    weighed: u64,
    /// Expected length from which on an item of a job counts as long.
    long_from: HashMap<Rc<str>, u64>,
    reader: Box<dyn Fn() -> Box<dyn EventReader>>,
    actions: Vec<DispatchAction>,
}
impl Dispatcher {
    /// A dispatcher that reads events with `reader`.
    pub fn new(reader: Box<dyn Fn() -> Box<dyn EventReader>>) -> Self {
        Self {
            items: BTreeMap::new(),
            runs: HashMap::new(),
            kept: HashMap::new(),
            done: BTreeMap::new(),
            next_run: 1,
            progress_at: Time(0),
            watched_at: Time(0),
            chances_at: Time(0),
            medians: HashMap::new(),
            medians_at: Time(0),
            full_look_at: Time(0),
            weighed: 0,
            long_from: HashMap::new(),
            reader,
            actions: Vec::new(),
        }
    }

    /// Items without a result.
    pub fn open_items(&self) -> usize {
        self.items.len()
    }

    /// Runs under way.
    pub fn running(&self) -> usize {
        self.runs.len()
    }

    /// Engines weighed for items since the start: what choices cost.
    pub fn engines_weighed(&self) -> u64 {
        self.weighed
    }

    /// Takes up a job that is new, or new to this leader.
    pub fn open_job(&mut self, id: &str, store: &JobStore, configuration: &Configuration) {
        let Some(job) = store.get(id).filter(|job| !job.ended) else {
            return;
        };
        let name: Rc<str> = Rc::from(id);
        self.long_from
            .insert(name.clone(), starting::long_from(&job.spec));
        for index in 0..job.spec.items.len() {
            if job.positions.contains_key(&index) {
                continue;
            }
            let least = job.spec.min_version;
            match store.earlier(id, index) {
                Some(Earlier::Whole(result))
                    if result.versions.iter().all(|v| *v >= least)
                        && (result.versions.len() <= 1
                            || !must_be_single(configuration, &job.spec, index)) =>
                {
                    log::info!(
                        "decision=relist item={} job={id} versions={:?}",
                        job.spec.items[index].id,
                        result.versions
                    );
                    let again = ItemResult {
                        item: index as u64,
                        completed: true,
                        text: result.text.to_vec(),
                        versions: result.versions.clone(),
                        logged_events: 0,
                    };
                    self.done.entry(name.clone()).or_default().push(again);
                    continue;
                }
                _ => {}
            }
            let mut open = OpenItem::new(job.spec.clone(), index, job.known_since);
            open.failures = job.failures.get(&index).copied().unwrap_or(0);
            open.logged_failures = open.failures;
            match job.progress.get(&index) {
                Some(text) => {
                    open.logged_events = text.events.len();
                    open.text = text.clone();
                }
                None => self.take_earlier(&mut open, store.earlier(id, index)),
            }
            self.items.insert((name.clone(), index), open);
        }
        self.flush();
    }

    /// Begins an item that comes back with what is known of its text.
    fn take_earlier(&mut self, open: &mut OpenItem, earlier: Option<Earlier<'_>>) {
        let least = open.spec.min_version;
        let kept = self.kept.remove(&open.item().id);
        let kept = kept.filter(|kept| kept.body == open.item().body);
        let logged = match earlier {
            Some(Earlier::Partial(text)) => Some(text.clone()),
            _ => None,
        };
        let texts = kept.map(|kept| kept.text).into_iter().chain(logged);
        let longest = texts
            .filter(|text| text.fits(least))
            .max_by_key(|text| text.events.len());
        if let Some(text) = longest {
            log::info!(
                "decision=continue item={} job={} events={}",
                open.item().id,
                open.spec.job,
                text.events.len()
            );
            open.text = text;
        }
    }

    /// Stops all work for a job that is ended.
    pub fn end_job(&mut self, now: Time, id: &str, directory: &mut EngineDirectory) {
        let name: Rc<str> = Rc::from(id);
        let keys: Vec<ItemKey> = self
            .items
            .range((name.clone(), 0)..=(name.clone(), usize::MAX))
            .map(|(key, _)| key.clone())
            .collect();
        self.done.remove(&name);
        self.long_from.remove(&name);
        for key in keys {
            self.break_off(&key, directory);
            if let Some(item) = self.items.remove(&key) {
                if !item.text.events.is_empty() && self.kept.len() < MAX_KEPT {
                    let kept = Kept {
                        body: item.item().body.clone(),
                        at: now,
                        text: item.text.clone(),
                    };
                    self.kept.insert(item.item().id.clone(), kept);
                }
            }
        }
    }

    /// Stops all work: this machine leads no more.
    pub fn stop(&mut self, directory: &mut EngineDirectory) {
        let keys: Vec<ItemKey> = self.items.keys().cloned().collect();
        for key in keys {
            self.break_off(&key, directory);
        }
        self.items.clear();
        self.done.clear();
    }

    /// What is to be done.
    pub fn take_actions(&mut self) -> Vec<DispatchAction> {
        std::mem::take(&mut self.actions)
    }

    /// Starts, moves and gives up items.
    pub fn poll(
        &mut self,
        now: Time,
        configuration: &Configuration,
        directory: &mut EngineDirectory,
    ) {
        if now.since(self.watched_at) >= WATCH_EVERY {
            self.watched_at = now;
            self.kept
                .retain(|_, kept| now.since(kept.at) < KEEP_PARTIAL);
            self.watch_runs(now, directory);
        }
        self.start_waiting(now, configuration, directory);
        self.flush();
        if now.since(self.progress_at) >= PROGRESS_EVERY {
            self.progress_at = now;
            self.keep_progress();
        }
    }

    /// Puts what is new of unfinished texts into the log, so that another
    /// leader goes on from there.
    fn keep_progress(&mut self) {
        let mut jobs: BTreeMap<Rc<str>, Vec<ItemProgress>> = BTreeMap::new();
        for (key, item) in &mut self.items {
            if !item.is_record_due(PROGRESS_EVENTS) {
                continue;
            }
            // A text that was begun anew does not follow what the log holds.
            let held = item.logged_events;
            let count = if item.restarted {
                held
            } else {
                item.text.events.len()
            };
            let fresh = &item.text.events[held..count];
            let events = fresh.iter().map(|event| ProgressEvent {
                version: event.version,
                data: event.data.to_vec(),
            });
            let progress = ItemProgress {
                item: key.1 as u64,
                logged_events: held as u64,
                last_event: item.text.last_event.unwrap_or(0),
                events: events.collect(),
                failures: u64::from(item.failures),
            };
            item.logged_events = count;
            item.logged_failures = item.failures;
            jobs.entry(key.0.clone()).or_default().push(progress);
        }
        for (job, items) in jobs {
            let job = job.to_string();
            self.actions
                .push(DispatchAction::Keep(KeepProgress { job, items }));
        }
    }

    /// Ends the run of an item, if it has one; its text stays.
    fn break_off(&mut self, key: &ItemKey, directory: &mut EngineDirectory) {
        let Some(item) = self.items.get_mut(key) else {
            return;
        };
        if let Some(id) = item.run.take() {
            self.actions.push(DispatchAction::Cancel(id));
            self.forget_run(id, directory);
        }
    }

    fn forget_run(&mut self, id: RunId, directory: &mut EngineDirectory) -> Option<Run> {
        let run = self.runs.remove(&id)?;
        if let Some(state) = directory.get_mut(&run.instance) {
            state.experience.running = state.experience.running.saturating_sub(1);
        }
        Some(run)
    }

    fn give_up(&mut self, key: &ItemKey, reason: &str) {
        let Some(item) = self.items.get_mut(key) else {
            return;
        };
        log::info!(
            "decision=terminate item={} job={} reason={reason} runs={} failures={}",
            item.item().id,
            key.0,
            item.runs,
            item.failures
        );
        item.proposed = true;
        let result = ItemResult {
            item: key.1 as u64,
            completed: false,
            text: Vec::new(),
            versions: Vec::new(),
            logged_events: 0,
        };
        self.done.entry(key.0.clone()).or_default().push(result);
    }

    /// Hands results that are done to the log.
    fn flush(&mut self) {
        for (job, results) in std::mem::take(&mut self.done) {
            self.actions.push(DispatchAction::List(ListResults {
                job: job.to_string(),
                results,
            }));
        }
    }

    /// Results of a job are committed.
    pub fn listed(&mut self, id: &str, store: &JobStore) {
        let Some(job) = store.get(id) else {
            return;
        };
        let name: Rc<str> = Rc::from(id);
        self.items
            .retain(|key, _| key.0 != name || !job.positions.contains_key(&key.1));
    }
}
