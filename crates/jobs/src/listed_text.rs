//! Texts of listed results: in memory while they are new, in the log for good.
//!
//! ```text
//!  listed --> RecentTexts (bounded) --oldest--> dropped from memory
//!                                                 |
//!  read  <-- TextReader <-- commands of the log <-+  (places: indices of entries)
//! ```
//!
//! A text is made of events in progress records and of what its result adds to
//! them, so it is put together from the same entries that were applied.

use bytes::Bytes;
use peatgrade_schema::decode;
use peatgrade_schema::replication::mod_JobCommand::OneOfbody;
use peatgrade_schema::replication::JobCommand;
use std::collections::{HashMap, VecDeque};
use std::rc::Rc;

/// Reads commands of the replicated log that were applied and are not trimmed.
pub trait CommandLog: std::fmt::Debug {
    /// The command of an entry, if it can be read.
    fn command(&self, index: u64) -> Option<Vec<u8>>;
}

/// Where the log holds the beginning of a text.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct LoggedEvents {
    /// Indices of the progress records, in order.
    pub entries: Vec<u64>,
}

/// The text of a listed result.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedText {
    /// Its bytes.
    length: usize,
    /// The text itself, while it is held in memory.
    held: Option<Bytes>,
    /// Progress records that hold its first events.
    events: LoggedEvents,
    /// How many events those are.
    event_count: usize,
    /// The record that lists it and adds the rest.
    entry: u64,
}

impl ListedText {
    pub(crate) fn new(held: Bytes, events: LoggedEvents, event_count: usize, entry: u64) -> Self {
        Self {
            length: held.len(),
            held: Some(held),
            events,
            event_count,
            entry,
        }
    }

    /// Its bytes, wherever they are.
    pub fn len(&self) -> usize {
        self.length
    }

    /// Whether it has no bytes.
    pub fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// Bytes of it in memory.
    pub(crate) fn held_bytes(&self) -> usize {
        self.held.as_ref().map_or(0, Bytes::len)
    }

    /// Leaves it to the log.
    pub(crate) fn drop_held(&mut self) {
        self.held = None;
    }
}

/// Reads texts. Entries that were read are kept for as long as the reader lives, since
/// results of one job that stand side by side share them.
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

    /// Bytes of commands that were read from the log so far.
    pub fn read_bytes(&self) -> usize {
        self.read_bytes
    }

    /// Whether a text can be read without the log.
    pub fn is_cached(&self, text: &ListedText) -> bool {
        let mut entries = text.events.entries.iter().chain([&text.entry]);
        text.held.is_some() || entries.all(|entry| self.commands.contains_key(entry))
    }

    /// A text of the item `item` of `job`; none if the log cannot give it back.
    pub fn read(&mut self, job: &str, item: usize, text: &ListedText) -> Option<Bytes> {
        if let Some(held) = &text.held {
            return Some(held.clone());
        }
        let mut whole = Vec::with_capacity(text.length);
        let mut left = text.event_count;
        for entry in &text.events.entries {
            let command = self.command(*entry)?;
            left -= append_events(&command, job, item, left, &mut whole)?;
        }
        let command = self.command(text.entry)?;
        append_rest(&command, job, item, &mut whole)?;
        let is_whole = left == 0 && whole.len() == text.length;
        if !is_whole {
            log::error!(
                "step=read-text job={job} item={item} bytes={} expected={} events_left={left}",
                whole.len(),
                text.length
            );
        }
        is_whole.then(|| Bytes::from(whole))
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

/// Appends up to `most` events that a progress record holds of an item; how many.
fn append_events(
    command: &JobCommand,
    job: &str,
    item: usize,
    most: usize,
    into: &mut Vec<u8>,
) -> Option<usize> {
    let OneOfbody::progress(progress) = &command.body else {
        return None;
    };
    if progress.job != job {
        return None;
    }
    let mut items = progress.items.iter();
    let found = items.find(|held| held.item as usize == item)?;
    let events = found.events.iter().take(most);
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

/// Appends what a result adds to the events before it.
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

/// Which texts are in memory, oldest first, within a bound on their bytes.
#[derive(Clone, Debug, Default)]
pub(crate) struct RecentTexts {
    order: VecDeque<(Rc<str>, usize)>,
    bytes: usize,
}

impl RecentTexts {
    /// Takes note of a text at a position of a job.
    pub fn add(&mut self, job: &Rc<str>, position: usize, bytes: usize) {
        self.order.push_back((job.clone(), position));
        self.bytes += bytes;
    }

    /// The oldest one, if more than `most` bytes are held.
    pub fn take_surplus(&mut self, most: usize) -> Option<(Rc<str>, usize)> {
        if self.bytes <= most {
            return None;
        }
        self.order.pop_front()
    }

    /// Bytes of a text that are in memory no more.
    pub fn dropped(&mut self, bytes: usize) {
        self.bytes = self.bytes.saturating_sub(bytes);
    }

    /// Bytes held.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Forgets jobs that `keep` does not know, whose bytes were dropped.
    pub fn retain(&mut self, keep: impl Fn(&str) -> bool) {
        self.order.retain(|(job, _)| keep(job));
    }

    /// Forgets everything.
    pub fn clear(&mut self) {
        self.order.clear();
        self.bytes = 0;
    }
}
