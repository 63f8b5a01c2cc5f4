//! Texts of listed results: recent ones in memory, all of them in the log.
//!
//! ```text
//!  listed --> RecentTexts (bounded) --oldest--> evicted from memory
//!                                                 |
//!  read  <-- TextReader <-- commands of the log <-+  (by index of the log entry)
//! ```
//!
//! A text consists of the events in progress records and the rest in its result, so it is
//! reassembled from the entries that were applied.

use bytes::Bytes;
use peatgrade_schema::decode;
use peatgrade_schema::replication::mod_JobCommand::OneOfbody;
use peatgrade_schema::replication::JobCommand;
use std::collections::{HashMap, VecDeque};
use std::rc::Rc;

/// Reads applied commands from the part of the replicated log that is not truncated.
pub trait CommandLog: std::fmt::Debug {
    /// The command of the entry at `index`, if it can be read.
    fn command(&self, index: u64) -> Option<Vec<u8>>;
}

/// Log entries with the logged events of a text.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct LoggedEvents {
    /// Indices of the progress records, in log order.
    pub entries: Vec<u64>,
}

/// The text of a listed result.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedText {
    /// Length in bytes.
    length: usize,
    /// The text, unless it was evicted.
    resident: Option<Bytes>,
    /// Progress records with its first events.
    events: LoggedEvents,
    /// Number of events taken from `events`.
    event_count: usize,
    /// Index of the entry that listed the result, with the rest of the text.
    entry: u64,
}

impl ListedText {
    pub(crate) fn new(text: Bytes, events: LoggedEvents, event_count: usize, entry: u64) -> Self {
        Self {
            length: text.len(),
            resident: Some(text),
            events,
            event_count,
            entry,
        }
    }

    /// Length in bytes, whether in memory or evicted.
    pub fn len(&self) -> usize {
        self.length
    }

    pub fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// Bytes held in memory.
    pub(crate) fn resident_bytes(&self) -> usize {
        self.resident.as_ref().map_or(0, Bytes::len)
    }

    /// Drops the text from memory.
    pub(crate) fn evict(&mut self) {
        self.resident = None;
    }
}

/// Reads texts from memory or from the log. Caches the log entries that it reads, since
/// neighbouring results of a job share them.
pub struct TextReader<'a> {
    log: Option<&'a dyn CommandLog>,
    commands: HashMap<u64, Rc<JobCommand>>,
    read_bytes: usize,
}

impl<'a> TextReader<'a> {
    pub(crate) fn new(log: Option<&'a dyn CommandLog>) -> Self {
        Self {
            log,
            commands: HashMap::new(),
            read_bytes: 0,
        }
    }

    /// Bytes of commands read from the log so far.
    pub fn read_bytes(&self) -> usize {
        self.read_bytes
    }

    /// Whether a text can be read without accessing the log.
    pub fn is_cached(&self, text: &ListedText) -> bool {
        let mut entries = text.events.entries.iter().chain([&text.entry]);
        text.resident.is_some() || entries.all(|entry| self.commands.contains_key(entry))
    }

    /// Reads the text of `item` of `job`; none if the log does not hold all of it.
    pub fn read(&mut self, job: &str, item: usize, text: &ListedText) -> Option<Bytes> {
        if let Some(resident) = &text.resident {
            return Some(resident.clone());
        }
        let mut joined = Vec::with_capacity(text.length);
        let mut events_left = text.event_count;
        for entry in &text.events.entries {
            let command = self.command(*entry)?;
            events_left -= append_events(&command, job, item, events_left, &mut joined)?;
        }
        let command = self.command(text.entry)?;
        append_rest(&command, job, item, &mut joined)?;
        let is_complete = events_left == 0 && joined.len() == text.length;
        if !is_complete {
            log::error!(
                "step=read-text job={job} item={item} bytes={} expected={} events_left={events_left}",
                joined.len(),
                text.length
            );
        }
        is_complete.then(|| Bytes::from(joined))
    }

    fn command(&mut self, index: u64) -> Option<Rc<JobCommand>> {
        if let Some(command) = self.commands.get(&index) {
            return Some(command.clone());
        }
        let Some(bytes) = self.log.and_then(|log| log.command(index)) else {
            log::error!("step=read-text index={index} error=no-such-entry");
            return None;
        };
        self.read_bytes += bytes.len();
        match decode::<JobCommand>(&bytes) {
            Ok(command) => {
                let command = Rc::new(command);
                self.commands.insert(index, command.clone());
                Some(command)
            }
            Err(error) => {
                log::error!("step=read-text index={index} error={error}");
                None
            }
        }
    }
}

/// Appends up to `limit` events of an item from a progress record and returns their number.
fn append_events(
    command: &JobCommand,
    job: &str,
    item: usize,
    limit: usize,
    into: &mut Vec<u8>,
) -> Option<usize> {
    let OneOfbody::progress(progress) = &command.body else {
        return None;
    };
    if progress.job != job {
        return None;
    }
    let mut items = progress.items.iter();
    let found = items.find(|progress| progress.item as usize == item)?;
    let events = found.events.iter().take(limit);
    let first = found.logged_events as usize;
    let mut count = 0;
    for event in events {
        if first + count > 0 {
            into.push(b'\n');
        }
        into.extend_from_slice(&event.data);
        count += 1;
    }
    Some(count)
}

/// Appends the rest of an item's text from the entry that listed its result.
fn append_rest(command: &JobCommand, job: &str, item: usize, into: &mut Vec<u8>) -> Option<()> {
    let OneOfbody::results(list) = &command.body else {
        return None;
    };
    if list.job != job {
        return None;
    }
    let mut results = list.results.iter();
    let found = results.find(|result| result.item as usize == item)?;
    into.extend_from_slice(&found.text);
    Some(())
}

/// Tracks which listed texts are in memory, oldest first.
#[derive(Clone, Debug, Default)]
pub(crate) struct RecentTexts {
    order: VecDeque<(Rc<str>, usize)>,
    bytes: usize,
}

impl RecentTexts {
    /// Registers the text at a position of a job.
    pub fn push(&mut self, job: &Rc<str>, position: usize, bytes: usize) {
        self.order.push_back((job.clone(), position));
        self.bytes += bytes;
    }

    /// Removes the oldest text if more than `max_bytes` are in memory.
    pub fn pop_over_limit(&mut self, max_bytes: usize) -> Option<(Rc<str>, usize)> {
        if self.bytes <= max_bytes {
            return None;
        }
        self.order.pop_front()
    }

    /// Subtracts the bytes of texts that left memory.
    pub fn release(&mut self, bytes: usize) {
        self.bytes = self.bytes.saturating_sub(bytes);
    }

    /// Bytes in memory.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Removes the texts of jobs that `keep` rejects. Their bytes are released separately.
    pub fn retain(&mut self, keep: impl Fn(&str) -> bool) {
        self.order.retain(|(job, _)| keep(job));
    }

    pub fn clear(&mut self) {
        self.order.clear();
        self.bytes = 0;
    }
}
