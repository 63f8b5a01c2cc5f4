//! Checks of single settings, and why one cannot be used.

use std::path::PathBuf;

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
        reason: "is too short",
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
