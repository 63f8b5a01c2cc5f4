//! Opens a storage process's files and describes the process to its group.

use peatgrade_jobs::EndRequest;
use peatgrade_replication::{LogFile, LogFileError, Recovered, ReplicaId};
use peatgrade_schema::replication::{CrashRecord, Member};
use std::path::Path;

use crate::settings::ServerSettings;
use crate::ServerError;

use super::crash_file::CrashFile;
use super::end_request_file::EndRequestFile;

/// Describes this machine as a group member.
pub(super) fn own_member(settings: &ServerSettings, id: ReplicaId) -> Member {
    Member {
        replica: id.0,
        name: settings.name.clone(),
        address: settings.peer_address.clone(),
        zone: settings.zone.clone(),
        voter: false,
    }
}

/// Opens the file of pending end requests and reads those left by the previous process.
pub(super) fn open_end_requests(
    settings: &ServerSettings,
) -> Result<(EndRequestFile, Vec<EndRequest>), ServerError> {
    EndRequestFile::open(Path::new(&settings.data_folder)).map_err(|source| ServerError::System {
        step: "open the end request file",
        source,
    })
}

/// Opens the crash file and reads the records left by the previous process.
pub(super) fn open_crashes(
    settings: &ServerSettings,
) -> Result<(CrashFile, Vec<CrashRecord>), ServerError> {
    CrashFile::open(Path::new(&settings.data_folder)).map_err(|source| ServerError::System {
        step: "open the crash file",
        source,
    })
}

/// Opens the log, or creates an empty one with a new random incarnation.
pub(super) fn open_log(settings: &ServerSettings) -> Result<(LogFile, Recovered), LogFileError> {
    let mut new_incarnation = 0;
    while new_incarnation == 0 {
        new_incarnation = rand::random();
    }
    LogFile::open(Path::new(&settings.data_folder), new_incarnation)
}
