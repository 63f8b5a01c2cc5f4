//! What a storage process finds on its disk, and what it is to others.

use peatgrade_jobs::EndRequest;
use peatgrade_replication::{LogFile, LogFileError, Recovered, ReplicaId};
use peatgrade_schema::replication::{CrashRecord, Member};
use std::path::Path;

use crate::settings::ServerSettings;
use crate::ServerError;

use super::crash_file::CrashFile;
use super::end_request_file::EndRequestFile;

/// This machine as a member of a group.
pub(super) fn own_member(settings: &ServerSettings, id: ReplicaId) -> Member {
    Member {
        replica: id.0,
        name: settings.name.clone(),
        address: settings.peer_address.clone(),
        zone: settings.zone.clone(),
        voter: false,
    }
}

/// Ends that were heard in an earlier life and may not be committed.
pub(super) fn open_end_requests(
    settings: &ServerSettings,
) -> Result<(EndRequestFile, Vec<EndRequest>), ServerError> {
    EndRequestFile::open(Path::new(&settings.data_folder)).map_err(|source| ServerError::System {
        step: "open the file of asked ends",
        source,
    })
}

/// Requests that ended engines in an earlier life.
pub(super) fn open_crashes(
    settings: &ServerSettings,
) -> Result<(CrashFile, Vec<CrashRecord>), ServerError> {
    CrashFile::open(Path::new(&settings.data_folder)).map_err(|source| ServerError::System {
        step: "open the file of crashes",
        source,
    })
}

/// The log, or an empty one of a new incarnation.
pub(super) fn open_log(settings: &ServerSettings) -> Result<(LogFile, Recovered), LogFileError> {
    let mut new_incarnation = 0;
    while new_incarnation == 0 {
        new_incarnation = rand::random();
    }
    LogFile::open(Path::new(&settings.data_folder), new_incarnation)
}
