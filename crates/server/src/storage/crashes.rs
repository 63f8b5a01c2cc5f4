//! What this machine knows of requests that end engines: taken in from gateways and other
//! members, passed on to members, kept on disk.
//!
//! A member passes on what is new to it, so that a gateway that reaches one of them
//! reaches all. What is not new goes no further.

use peatgrade_schema::replication::mod_ReplicaMessage::OneOfbody;
use peatgrade_schema::replication::CrashReport;
use peatgrade_types::{Duration, Time};

use super::crash_file::CrashFile;
use super::process::StorageProcess;

/// Time between two writes: each waits for the disk, and an engine that ends under many
/// requests is told of by many machines at once.
const WRITE_INTERVAL: Duration = Duration::from_millis(200);

/// What is to be passed on and written.
#[derive(Debug)]
pub(super) struct CrashSharing {
    file: CrashFile,
    is_dirty: bool,
    /// Somebody told something new.
    has_unsent: bool,
    last_write: Time,
}

impl CrashSharing {
    pub fn new(now: Time, file: CrashFile) -> Self {
        Self {
            file,
            is_dirty: false,
            has_unsent: false,
            last_write: now,
        }
    }
}

impl StorageProcess {
    pub(super) fn on_crash_report(&mut self, now: Time, from: &str, report: &CrashReport) {
        let quarantine = &mut self.directory.quarantine;
        if quarantine.merge(now, &report.records, from) {
            self.crashes.has_unsent = true;
        }
    }

    /// Passes on what is new, and writes it down.
    pub(super) fn share_crashes(&mut self, now: Time) {
        let changed_locally = self.directory.quarantine.take_changed();
        if std::mem::take(&mut self.crashes.has_unsent) || changed_locally {
            self.crashes.is_dirty = true;
            self.send_crashes_to_members(now);
        }
        let is_due = now.since(self.crashes.last_write) >= WRITE_INTERVAL;
        if self.crashes.is_dirty && is_due {
            self.crashes.is_dirty = false;
            self.crashes.last_write = now;
            let records = self.directory.quarantine.records(now);
            if let Err(error) = self.crashes.file.write(records) {
                // It is kept in memory, and by the other members.
                log::error!("step=write-crashes error={error}");
            }
        }
    }

    fn send_crashes_to_members(&mut self, now: Time) {
        let own = self.replica.id().0;
        let addresses = self.replica.members().into_iter();
        let addresses: Vec<String> = addresses
            .filter(|member| member.replica != own)
            .map(|member| member.address)
            .collect();
        let records = self.directory.quarantine.records(now);
        for address in addresses {
            let report = CrashReport {
                records: records.clone(),
            };
            self.reply(&address, OneOfbody::crash_report(report));
        }
    }
}
