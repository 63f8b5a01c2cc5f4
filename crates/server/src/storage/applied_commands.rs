//! Read access to applied commands in the log file.

use peatgrade_jobs::CommandLog;
use peatgrade_replication::EntryReader;
use std::rc::Rc;

/// Reads commands by log index.
#[derive(Debug)]
pub(super) struct AppliedCommands(pub Rc<dyn EntryReader>);

impl CommandLog for AppliedCommands {
    fn command(&self, index: u64) -> Option<Vec<u8>> {
        self.0.read(index).map(|entry| entry.command)
    }
}
