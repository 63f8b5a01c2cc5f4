//! Settings of a gateway or storage process.

use serde::Deserialize;
use std::path::{Path, PathBuf};

/// Settings, as a TOML file holds them. Unknown fields are passed over.
#[derive(Clone, Debug, Deserialize, PartialEq)]
pub struct ServerSettings {
    /// Unique name of the machine.
    pub name: String,
    /// Its zone.
    pub zone: String,
    /// IP:port for callers and trainers; gateways only.
    #[serde(default)]
    pub front_address: String,
    /// IP:port for readiness checks; gateways only.
    #[serde(default)]
    pub ready_address: String,
    /// IP:port for other processes of the system, TCP and UDP.
    pub peer_address: String,
    /// IP:port for metrics at `/metrics`; none if empty.
    #[serde(default)]
    pub metrics_address: String,
    /// IP:port of the object store.
    pub store_address: String,
    /// Folder for the replicated log; storage only.
    #[serde(default)]
    pub data_folder: String,
    /// Time from a stop signal to the end of the process at the latest.
    #[serde(default = "default_grace")]
    pub grace_ms: u64,
    /// How long a holder's orders keep others from giving any.
    #[serde(default = "default_lease")]
    pub order_lease_ms: u64,
    /// How long a batch job is kept.
    #[serde(default = "default_keep")]
    pub job_keep_ms: u64,
    /// Engines that may load weights at once.
    #[serde(default = "default_loads")]
    pub loads_at_once: usize,
    /// error, warn, info, debug or trace.
    #[serde(default = "default_level")]
    pub log_level: String,
}

fn default_grace() -> u64 {
    8_000
}

fn default_lease() -> u64 {
    3_000
}

fn default_keep() -> u64 {
    120_000
}

fn default_loads() -> usize {
    2
}

fn default_level() -> String {
    "info".into()
}

/// Why settings cannot be used; names the field.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The file cannot be read.
    #[error("read settings {path}: {source}")]
    Read {
        /// The file.
        path: PathBuf,
        /// What the system said.
        source: std::io::Error,
    },
    /// The file is no such TOML.
    #[error("parse settings {path}: {source}")]
    Parse {
        /// The file.
        path: PathBuf,
        /// What is wrong, and where.
        source: Box<toml::de::Error>,
    },
    /// A field has no usable value.
    #[error("setting `{field}` {reason}: `{value}`")]
    Field {
        /// The field.
        field: &'static str,
        /// What is wrong.
        reason: &'static str,
        /// Its value.
        value: String,
    },
}

/// The work that a process is to do.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum ServerRole {
    /// Serves callers.
    Gateway,
    /// Keeps batch jobs.
    Storage,
}

impl ServerSettings {
    /// Reads a file and checks all that `role` needs.
    pub fn load(path: &Path, role: ServerRole) -> Result<Self, SettingsError> {
        let text = std::fs::read_to_string(path).map_err(|source| SettingsError::Read {
            path: path.to_path_buf(),
            source,
        })?;
        let settings: Self = toml::from_str(&text).map_err(|source| SettingsError::Parse {
            path: path.to_path_buf(),
            source: Box::new(source),
        })?;
        settings.check(role)?;
        Ok(settings)
    }

    fn check(&self, role: ServerRole) -> Result<(), SettingsError> {
        not_empty("name", &self.name)?;
        not_empty("zone", &self.zone)?;
        is_address("peer_address", &self.peer_address)?;
        is_address("store_address", &self.store_address)?;
        if !self.metrics_address.is_empty() {
            is_address("metrics_address", &self.metrics_address)?;
        }
        match role {
            ServerRole::Gateway => {
                is_address("front_address", &self.front_address)?;
                is_address("ready_address", &self.ready_address)?;
            }
            ServerRole::Storage => not_empty("data_folder", &self.data_folder)?,
        }
        if self.loads_at_once == 0 {
            return Err(SettingsError::Field {
                field: "loads_at_once",
                reason: "must be at least 1",
                value: "0".into(),
            });
        }
        Ok(())
    }
}

fn not_empty(field: &'static str, value: &str) -> Result<(), SettingsError> {
    if value.is_empty() {
        return Err(SettingsError::Field {
            field,
            reason: "must not be empty",
            value: String::new(),
        });
    }
    Ok(())
}

fn is_address(field: &'static str, value: &str) -> Result<(), SettingsError> {
    match value.parse::<std::net::SocketAddr>() {
        Ok(_) => Ok(()),
        Err(_) => Err(SettingsError::Field {
            field,
            reason: "must be IP:port",
            value: value.to_string(),
        }),
    }
}
