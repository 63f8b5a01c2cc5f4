//! The leader's work: open items to engines, texts to the log.

use bytes::Bytes;
use peatgrade_fleet::EngineDirectory;
use peatgrade_ports::{
    AnswerHead, Configuration, EngineCall, EventReader, Instance, Route, RouteKind,
};
use peatgrade_schema::replication::{
    AcceptJob, ItemProgress, ItemResult, KeepProgress, ListResults, ProgressEvent,
};
use peatgrade_types::http::HttpRequest;
use peatgrade_types::{hash_bytes, Duration, Time};
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;

use crate::item::{ItemKey, OpenItem};
use crate::placement::{self, Candidates, Need, SLOW_FACTOR};
use crate::store::{Earlier, JobStore};
use crate::streams::{take_bytes, Run};
use crate::text::PartialText;

/// Names a run of an item.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub struct RunId(pub u64);

/// Wait after a refusal before the item or the engine is tried again.
const REFUSED_WAIT: Duration = Duration::from_millis(60);
/// Wait before a failed item is tried again.
const FAILED_WAIT: Duration = Duration::from_millis(30);
/// Silence before the first event after which a run is moved.
const FIRST_EVENT_LIMIT: Duration = Duration::from_millis(900);
/// Least silence between events after which a run is moved.
const SILENCE_MIN: Duration = Duration::from_millis(450);
/// Silence as a multiple of the usual pace after which a run is moved.
const SILENCE_FACTOR: f64 = 8.0;
/// Moves of one item away from slow engines.
const MAX_MOVES: u32 = 4;
/// Events of one run after which its text is likely to go on for long.
const LONG_EVENTS: u32 = 20;
/// Answers of 500 before an item is given up, as a multiple of what its route
/// names: an engine that fails at random must not cost an item.
const PATIENCE: u32 = 2;
/// Events after which an engine's pace is believed.
const PACE_EVENTS: u32 = 3;
/// Time between two looks over all runs.
const WATCH_EVERY: Duration = Duration::from_millis(20);
/// An item counts as long if its expected length is this multiple of its job's
/// median: the few that set the pace of a step.
const LONG_FACTOR: u64 = 5;
const LONG_DIVISOR: u64 = 2;
/// Short items leave half of an engine's places to long ones for this long.
const YIELD_FOR: Duration = Duration::from_millis(1_200);
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
        call: EngineCall,
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

/// Why a run is moved to another engine.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum MoveReason {
    /// The engine is not in the list any more.
    Gone,
    /// The engine leaves.
    Draining,
    /// Nothing comes from it.
    Silent,
    /// It is far slower than others.
    Slow,
    /// A faster one has room.
    FasterFree,
}

impl MoveReason {
    /// Whether the run gets nowhere where it is.
    fn is_urgent(self) -> bool {
        matches!(self, MoveReason::Gone | MoveReason::Silent)
    }
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

    /// Takes up a job that is new, or new to this leader.
    pub fn open_job(&mut self, id: &str, store: &JobStore) {
        let Some(job) = store.get(id).filter(|job| !job.ended) else {
            return;
        };
        let name: Rc<str> = Rc::from(id);
        self.long_from.insert(name.clone(), long_from(&job.spec));
        for index in 0..job.spec.items.len() {
            if job.positions.contains_key(&index) {
                continue;
            }
            let least = job.spec.min_version;
            match store.earlier(id, index) {
                Some(Earlier::Whole(result)) if result.versions.iter().all(|v| *v >= least) => {
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
            let count = item.text.events.len();
            if item.proposed || count < item.logged_events + PROGRESS_EVENTS {
                continue;
            }
            let fresh = &item.text.events[item.logged_events..];
            let events = fresh.iter().map(|event| ProgressEvent {
                version: event.version,
                data: event.data.to_vec(),
            });
            let progress = ItemProgress {
                item: key.1 as u64,
                logged_events: item.logged_events as u64,
                last_event: item.text.last_event.unwrap_or(0),
                events: events.collect(),
            };
            item.logged_events = count;
            jobs.entry(key.0.clone()).or_default().push(progress);
        }
        for (job, items) in jobs {
            let job = job.to_string();
            self.actions
                .push(DispatchAction::Keep(KeepProgress { job, items }));
        }
    }

    fn start_waiting(
        &mut self,
        now: Time,
        configuration: &Configuration,
        directory: &mut EngineDirectory,
    ) {
        let mut looks: HashMap<Rc<str>, Candidates> = HashMap::new();
        let waiting = self.waiting_in_order(now);
        let crowded = !waiting.is_empty() && self.is_crowded(directory);
        for key in waiting {
            let Some(item) = self.items.get(&key) else {
                continue;
            };
            let (host, path) = (&item.spec.host, &item.item().path);
            let route = configuration.route(host, path);
            let Some(route) = route.filter(|route| route.kind == RouteKind::Batch) else {
                // Nothing allows it to run any more.
                self.give_up(&key, "route-gone");
                continue;
            };
            if now.since(item.known_since) >= route.max_queue {
                self.give_up(&key, "queue-limit");
                continue;
            }
            let Some(service) = target_of(route, &item.item().id) else {
                continue;
            };
            let companions = self.companions(&key, item);
            let need = Need {
                service,
                model: &item.spec.model,
                min_version: item.spec.min_version,
                companions: &companions,
                avoid: item.avoid.as_ref(),
            };
            let without = Need {
                avoid: None,
                ..need
            };
            let single = route.targets.len() == 1;
            let look = if single {
                let look = || Candidates::find(now, directory, &without);
                &*looks.entry(key.0.clone()).or_insert_with(look)
            } else {
                &Candidates::find(now, directory, &without)
            };
            let limit = if crowded {
                u32::MAX
            } else {
                self.place_limit(now, &key, item, configuration, service)
            };
            // An engine that fails at once is always the emptiest: rather a full
            // one than the one that has just failed this item.
            let chosen = look
                .choose(now, directory, &need, limit)
                .or_else(|| look.choose(now, directory, &need, u32::MAX))
                .or_else(|| look.choose(now, directory, &without, limit));
            if let Some(instance) = chosen {
                let left = (item.known_since + route.max_queue).since(now);
                self.start(now, &key, instance, left, route.priority, directory);
            }
        }
    }

    /// Whether open items would fill all places of model engines: then no place
    /// may stay empty.
    fn is_crowded(&self, directory: &EngineDirectory) -> bool {
        let engines = directory.iter().filter(|state| !state.record.draining);
        let modelled = engines.filter(|state| !state.record.models.is_empty());
        let places: usize = modelled.map(|state| state.record.slots as usize).sum();
        self.items.len() > places
    }

    /// Items that one engine may run before this one is added: short ones leave
    /// room for long ones at first, whose pace they would slow.
    fn place_limit(
        &self,
        now: Time,
        key: &ItemKey,
        item: &OpenItem,
        configuration: &Configuration,
        service: &str,
    ) -> u32 {
        let long_from = self.long_from.get(&key.0).copied().unwrap_or(0);
        let long = item.item().length_hint >= long_from || !item.text.events.is_empty();
        if long || now.since(item.known_since) >= YIELD_FOR {
            return u32::MAX;
        }
        let slots = configuration.services.get(service).map_or(0, |s| s.slots);
        match slots {
            0 => u32::MAX,
            slots => slots.div_ceil(2),
        }
    }

    /// Waiting items: those that come back first, then groups by their longest
    /// expected text, then items by theirs.
    fn waiting_in_order(&self, now: Time) -> Vec<ItemKey> {
        let waiting: Vec<(&ItemKey, &OpenItem)> = self
            .items
            .iter()
            .filter(|(_, item)| item.run.is_none() && !item.proposed && now >= item.not_before)
            .collect();
        let mut longest: HashMap<(&Rc<str>, &str), u64> = HashMap::new();
        for (key, item) in &waiting {
            let spec = item.item();
            let entry = longest.entry((&key.0, spec.group.as_str())).or_insert(0);
            *entry = (*entry).max(spec.length_hint);
        }
        let mut keyed: Vec<_> = waiting
            .iter()
            .map(|(key, item)| {
                let spec = item.item();
                let group = longest[&(&key.0, spec.group.as_str())];
                let started = item.runs > 0 || !item.text.events.is_empty();
                let order = (
                    !started,
                    item.known_since,
                    std::cmp::Reverse(group),
                    spec.group.as_str(),
                    std::cmp::Reverse(spec.length_hint),
                );
                (order, *key)
            })
            .collect();
        keyed.sort();
        keyed.into_iter().map(|(_, key)| key.clone()).collect()
    }

    /// Engines that run items of the same group of the same job.
    fn companions(&self, key: &ItemKey, item: &OpenItem) -> Vec<Instance> {
        let group = &item.item().group;
        if group.is_empty() {
            return Vec::new();
        }
        let same_job = self
            .items
            .range((key.0.clone(), 0)..=(key.0.clone(), usize::MAX));
        let runs = same_job
            .filter(|(_, other)| other.item().group == *group)
            .filter_map(|(_, other)| other.run);
        runs.filter_map(|run| self.runs.get(&run))
            .map(|run| run.instance.clone())
            .collect()
    }

    fn start(
        &mut self,
        now: Time,
        key: &ItemKey,
        instance: Instance,
        left: Duration,
        priority: u32,
        directory: &mut EngineDirectory,
    ) {
        let (Some(item), Some(state)) = (self.items.get_mut(key), directory.get_mut(&instance))
        else {
            return;
        };
        let run = RunId(self.next_run);
        self.next_run += 1;
        state.experience.running += 1;
        item.run = Some(run);
        item.runs += 1;
        let spec = item.item();
        let headers = spec.headers.iter();
        let mut http = HttpRequest::new("POST", spec.path.as_str(), spec.body.clone());
        http.headers = headers
            .map(|header| (header.name.to_ascii_lowercase(), header.value.clone()))
            .collect();
        log::info!(
            "decision=run item={} job={} engine={instance} version={} running={} after={:?}",
            spec.id,
            key.0,
            state.version(&item.spec.model),
            state.experience.running,
            item.text.last_event
        );
        let call = EngineCall::Run {
            id: spec.id.clone(),
            host: item.spec.host.clone(),
            instance: instance.clone(),
            deadline: Some(left),
            last_event: item.text.last_event,
            priority: Some(priority.min(9)),
            http,
        };
        self.actions.push(DispatchAction::Run {
            run,
            address: state.record.address.clone(),
            call,
        });
        let started = Run {
            key: key.clone(),
            instance,
            started: now,
            last: None,
            events: 0,
            version: 0,
            head: None,
            reader: (self.reader)(),
        };
        self.runs.insert(run, started);
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

    /// Moves runs away from engines that are silent, slow, gone or leaving.
    fn watch_runs(&mut self, now: Time, directory: &mut EngineDirectory) {
        let mut moves = Vec::new();
        let mut chances = Vec::new();
        let mut looks: HashMap<Rc<str>, Candidates> = HashMap::new();
        for (id, run) in &self.runs {
            match self.reason_to_move(now, run, directory, &mut looks) {
                Some(reason) if reason.is_urgent() => moves.push((*id, reason)),
                Some(reason) => chances.push((run.events, *id, reason)),
                None => {}
            }
        }
        // One at a time, since each takes a place that the others saw free; the
        // longest text first.
        let chance = chances
            .into_iter()
            .max_by_key(|(events, id, _)| (*events, *id));
        moves.extend(chance.map(|(_, id, reason)| (id, reason)));
        moves.sort_by_key(|(id, _)| *id);
        for (id, reason) in moves {
            let Some(run) = self.runs.get(&id) else {
                continue;
            };
            let (key, instance) = (run.key.clone(), run.instance.clone());
            log::info!(
                "decision=move item={} job={} engine={instance} reason={reason:?} events={}",
                self.items[&key].item().id,
                key.0,
                run.events
            );
            if reason == MoveReason::Silent {
                if let Some(state) = directory.get_mut(&instance) {
                    state.experience.failed(now);
                }
            }
            self.break_off(&key, directory);
            if let Some(item) = self.items.get_mut(&key) {
                item.avoid = Some(instance);
                item.moves += 1;
            }
        }
    }

    fn reason_to_move(
        &self,
        now: Time,
        run: &Run,
        directory: &EngineDirectory,
        looks: &mut HashMap<Rc<str>, Candidates>,
    ) -> Option<MoveReason> {
        let item = self.items.get(&run.key)?;
        let Some(state) = directory.get(&run.instance) else {
            return Some(MoveReason::Gone);
        };
        let model = &item.spec.model;
        let service = state.record.service.as_str();
        let need = Need {
            service,
            model,
            min_version: item.spec.min_version,
            companions: &[],
            avoid: Some(&run.instance),
        };
        let find = || {
            let anywhere = Need {
                avoid: None,
                ..need
            };
            Candidates::find(now, directory, &anywhere)
        };
        let look = &*looks.entry(run.key.0.clone()).or_insert_with(find);
        let room = || look.choose(now, directory, &need, u32::MAX).is_some();
        if state.record.draining && room() {
            return Some(MoveReason::Draining);
        }
        if state.loading.iter().any(|loading| loading == model) {
            return None;
        }
        let median = look.median;
        let silence = now.since(run.last.unwrap_or(run.started));
        let limit = match (run.last, median) {
            (None, _) => FIRST_EVENT_LIMIT,
            (_, None) => SILENCE_MIN,
            (_, Some(pace)) => SILENCE_MIN.max(Duration((pace * SILENCE_FACTOR) as u64)),
        };
        if silence >= limit {
            return Some(MoveReason::Silent);
        }
        let known = run.events >= PACE_EVENTS && item.moves < MAX_MOVES;
        if !known {
            return None;
        }
        let slow = placement::relative_pace(state, median) >= SLOW_FACTOR;
        if slow && room() {
            return Some(MoveReason::Slow);
        }
        let long = run.events >= LONG_EVENTS;
        let faster = || look.has_faster(now, directory, &need, state);
        (long && faster()).then_some(MoveReason::FasterFree)
    }

    /// Takes a part of an engine's answer.
    pub fn on_part(
        &mut self,
        now: Time,
        id: RunId,
        part: RunPart,
        configuration: &Configuration,
        directory: &mut EngineDirectory,
    ) {
        match part {
            RunPart::Head(head) => self.on_head(now, id, head, directory),
            RunPart::Data(bytes) => self.on_data(now, id, &bytes, directory),
            RunPart::End => self.on_end(now, id, configuration, directory),
            RunPart::Failed(reason) => self.on_failed(now, id, &reason, directory),
        }
    }

    fn on_head(&mut self, now: Time, id: RunId, head: AnswerHead, directory: &mut EngineDirectory) {
        let Some(run) = self.runs.get_mut(&id) else {
            return;
        };
        let Some(item) = self.items.get(&run.key) else {
            return;
        };
        if let Some(state) = directory.get_mut(&run.instance) {
            state.experience.load = head
                .load
                .map(|(running, waiting, _)| (now, running, waiting));
        }
        if let Some(version) = head.version {
            run.version = version;
            directory.saw_version(&run.instance, &item.spec.model, version);
        }
        let foreign = head.id.as_ref().is_some_and(|told| *told != item.item().id);
        run.head = Some(head);
        if foreign {
            self.on_failed(now, id, "answer of another request", directory);
        }
    }

    fn on_data(&mut self, now: Time, id: RunId, bytes: &[u8], directory: &mut EngineDirectory) {
        let Some(run) = self.runs.get_mut(&id) else {
            return;
        };
        if run.head.as_ref().is_none_or(|head| head.status != 200) {
            return;
        }
        let Some(item) = self.items.get_mut(&run.key) else {
            return;
        };
        let taken = take_bytes(run, item, bytes);
        match taken {
            Ok(0) => {}
            Ok(count) => {
                if let (Some(last), Some(state)) = (run.last, directory.get_mut(&run.instance)) {
                    let gap = Duration(now.since(last).0 / count as u64);
                    if state.loading.is_empty() {
                        state.experience.event(now, gap);
                    }
                }
                run.last = Some(now);
            }
            Err(error) => {
                let reason = error.to_string();
                self.on_failed(now, id, &reason, directory);
            }
        }
    }

    fn on_end(
        &mut self,
        now: Time,
        id: RunId,
        configuration: &Configuration,
        directory: &mut EngineDirectory,
    ) {
        let Some(run) = self.runs.get(&id) else {
            return;
        };
        let head = run.head.clone().unwrap_or_default();
        let key = run.key.clone();
        if head.status == 200 {
            if run.reader.has_rest() || run.events == 0 {
                return self.on_failed(now, id, "ended inside an event", directory);
            }
            return self.complete(now, id, directory);
        }
        let Some(run) = self.forget_run(id, directory) else {
            return;
        };
        let Some(item) = self.items.get_mut(&key) else {
            return;
        };
        item.run = None;
        item.avoid = Some(run.instance.clone());
        let route = configuration.route(&item.spec.host, &item.item().path);
        let max_attempts = route.map_or(1, |route| route.max_attempts);
        let refused = head.not_run || head.misdirected || head.status == 503 || head.status == 429;
        log::info!(
            "decision=retry item={} job={} engine={} status={} not_run={} failures={}",
            item.item().id,
            key.0,
            run.instance,
            head.status,
            head.not_run,
            item.failures
        );
        if refused {
            item.not_before = now + REFUSED_WAIT;
            if let Some(state) = directory.get_mut(&run.instance) {
                state.experience.refused(now, REFUSED_WAIT);
            }
            return;
        }
        item.not_before = now + FAILED_WAIT;
        match head.status {
            422 => self.give_up(&key, "can-never-be-done"),
            500 => {
                item.failures += 1;
                if item.failures >= max_attempts * PATIENCE {
                    self.give_up(&key, "failed-every-time");
                }
            }
            _ => {
                if let Some(state) = directory.get_mut(&run.instance) {
                    state.experience.failed(now);
                }
            }
        }
    }

    fn complete(&mut self, now: Time, id: RunId, directory: &mut EngineDirectory) {
        let Some(run) = self.forget_run(id, directory) else {
            return;
        };
        if let Some(state) = directory.get_mut(&run.instance) {
            state.experience.answered(now, now.since(run.started));
        }
        let Some(item) = self.items.get_mut(&run.key) else {
            return;
        };
        item.run = None;
        item.proposed = true;
        let result = ItemResult {
            item: run.key.1 as u64,
            completed: true,
            text: item.text.joined_after(item.logged_events),
            versions: item.text.versions(),
            logged_events: item.logged_events as u64,
        };
        log::info!(
            "decision=complete item={} job={} engine={} events={} versions={:?} runs={} hint={} age_ms={} run_ms={} run_events={}",
            item.item().id,
            run.key.0,
            run.instance,
            item.text.events.len(),
            result.versions,
            item.runs,
            item.item().length_hint,
            now.since(item.known_since).as_millis(),
            now.since(run.started).as_millis(),
            run.events
        );
        self.done.entry(run.key.0.clone()).or_default().push(result);
    }

    fn on_failed(&mut self, now: Time, id: RunId, reason: &str, directory: &mut EngineDirectory) {
        self.actions.push(DispatchAction::Cancel(id));
        let Some(run) = self.forget_run(id, directory) else {
            return;
        };
        if let Some(state) = directory.get_mut(&run.instance) {
            state.experience.failed(now);
        }
        let Some(item) = self.items.get_mut(&run.key) else {
            return;
        };
        log::info!(
            "decision=resume item={} job={} engine={} reason={reason} events={}",
            item.item().id,
            run.key.0,
            run.instance,
            item.text.events.len()
        );
        item.run = None;
        item.avoid = Some(run.instance);
        item.not_before = now + FAILED_WAIT;
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

/// The service that an item goes to: a stable draw by the route's weights.
fn target_of<'a>(route: &'a Route, id: &str) -> Option<&'a str> {
    let total: u64 = route.targets.iter().map(|t| u64::from(t.weight)).sum();
    let mut draw = hash_bytes(id.as_bytes()) % total.max(1);
    for target in &route.targets {
        if draw < u64::from(target.weight) {
            return Some(&target.service);
        }
        draw -= u64::from(target.weight);
    }
    route.targets.first().map(|target| target.service.as_str())
}

/// Expected length from which on an item counts as long.
fn long_from(spec: &AcceptJob) -> u64 {
    let mut hints: Vec<u64> = spec.items.iter().map(|item| item.length_hint).collect();
    hints.sort_unstable();
    let median = hints.get(hints.len() / 2).copied().unwrap_or(0);
    median * LONG_FACTOR / LONG_DIVISOR
}
