//! Records of requests that crash engines: received from gateways and other members,
//! forwarded to members and kept on disk.
//!
//! A member forwards records that are new to it, so a report to one member reaches all.

use peatgrade_schema::replication::mod_ReplicaMessage::OneOfbody;
use peatgrade_schema::replication::CrashReport;
use peatgrade_types::{Duration, Time};

use super::crash_file::CrashFile;
use super::process::StorageProcess;

/// Minimum time between two writes of the crash file. Each write waits for the disk, and many
/// machines may report the same crash.
const WRITE_INTERVAL: Duration = Duration::from_millis(200);

/// Crash records that are to be forwarded and written.
#[derive(Debug)]
pub(super) struct CrashSharing {
    file: CrashFile,
    is_dirty: bool,
    /// Whether a received report contained new records.
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

    /// Forwards new records to members and writes them to disk.
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
                // The records are still held in memory and by other members.
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
