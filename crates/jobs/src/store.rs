//! The replicated state: jobs, their results by position, their ends.

use bytes::Bytes;
use peatgrade_schema::decode;
use peatgrade_schema::replication::mod_JobCommand::OneOfbody;
use peatgrade_schema::replication::{
    AcceptJob, CountUsage, DecideUsage, JobCommand, JobItem, KeepProgress, ListResults,
};
use peatgrade_types::{Duration, Time};
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::rc::Rc;

use crate::job::{Job, PriorText, StoredResult};
use crate::listed_text::{CommandLog, ListedText, RecentTexts, TextReader};
use crate::text::{PartialText, TextEvent};

/// Bytes of listed texts held in memory beside the log: what a trainer that reads twice
/// a second asks for, at the 2 MB/s of 130 engines, with room for a few seconds' delay.
const MAX_RECENT_BYTES: usize = 8 * 1024 * 1024;

/// Bytes of unfinished texts of ended jobs held in memory for later jobs that bring their
/// items back, within 60 s mostly; those of the job that ended first give way.
pub(crate) const MAX_ENDED_PROGRESS_BYTES: usize = 8 * 1024 * 1024;

/// What a command says of usage.
#[derive(Clone, Debug, PartialEq)]
pub enum UsageCommand {
    /// Counts of gateways.
    Count(CountUsage),
    /// What will be reported of a window.
    Decide(DecideUsage),
    /// A window needs no report any more.
    Reported(u64),
}

/// What a command did.
#[derive(Clone, Debug, PartialEq)]
pub enum Applied {
    /// A job is new.
    Accepted(String),
    /// Results were added to a job.
    Listed(String),
    /// A job is ended.
    Ended(String),
    /// An order to an engine is about to be sent by the holder of a fencing
    /// token.
    Ordered {
        /// The engine.
        engine: String,
        /// The token.
        fence: u64,
        /// The machine that holds it; empty in an older log.
        holder: String,
    },
    /// Something about usage, which is kept elsewhere.
    Usage(UsageCommand),
    /// Nothing changed.
    Nothing,
}

/// Bytes that jobs take in memory, by owner.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct JobMemory {
    /// Items as they were handed in: bodies and headers while their job is open.
    pub items: usize,
    /// Results without their texts.
    pub results: usize,
    /// Texts of results that are in memory.
    pub recent_texts: usize,
    /// Texts that are not whole.
    pub progress: usize,
}

/// All jobs of a replica group.
#[derive(Clone, Debug, Default)]
pub struct JobStore {
    jobs: BTreeMap<String, Job>,
    /// Jobs that hold an item, and its index there.
    holders: HashMap<String, Vec<(Rc<str>, usize)>>,
    /// Reads texts that were dropped from memory; none keeps all texts there.
    log: Option<Rc<dyn CommandLog>>,
    recent: RecentTexts,
    /// Ended jobs with unfinished texts, the first that ended first.
    ended_with_progress: VecDeque<String>,
}

impl JobStore {
    /// A store that leaves texts to the log from which its commands come.
    pub fn with_log(log: Rc<dyn CommandLog>) -> Self {
        Self {
            log: Some(log),
            ..Self::default()
        }
    }

    /// Reads texts of listed results.
    pub fn text_reader(&self) -> TextReader<'_> {
        TextReader::new(self.log.as_deref())
    }

    /// Body of an item as it was handed in; of an ended job from the log.
    pub fn body(&self, job: &Job, item: usize) -> Option<Vec<u8>> {
        if job.body_hashes.is_empty() {
            return Some(job.spec.items.get(item)?.body.clone());
        }
        let command = self.log.as_ref()?.command(job.first_index)?;
        let command = decode::<JobCommand>(&command).ok()?;
        match command.body {
            OneOfbody::accept(mut spec) if spec.job == job.spec.job && item < spec.items.len() => {
                Some(spec.items.swap_remove(item).body)
            }
            _ => None,
        }
    }

    /// Bytes that it holds in memory, by owner.
    pub fn memory(&self) -> JobMemory {
        let mut memory = JobMemory {
            recent_texts: self.recent.bytes(),
            ..JobMemory::default()
        };
        for job in self.jobs.values() {
            memory.items += job.spec.items.iter().map(item_bytes).sum::<usize>();
            memory.results += job.results.len() * std::mem::size_of::<StoredResult>();
            memory.progress += job.progress_bytes();
        }
        memory
    }

    /// Applies a committed command.
    pub fn apply(&mut self, now: Time, index: u64, command: &[u8]) -> Applied {
        if command.is_empty() {
            return Applied::Nothing;
        }
        match decode::<JobCommand>(command).map(|command| command.body) {
            Ok(OneOfbody::accept(spec)) => self.accept(now, index, spec),
            Ok(OneOfbody::results(list)) => self.list(now, index, list),
            Ok(OneOfbody::end(end)) => self.end(&end.job),
            Ok(OneOfbody::progress(progress)) => self.append_progress(index, progress),
            Ok(OneOfbody::order(note)) => Applied::Ordered {
                engine: note.engine,
                fence: note.fence,
                holder: note.holder,
            },
            Ok(OneOfbody::count_usage(count)) => Applied::Usage(UsageCommand::Count(count)),
            Ok(OneOfbody::decide_usage(decision)) => Applied::Usage(UsageCommand::Decide(decision)),
            Ok(OneOfbody::usage_reported(reported)) => {
                Applied::Usage(UsageCommand::Reported(reported.window))
            }
            Ok(OneOfbody::None) => Applied::Nothing,
            Err(error) => {
                log::error!("step=apply-command index={index} error={error}");
                Applied::Nothing
            }
        }
    }

    fn accept(&mut self, now: Time, first_index: u64, spec: AcceptJob) -> Applied {
        if self.jobs.contains_key(&spec.job) {
            return Applied::Nothing;
        }
        let id = spec.job.clone();
        let name: Rc<str> = Rc::from(id.as_str());
        for (index, item) in spec.items.iter().enumerate() {
            let holders = self.holders.entry(item.id.clone()).or_default();
            holders.push((name.clone(), index));
        }
        let job = Job::new(spec, now, first_index);
        self.jobs.insert(id.clone(), job);
        Applied::Accepted(id)
    }

    fn list(&mut self, now: Time, index: u64, list: ListResults) -> Applied {
        let Some(job) = self.jobs.get_mut(&list.job).filter(|job| !job.ended) else {
            return Applied::Nothing;
        };
        let before = job.results.len();
        let name: Rc<str> = Rc::from(list.job.as_str());
        for result in list.results {
            let item = result.item as usize;
            // The first result of an item stands, whoever else made one.
            if item >= job.spec.items.len() || job.positions.contains_key(&item) {
                continue;
            }
            let logged = job.progress.get(&item);
            let count = result.logged_events as usize;
            let Some(text) = whole_text(logged, count, result.text) else {
                log::error!("step=list-result job={} item={item} error=gap", list.job);
                continue;
            };
            job.progress.remove(&item);
            let events = job.logged.remove(&item).filter(|_| count > 0);
            let events = events.unwrap_or_default();
            self.recent.add(&name, job.results.len(), text.len());
            job.positions.insert(item, job.results.len());
            job.results.push(StoredResult {
                item,
                completed: result.completed,
                text: ListedText::new(text, events, count, index),
                versions: result.versions,
                score: result.score,
                known_since: now,
            });
        }
        if job.results.len() == before {
            return Applied::Nothing;
        }
        self.drop_surplus_texts();
        Applied::Listed(list.job)
    }

    /// Leaves the oldest texts to the log.
    fn drop_surplus_texts(&mut self) {
        if self.log.is_none() {
            return;
        }
        while let Some((job, position)) = self.recent.take_surplus(MAX_RECENT_BYTES) {
            let job = self.jobs.get_mut(&*job);
            let result = job.and_then(|job| job.results.get_mut(position));
            if let Some(result) = result {
                self.recent.dropped(result.text.held_bytes());
                result.text.drop_held();
            }
        }
    }

    /// Adds events to texts that are not whole. Records of one item follow each
    /// other without a gap, since one leader at a time adds them; what doesn't
    /// follow stems from a leader of the past.
    fn append_progress(&mut self, entry: u64, progress: KeepProgress) -> Applied {
        let Some(job) = self.jobs.get_mut(&progress.job) else {
            return Applied::Nothing;
        };
        for item in progress.items {
            let index = item.item as usize;
            if index >= job.spec.items.len() || job.positions.contains_key(&index) {
                continue;
            }
            if item.failures > 0 || item.reward_failures > 0 {
                let known = job.failures.entry(index).or_default();
                known.runs = known.runs.max(item.failures as u32);
                known.reward_calls = known.reward_calls.max(item.reward_failures as u32);
            }
            if item.events.is_empty() && !item.whole {
                continue;
            }
            let text = job.progress.entry(index).or_default();
            if text.events.len() as u64 != item.logged_events {
                continue;
            }
            let events = item.events.into_iter().map(|event| TextEvent {
                version: event.version,
                data: Bytes::from(event.data),
            });
            text.events.extend(events);
            text.last_event = Some(item.last_event);
            text.complete |= item.whole;
            job.logged.entry(index).or_default().entries.push(entry);
        }
        Applied::Nothing
    }

    fn end(&mut self, id: &str) -> Applied {
        match self.jobs.get_mut(id) {
            Some(job) if !job.ended => {
                job.ended = true;
                if self.log.is_some() {
                    job.drop_requests();
                }
                if !job.progress.is_empty() {
                    self.ended_with_progress.push_back(id.to_string());
                    self.drop_surplus_progress();
                }
                Applied::Ended(id.to_string())
            }
            _ => Applied::Nothing,
        }
    }

    fn drop_surplus_progress(&mut self) {
        let jobs = &self.jobs;
        self.ended_with_progress
            .retain(|job| jobs.contains_key(job));
        let ended = self.ended_with_progress.iter();
        let mut bytes: usize = ended.map(|job| jobs[job].progress_bytes()).sum();
        while bytes > MAX_ENDED_PROGRESS_BYTES {
            let first = self.ended_with_progress.pop_front();
            let Some(job) = first.and_then(|job| self.jobs.get_mut(&job)) else {
                return;
            };
            bytes -= job.progress_bytes();
            job.progress.clear();
            job.logged.clear();
        }
    }

    /// Forgets everything.
    pub fn clear(&mut self) {
        self.ended_with_progress.clear();
        self.jobs.clear();
        self.holders.clear();
        self.recent.clear();
    }

    /// A job.
    pub fn get(&self, id: &str) -> Option<&Job> {
        self.jobs.get(id)
    }

    /// All jobs by id.
    pub fn iter(&self) -> impl Iterator<Item = (&String, &Job)> {
        self.jobs.iter()
    }

    /// Drops jobs that are older than `keep`, if they are ended, or than twice
    /// that. Returns the log index before which nothing is needed any more.
    pub fn expire(&mut self, now: Time, keep: Duration, applied: u64) -> u64 {
        let twice = Duration(keep.0 * 2);
        let recent = &mut self.recent;
        self.jobs.retain(|_, job| {
            let age = now.since(job.known_since);
            let is_kept = age < keep || (!job.ended && age < twice);
            if !is_kept {
                let texts = job.results.iter().map(|result| result.text.held_bytes());
                recent.dropped(texts.sum());
            }
            is_kept
        });
        let jobs = &self.jobs;
        self.recent.retain(|job| jobs.contains_key(job));
        self.holders.retain(|_, holders| {
            holders.retain(|(job, _)| jobs.contains_key(&**job));
            !holders.is_empty()
        });
        let oldest = self.jobs.values().map(|job| job.first_index).min();
        oldest.map_or(applied, |index| index.saturating_sub(1))
    }

    /// Whether another job of the same tenant has an item too.
    pub fn is_resubmitted(&self, job: &str, item: usize) -> bool {
        let Some(own) = self.jobs.get(job).map(|job| &job.spec) else {
            return false;
        };
        let holders = own.items.get(item).and_then(|i| self.holders.get(&i.id));
        let mut others = holders.into_iter().flatten().filter(|(id, _)| **id != *job);
        others.any(|(id, _)| {
            self.jobs
                .get(&**id)
                .is_some_and(|other| other.spec.tenant == own.tenant)
        })
    }

    /// What earlier jobs hold of an item that a later job brings back.
    pub fn prior_text(&self, job: &str, item: usize) -> Option<PriorText<'_>> {
        let own = &self.jobs.get(job)?.spec;
        let (tenant, spec) = (own.tenant.as_str(), own.items.get(item)?);
        let others = self.holders.get(&spec.id)?.iter();
        let mut held = others
            .filter(|(id, _)| **id != *job)
            .filter_map(|(id, index)| {
                let other = self.jobs.get(&**id)?;
                let is_same = other.spec.tenant == tenant && other.has_body(*index, &spec.body);
                is_same.then(|| other.prior_text(*index, id))?
            });
        held.next()
    }
}

/// The first `count` events, which the log holds already, and what a result adds
/// to them.
fn whole_text(logged: Option<&PartialText>, count: usize, added: Vec<u8>) -> Option<Bytes> {
    if count == 0 {
        return Some(Bytes::from(added));
    }
    let logged = logged.filter(|text| text.events.len() >= count)?;
    Some(Bytes::from(logged.joined_with(count, &added)))
}

/// What an item takes in memory, about.
fn item_bytes(item: &JobItem) -> usize {
    let headers = item.headers.iter();
    let headers = headers.map(|h| h.name.len() + h.value.len() + std::mem::size_of_val(h));
    std::mem::size_of_val(item)
        + item.id.len()
        + item.path.len()
        + item.body.len()
        + item.group.len()
        + headers.sum::<usize>()
}
