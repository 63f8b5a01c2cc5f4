//! The gateway and storage processes: they drive the I/O-free core crates with sockets,
//! timers and disk.
//!
//! ```text
//!  gateway:  callers -> Gateway -> engines          storage: Replica <-> replicas
//!            trainers -> JobRelay -> leader                     | committed
//!            watches -> configuration, engines                JobStore
//!                                                     leader: Dispatcher -> engines
//!                                                             VersionCoordinator
//! ```
//!
//! In each process, one main task owns the state. Sockets, store watches and signals run in
//! separate tasks that send it messages.

mod build_info;
mod clock;
mod engine_probe;
mod event_loop;
mod gateway_process;
mod heap;
mod listing;
mod log_text;
mod metrics;
mod observations;
mod pause_detector;
mod resource_limits;
mod settings;
mod settings_validation;
mod signals;
mod storage;
mod store_client;
mod unreadable_entries;
mod watcher;

use peatgrade_ports::Codec;
use std::rc::Rc;

pub use build_info::BuildInfo;
pub use gateway_process::run_gateway;
pub use settings::{ServerRole, ServerSettings};
pub use settings_validation::SettingsError;
pub use signals::ProcessSignal;
pub use storage::run_storage;

/// Runs a process of `role` until it exits. Logs go to standard error.
pub fn run_process(
    settings: ServerSettings,
    role: ServerRole,
    codec: Rc<dyn Codec>,
    build: BuildInfo,
) -> Result<(), ServerError> {
    heap::map_large_allocations();
    peatgrade_runtime::logging::init(&settings.log_level, &settings.name);
    build.log();
    let run = async move {
        match role {
            ServerRole::Gateway => run_gateway(settings, codec, build).await,
            ServerRole::Storage => run_storage(settings, codec, build).await,
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

/// Failure to start or to continue running a process.
#[derive(Debug, thiserror::Error)]
pub enum ServerError {
    /// Invalid settings.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// A socket could not be opened.
    #[error("open {what} socket {address}: {source}")]
    Socket {
        /// Purpose of the socket.
        what: &'static str,
        /// Address to bind.
        address: String,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The replica log on disk failed.
    #[error("replica log: {0}")]
    Log(#[from] peatgrade_replication::LogFileError),
    /// Signal handlers or the event loop could not be set up.
    #[error("{step}: {source}")]
    System {
        /// Step that failed.
        step: &'static str,
        /// Error of the operating system.
        source: std::io::Error,
    },
}
