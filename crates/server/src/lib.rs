//! The gateway and storage processes: cores driven by sockets, clock and disk.
//!
//! ```text
//!  gateway:  callers -> Gateway -> engines          storage: Replica <-> replicas
//!            trainers -> JobRelay -> leader                     | committed
//!            watches -> configuration, engines                JobStore
//!                                                     leader: Dispatcher -> engines
//!                                                             VersionCoordinator
//! ```
//!
//! Each process has one main task that owns its state; sockets, watches and
//! signals are tasks of their own that talk to it by messages.

mod clock;
mod engine_check;
mod gateway_process;
mod listing;
mod metrics;
mod observations;
mod pause;
mod settings;
mod settings_checks;
mod signals;
mod storage;
mod store_client;
mod turns;
mod unreadable_entries;
mod watcher;

use peatgrade_ports::Codec;
use std::rc::Rc;

pub use gateway_process::run_gateway;
pub use settings::{ServerRole, ServerSettings};
pub use settings_checks::SettingsError;
pub use signals::ProcessSignal;
pub use storage::run_storage;

/// Runs a process of `role` to its end, with its log on standard error.
pub fn run_process(
    settings: ServerSettings,
    role: ServerRole,
    codec: Rc<dyn Codec>,
) -> Result<(), ServerError> {
    peatgrade_runtime::logging::init(&settings.log_level, &settings.name);
    let run = async move {
        match role {
            ServerRole::Gateway => run_gateway(settings, codec).await,
            ServerRole::Storage => run_storage(settings, codec).await,
        }
    };
    let ended = peatgrade_runtime::block_on(run).map_err(|source| ServerError::System {
        step: "start event loop",
        source,
    })?;
    if let Err(error) = &ended {
        log::error!("step=fail error={error}");
    }
    peatgrade_runtime::logging::flush();
    ended
}

/// Why a process could not start or go on.
#[derive(Debug, thiserror::Error)]
pub enum ServerError {
    /// The settings are wrong.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// A socket cannot be opened.
    #[error("open {what} socket {address}: {source}")]
    Socket {
        /// Which socket.
        what: &'static str,
        /// Its address.
        address: String,
        /// What the system said.
        source: std::io::Error,
    },
    /// The log on disk failed.
    #[error("replica log: {0}")]
    Log(#[from] peatgrade_replication::LogFileError),
    /// Signals or the event loop cannot be set up.
    #[error("{step}: {source}")]
    System {
        /// What was being done.
        step: &'static str,
        /// What the system said.
        source: std::io::Error,
    },
}
