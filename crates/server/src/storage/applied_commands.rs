//! The commands of the log file, for whoever needs one again that was applied.

use peatgrade_jobs::CommandLog;
use peatgrade_replication::EntryReader;
use std::rc::Rc;

/// Commands by the index of their entry.
#[derive(Debug)]
pub(super) struct AppliedCommands(pub Rc<dyn EntryReader>);

impl CommandLog for AppliedCommands {
    fn command(&self, index: u64) -> Option<Vec<u8>> {
        self.0.read(index).map(|entry| entry.command)
    }
}
