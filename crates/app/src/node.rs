//! `peatgrade node`.

use clap::Args;
use peatgrade_config::{load_settings, validate_settings};
use peatgrade_runtime::{block_on, logging};
use std::path::PathBuf;

use crate::signals::stop_signals;

/// Settings from a file, from flags, or both; a flag wins over the file.
#[derive(Debug, Args)]
pub struct NodeArgs {
    /// TOML file with settings
    #[arg(long, value_name = "FILE")]
    settings: Option<PathBuf>,
    /// Unique name of the node in its region
    #[arg(long)]
    name: Option<String>,
    /// Region of the node
    #[arg(long)]
    region: Option<String>,
    /// Zone of the node
    #[arg(long)]
    zone: Option<String>,
    /// IP:port for callers, trainers and metrics
    #[arg(long, value_name = "IP:PORT")]
    http_address: Option<String>,
    /// IP:port for other nodes
    #[arg(long, value_name = "IP:PORT")]
    peer_address: Option<String>,
    /// IP:port of the platform's object API
    #[arg(long, value_name = "IP:PORT")]
    platform_address: Option<String>,
    /// Folder for bulk data; a node without one stores nothing
    #[arg(long, value_name = "FOLDER")]
    data_folder: Option<String>,
    /// error, warn, info, debug or trace
    #[arg(long)]
    log_level: Option<String>,
    /// Check the settings and exit
    #[arg(long)]
    check: bool,
}

impl NodeArgs {
    /// The settings of the file with the flags laid over them.
    fn table(&self) -> Result<toml::Table, String> {
        let mut table = match &self.settings {
            Some(path) => load_settings(path).map_err(|error| error.to_string())?,
            None => toml::Table::new(),
        };
        let flags = [
            ("name", &self.name),
            ("region", &self.region),
            ("zone", &self.zone),
            ("http_address", &self.http_address),
            ("peer_address", &self.peer_address),
            ("platform_address", &self.platform_address),
            ("data_folder", &self.data_folder),
            ("log_level", &self.log_level),
        ];
        for (field, value) in flags {
            if let Some(value) = value {
                table.insert(field.into(), value.clone().into());
            }
        }
        Ok(table)
    }
}

/// Runs a node until a signal has stopped it and it has drained.
pub fn run(args: &NodeArgs) -> Result<(), String> {
    let settings = validate_settings(args.table()?).map_err(|error| error.to_string())?;
    if args.check {
        println!("settings are valid");
        return Ok(());
    }
    logging::init(&settings.log_level, &settings.name);
    let stop = stop_signals().map_err(|error| format!("install signal handler: {error}"))?;
    let ended = block_on(peatgrade_node::run(settings, stop));
    let ended = ended.map_err(|error| format!("start event loop: {error}"))?;
    ended.map_err(|error| error.to_string())
}
