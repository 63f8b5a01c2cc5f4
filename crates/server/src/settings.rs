//! Settings of a gateway or storage process.

use peatgrade_forward::ForwarderSettings;
use peatgrade_jobs::ItemPlacement;
use peatgrade_mirror::MirrorTiming;
use peatgrade_scheduling::ItemOrder;
use peatgrade_types::Duration;
use serde::Deserialize;
use std::path::{Path, PathBuf};

use crate::settings_validation::{
    require_at_least, require_non_empty, require_socket_address, SettingsError,
};

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
    /// Whether engines refuse orders whose fencing token is lower than one that they have
    /// seen: then a new holder need not wait for the lease of the earlier one. Storage only.
    #[serde(default)]
    pub engines_check_fences: bool,
    /// How long a batch job is kept.
    #[serde(default = "default_keep")]
    pub job_keep_ms: u64,
    /// Engines that may load weights at once; 0 for a share of all.
    #[serde(default)]
    pub loads_at_once: usize,
    /// Storage machines that may be lost at once without any loss.
    #[serde(default = "default_losses")]
    pub tolerated_losses: usize,
    /// Time after which a machine whose path to the store is whole again must
    /// have heard of all changes.
    #[serde(default = "default_contact")]
    pub contact_ms: u64,
    /// Time after which a change of the configuration must be in force, in milliseconds.
    #[serde(default = "default_config_apply")]
    pub config_apply_ms: u64,
    /// Time that an engine serves on after it said that it leaves.
    #[serde(default = "default_drain")]
    pub engine_drain_ms: u64,
    /// Time between two signs of life of an engine in the object store, in
    /// milliseconds.
    #[serde(default = "default_heartbeat")]
    pub engine_heartbeat_ms: u64,
    /// Age of the news of the configuration from which on requests that need a key are
    /// refused, since it may have been taken away; 0 to believe keys however old the news
    /// is. Gateways only.
    #[serde(default)]
    pub keys_believed_ms: u64,
    /// Room for data, in megabytes; 0 for no limit. Storage only.
    #[serde(default)]
    pub disk_limit_mb: u64,
    /// Memory of the process, in megabytes; 0 for no limit.
    #[serde(default)]
    pub memory_limit_mb: u64,
    /// Length of the windows for which the usage of tenants is reported, in milliseconds;
    /// 0 if it is not. The same on all machines.
    #[serde(default)]
    pub usage_window_ms: u64,
    /// Time after the end of a window until which its report is due, in milliseconds;
    /// storage only.
    #[serde(default = "default_usage_late")]
    pub usage_late_ms: u64,
    /// How engines are chosen for items, and when runs move: `relative-pace`,
    /// `expected-end`, `priced-moves` or `by-paces`. Storage only.
    #[serde(default = "default_item_placement")]
    pub item_placement: String,
    /// IP:port that takes the calls of duties; storage only, needed where usage is
    /// reported.
    #[serde(default)]
    pub duty_address: String,
    /// Whether what is seen of engines is told to others, and what others tell believed.
    #[serde(default = "default_share_observations")]
    pub share_observations: bool,
    /// Whether a single request that no engine can serve in time is rejected before it is
    /// sent to any.
    #[serde(default = "default_reject_unservable")]
    pub reject_unservable: bool,
    /// Copies of single requests, repeats after a failure and hedges, for each hundred
    /// first tries; 0 for no bound.
    #[serde(default = "default_copies")]
    pub copies_percent: u32,
    /// Order in which waiting items go to engines: `groups-in-time` (by rank, and groups
    /// that can be whole in time before others, where ranks differ) or `arrival`. Storage
    /// only.
    #[serde(default = "default_item_order")]
    pub item_order: String,
    /// error, warn, info, debug or trace.
    #[serde(default = "default_level")]
    pub log_level: String,
    /// The file that they were read from.
    #[serde(skip)]
    pub source: PathBuf,
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

fn default_losses() -> usize {
    1
}

fn default_contact() -> u64 {
    3_000
}

fn default_config_apply() -> u64 {
    2_000
}

fn default_heartbeat() -> u64 {
    1_200
}

fn default_drain() -> u64 {
    2_000
}

fn default_usage_late() -> u64 {
    10_000
}

/// On: a deployment whose engines are well tells next to nothing.
fn default_share_observations() -> bool {
    true
}

fn default_reject_unservable() -> bool {
    true
}

/// Engines that are full get a fifth more at most, and a service of which a tenth fails
/// has two copies for each request that needs one.
fn default_copies() -> u32 {
    20
}

fn default_item_order() -> String {
    ItemOrder::default().name().into()
}

fn default_item_placement() -> String {
    "relative-pace".into()
}

fn default_level() -> String {
    "info".into()
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
        let mut settings: Self = toml::from_str(&text).map_err(|source| SettingsError::Parse {
            path: path.to_path_buf(),
            source: Box::new(source),
        })?;
        settings.validate(role)?;
        settings.source = path.to_path_buf();
        Ok(settings)
    }

    /// Reads the file again and takes over what can change while a process
    /// runs. What cannot is named in the log, as is a file that is not valid:
    /// then nothing changes.
    pub fn reload(&mut self, role: ServerRole) {
        match Self::load(&self.source, role) {
            Ok(newer) => {
                let (applied, deferred) = self.apply_reloadable(newer);
                let (applied, deferred) = (applied.join(","), deferred.join(","));
                log::info!("step=reload taken={applied} needs_restart={deferred}");
            }
            Err(error) => log::error!("step=reload error={error}"),
        }
    }

    /// Names of the fields that were taken over, and of those that differ but
    /// need a restart.
    fn apply_reloadable(&mut self, newer: Self) -> (Vec<&'static str>, Vec<&'static str>) {
        let (mut applied, mut deferred) = (Vec::new(), Vec::new());
        macro_rules! apply {
            ($($field:ident),*) => {$(
                if self.$field != newer.$field {
                    applied.push(stringify!($field));
                    self.$field = newer.$field.clone();
                }
            )*};
        }
        macro_rules! require_restart {
            ($($field:ident),*) => {$(
                if self.$field != newer.$field {
                    deferred.push(stringify!($field));
                }
            )*};
        }
        apply!(store_address, grace_ms, order_lease_ms, job_keep_ms);
        apply!(engines_check_fences, item_order);
        apply!(loads_at_once, log_level, duty_address, usage_late_ms);
        require_restart!(name, zone, front_address, ready_address, peer_address);
        require_restart!(metrics_address, data_folder, tolerated_losses);
        require_restart!(disk_limit_mb, memory_limit_mb, usage_window_ms);
        require_restart!(
            keys_believed_ms,
            reject_unservable,
            copies_percent,
            share_observations
        );
        require_restart!(item_placement);
        require_restart!(
            contact_ms,
            config_apply_ms,
            engine_drain_ms,
            engine_heartbeat_ms
        );
        if let Ok(level) = self.log_level.parse() {
            peatgrade_runtime::logging::set_level(level);
        }
        (applied, deferred)
    }

    /// The same as a span; none if keys are always believed.
    pub fn max_key_staleness(&self) -> Option<Duration> {
        let limit = Some(self.keys_believed_ms).filter(|limit| *limit > 0);
        limit.map(Duration::from_millis)
    }

    /// How single requests go to engines.
    pub fn forwarder_settings(&self, seed: u64) -> ForwarderSettings {
        ForwarderSettings {
            zone: self.zone.clone(),
            seed,
            rejects_unservable: self.reject_unservable,
            retry_budget_percent: self.copies_percent,
        }
    }

    /// Bytes that a gateway may hold for its callers; none if its memory has no limit.
    pub fn caller_memory_bytes(&self) -> Option<usize> {
        let limit = Some(self.memory_limit_mb).filter(|limit| *limit > 0);
        limit.map(|limit| limit as usize * BYTES_PER_MB / CALLER_MEMORY_DIVISOR)
    }

    /// How waiting items are ordered.
    pub fn item_order(&self) -> ItemOrder {
        ItemOrder::from_name(&self.item_order).unwrap_or_default()
    }

    /// How engines are chosen for items; the usual way if the name is none.
    pub fn item_placement(&self) -> ItemPlacement {
        ItemPlacement::from_name(&self.item_placement).unwrap_or_default()
    }

    /// Spans within which news of the store reach all machines.
    pub fn mirror_timing(&self) -> MirrorTiming {
        let bound_ms = self.config_apply_ms.min(self.engine_drain_ms);
        MirrorTiming::for_staleness_bound(Duration::from_millis(bound_ms))
    }

    fn validate(&self, role: ServerRole) -> Result<(), SettingsError> {
        require_non_empty("name", &self.name)?;
        require_non_empty("zone", &self.zone)?;
        require_socket_address("peer_address", &self.peer_address)?;
        require_socket_address("store_address", &self.store_address)?;
        if !self.metrics_address.is_empty() {
            require_socket_address("metrics_address", &self.metrics_address)?;
        }
        match role {
            ServerRole::Gateway => {
                require_socket_address("front_address", &self.front_address)?;
                require_socket_address("ready_address", &self.ready_address)?;
            }
            ServerRole::Storage => {
                require_non_empty("data_folder", &self.data_folder)?;
                if ItemOrder::from_name(&self.item_order).is_none() {
                    return Err(SettingsError::Field {
                        field: "item_order",
                        reason: "must be groups-in-time or arrival",
                        value: self.item_order.clone(),
                    });
                }
                if self.usage_window_ms > 0 {
                    require_socket_address("duty_address", &self.duty_address)?;
                    require_at_least("usage_late_ms", self.usage_late_ms, MIN_USAGE_LATE_MS)?;
                }
            }
        }
        if self.log_level.parse::<log::LevelFilter>().is_err() {
            return Err(SettingsError::Field {
                field: "log_level",
                reason: "must be error, warn, info, debug or trace",
                value: self.log_level.clone(),
            });
        }
        if ItemPlacement::from_name(&self.item_placement).is_none() {
            return Err(SettingsError::Field {
                field: "item_placement",
                reason: "must be relative-pace, expected-end, priced-moves or by-paces",
                value: self.item_placement.clone(),
            });
        }
        require_at_least("engine_drain_ms", self.engine_drain_ms, 100)?;
        require_at_least("config_apply_ms", self.config_apply_ms, 100)?;
        require_at_least("engine_heartbeat_ms", self.engine_heartbeat_ms, 10)?;
        require_at_least("contact_ms", self.contact_ms, MIN_CONTACT_MS)?;
        if self.copies_percent > MAX_COPIES_PERCENT {
            return Err(SettingsError::Field {
                field: "copies_percent",
                reason: "must be at most 100",
                value: self.copies_percent.to_string(),
            });
        }
        if self.tolerated_losses > MAX_TOLERATED_LOSSES {
            return Err(SettingsError::Field {
                field: "tolerated_losses",
                reason: "must be at most 4",
                value: self.tolerated_losses.to_string(),
            });
        }
        Ok(())
    }
}

const BYTES_PER_MB: usize = 1024 * 1024;
/// Part of a gateway's memory for bytes of its callers. A request is there twice, as it
/// was read and as it goes to an engine, and the process itself needs the last third.
const CALLER_MEMORY_DIVISOR: usize = 3;
/// Shortest time in which a watch can be lost and made good.
const MIN_CONTACT_MS: u64 = 1_500;
/// A report needs an election, the lease of an earlier holder and a call in half of it.
const MIN_USAGE_LATE_MS: u64 = 2_000;
/// Beyond a copy of each request nothing would be bounded.
const MAX_COPIES_PERCENT: u32 = 100;
/// Larger groups would cost more than they protect.
const MAX_TOLERATED_LOSSES: usize = 4;

#[cfg(test)]
#[path = "../tests/unit/settings.rs"]
mod tests;
