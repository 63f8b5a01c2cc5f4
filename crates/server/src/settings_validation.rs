//! Validation of single settings.

use std::path::PathBuf;

/// Failure to load or validate settings.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The file could not be read.
    #[error("read settings {path}: {source}")]
    Read {
        /// Path of the file.
        path: PathBuf,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The file is not valid TOML or does not match the settings.
    #[error("parse settings {path}: {source}")]
    Parse {
        /// Path of the file.
        path: PathBuf,
        /// Parse error with its position.
        source: Box<toml::de::Error>,
    },
    /// A field has an invalid value.
    #[error("setting `{field}` {reason}: `{value}`")]
    Field {
        /// Name of the field.
        field: &'static str,
        /// Violated constraint.
        reason: &'static str,
        /// Rejected value.
        value: String,
    },
}

pub(crate) fn require_at_least(
    field: &'static str,
    value: u64,
    minimum: u64,
) -> Result<(), SettingsError> {
    if value >= minimum {
        return Ok(());
    }
    Err(SettingsError::Field {
        field,
        reason: "is below the minimum",
        value: value.to_string(),
    })
}

pub(crate) fn require_in_range(
    field: &'static str,
    value: f64,
    range: std::ops::RangeInclusive<f64>,
) -> Result<(), SettingsError> {
    if range.contains(&value) {
        return Ok(());
    }
    Err(SettingsError::Field {
        field,
        reason: "is out of range",
        value: value.to_string(),
    })
}

pub(crate) fn require_non_empty(field: &'static str, value: &str) -> Result<(), SettingsError> {
    if value.is_empty() {
        return Err(SettingsError::Field {
            field,
            reason: "must not be empty",
            value: String::new(),
        });
    }
    Ok(())
}

pub(crate) fn require_socket_address(
    field: &'static str,
    value: &str,
) -> Result<(), SettingsError> {
    match value.parse::<std::net::SocketAddr>() {
        Ok(_) => Ok(()),
        Err(_) => Err(SettingsError::Field {
            field,
            reason: "must be IP:port",
            value: value.to_string(),
        }),
    }
}
