//! Settings of a node, checked as a whole.

use crate::expand::FieldError;
use peatgrade_schema::settings::NodeSettings;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// Levels that the log accepts.
const LOG_LEVELS: [&str; 6] = ["off", "error", "warn", "info", "debug", "trace"];

/// Why settings cannot be used.
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
    /// The file is not valid TOML or has a wrong field.
    #[error("parse settings {path}: {reason}")]
    Parse {
        /// The file.
        path: PathBuf,
        /// Field and place.
        reason: String,
    },
    /// Fields have values that cannot be used.
    #[error("settings: {}", list(.0))]
    Invalid(Vec<FieldError>),
}

fn list(errors: &[FieldError]) -> String {
    let lines: Vec<String> = errors.iter().map(FieldError::to_string).collect();
    lines.join("; ")
}

/// Reads settings from a TOML file; call [`validate_settings`] next.
pub fn load_settings(path: &Path) -> Result<toml::Table, SettingsError> {
    let text = std::fs::read_to_string(path).map_err(|source| SettingsError::Read {
        path: path.to_path_buf(),
        source,
    })?;
    toml::from_str(&text).map_err(|error| SettingsError::Parse {
        path: path.to_path_buf(),
        reason: error.to_string(),
    })
}

/// Checks every field and reports all errors at once, before any socket is
/// opened.
pub fn validate_settings(table: toml::Table) -> Result<NodeSettings, SettingsError> {
    let settings: NodeSettings = table.try_into().map_err(|error: toml::de::Error| {
        let reason = error.message().to_string();
        let field = reason.split('`').nth(1).unwrap_or("settings").to_string();
        SettingsError::Invalid(vec![FieldError { field, reason }])
    })?;
    let mut errors = Vec::new();
    let named = [
        ("name", &settings.name),
        ("region", &settings.region),
        ("zone", &settings.zone),
    ];
    for (field, value) in named {
        if value.is_empty() {
            errors.push(FieldError::new(field, "must not be empty"));
        }
    }
    let addresses = [
        ("http_address", &settings.http_address),
        ("peer_address", &settings.peer_address),
        ("platform_address", &settings.platform_address),
    ];
    for (field, value) in addresses {
        if value.parse::<SocketAddr>().is_err() {
            let reason = format!("{value:?} is not an IP number with a port");
            errors.push(FieldError::new(field, reason));
        }
    }
    for seed in &settings.seeds {
        if parse_seed(seed).is_none() {
            errors.push(FieldError::new(
                "seeds",
                format!("{seed:?} is not name=IP:port"),
            ));
        }
    }
    if !LOG_LEVELS.contains(&settings.log_level.as_str()) {
        errors.push(FieldError::new(
            "log_level",
            "must be error, warn, info, debug or trace",
        ));
    }
    if errors.is_empty() {
        Ok(settings)
    } else {
        Err(SettingsError::Invalid(errors))
    }
}

/// Name and peer address of a seed written `name=IP:port`.
pub fn parse_seed(text: &str) -> Option<(String, String)> {
    let (name, address) = text.split_once('=')?;
    address.parse::<SocketAddr>().ok()?;
    (!name.is_empty()).then(|| (name.to_string(), address.to_string()))
}
