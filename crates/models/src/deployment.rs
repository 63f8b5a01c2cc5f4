//! A deployment: where things run and what traffic comes, as a TOML file.

use peatgrade_config::{parse_document, FieldError, ObjectKey};
use serde::{Deserialize, Serialize};
use std::path::{Path, PathBuf};

use crate::app::AppSettings;
use crate::engine::EngineSettings;
use crate::trainer::TrainerSettings;
use crate::workload::StreamSettings;

/// Why a deployment folder cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum DeploymentError {
    /// A file cannot be read.
    #[error("read {path}: {source}")]
    Read {
        /// The file or folder.
        path: PathBuf,
        /// What the system said.
        source: std::io::Error,
    },
    /// A file does not hold what it should.
    #[error("parse {path}: {reason}")]
    Parse {
        /// The file.
        path: PathBuf,
        /// Field and place.
        reason: String,
    },
}

/// Engines of one pool.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PoolSettings {
    /// Name of the pool.
    pub name: String,
    /// Engines in each zone, in the order of `zones`.
    pub per_zone: Vec<u32>,
    /// Model engines, if this is set.
    #[serde(default)]
    pub engine: Option<EngineSettings>,
    /// Application engines, if this is set.
    #[serde(default)]
    pub app: Option<AppSettings>,
}

/// A whole deployment.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Deployment {
    /// Name of the user.
    pub name: String,
    /// Region.
    pub region: String,
    /// Zones.
    pub zones: Vec<String>,
    /// One-way delay between two zones.
    pub zone_delay_us: u64,
    /// One-way delay within a zone.
    #[serde(default = "default_local_delay")]
    pub local_delay_us: u64,
    /// One-way delay between callers and nodes.
    pub client_delay_us: u64,
    /// Nodes in each zone.
    pub nodes_per_zone: u32,
    /// Nodes with a data folder in each zone.
    pub bulk_per_zone: u32,
    /// Engine pools.
    pub pools: Vec<PoolSettings>,
    /// Scorer names; one scorer runs in each zone.
    #[serde(default)]
    pub scorers: Vec<String>,
    /// Trainers.
    #[serde(default)]
    pub trainers: Vec<TrainerSettings>,
    /// Traffic.
    #[serde(default)]
    pub traffic: Vec<StreamSettings>,
    /// Templates and tenants, `kind/name` to body; read from the folder.
    #[serde(skip)]
    pub documents: Vec<(String, serde_json::Value)>,
}

fn default_local_delay() -> u64 {
    100
}

fn read(path: &Path) -> Result<String, DeploymentError> {
    std::fs::read_to_string(path).map_err(|source| DeploymentError::Read {
        path: path.to_path_buf(),
        source,
    })
}

/// Reads every template and tenant under `folder`: `templates/*.toml` and
/// `tenants/*.toml`, in the order of their names.
pub fn read_documents(folder: &Path) -> Result<Vec<(String, serde_json::Value)>, DeploymentError> {
    let mut documents = Vec::new();
    for (subfolder, kind) in [("templates", "template"), ("tenants", "tenant")] {
        let path = folder.join(subfolder);
        if !path.is_dir() {
            continue;
        }
        for file in toml_files(&path)? {
            documents.push(read_document(&file, kind)?);
        }
    }
    Ok(documents)
}

fn toml_files(folder: &Path) -> Result<Vec<PathBuf>, DeploymentError> {
    let entries = std::fs::read_dir(folder).map_err(|source| DeploymentError::Read {
        path: folder.to_path_buf(),
        source,
    })?;
    let paths = entries.filter_map(|entry| entry.ok().map(|entry| entry.path()));
    let mut files: Vec<PathBuf> = paths
        .filter(|path| {
            path.extension()
                .is_some_and(|extension| extension == "toml")
        })
        .collect();
    files.sort();
    Ok(files)
}

fn read_document(file: &Path, kind: &str) -> Result<(String, serde_json::Value), DeploymentError> {
    let parse_error = |reason: String| DeploymentError::Parse {
        path: file.to_path_buf(),
        reason,
    };
    let table: toml::Table =
        toml::from_str(&read(file)?).map_err(|e| parse_error(e.to_string()))?;
    let body = serde_json::to_value(table).map_err(|e| parse_error(e.to_string()))?;
    let name = body.get("name").and_then(|name| name.as_str());
    let name = name.ok_or_else(|| parse_error("name: is required".into()))?;
    let key = ObjectKey {
        kind: kind.into(),
        name: name.into(),
    };
    let checked: Result<_, FieldError> = parse_document(&key, &body);
    checked.map_err(|error| parse_error(error.to_string()))?;
    Ok((key.to_string(), body))
}

impl Deployment {
    /// Reads `deployment.toml` and the documents in a folder.
    pub fn load(folder: &Path) -> Result<Self, DeploymentError> {
        let path = folder.join("deployment.toml");
        let parsed = toml::from_str::<Deployment>(&read(&path)?);
        let mut deployment = parsed.map_err(|error| DeploymentError::Parse {
            path,
            reason: error.to_string(),
        })?;
        deployment.documents = read_documents(folder)?;
        Ok(deployment)
    }

    /// Nodes that a node asks for members when the machine list cannot be had:
    /// the first two of each zone.
    pub fn seed_nodes(&self) -> Vec<String> {
        let zones = self.zones.iter();
        zones
            .flat_map(|zone| {
                (0..self.nodes_per_zone.min(2)).map(move |n| format!("node-{zone}-{n}"))
            })
            .collect()
    }

    /// Names and zones of the nodes, with whether each has a data folder.
    pub fn nodes(&self) -> Vec<(String, String, bool)> {
        let mut nodes = Vec::new();
        for zone in &self.zones {
            for number in 0..self.nodes_per_zone {
                let name = format!("node-{zone}-{number}");
                nodes.push((name, zone.clone(), number < self.bulk_per_zone));
            }
        }
        nodes
    }
}
