//! Settings of a gateway or storage process.

use peatgrade_forward::ForwarderSettings;
use peatgrade_jobs::ItemPlacement;
use peatgrade_mirror::MirrorTiming;
use peatgrade_scheduling::ItemOrder;
use peatgrade_types::Duration;
use serde::Deserialize;
use std::path::{Path, PathBuf};

use crate::settings_validation::{
    require_at_least, require_in_range, require_non_empty, require_socket_address, SettingsError,
};

/// Settings read from a TOML file. Unknown fields are ignored.
#[derive(Clone, Debug, Deserialize, PartialEq)]
pub struct ServerSettings {
    /// Unique name of the machine.
    pub name: String,
    /// Zone of the machine.
    pub zone: String,
    /// IP:port for callers' and trainers' requests; gateways only.
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
    /// Directory of the replicated log; storage only.
    #[serde(default)]
    pub data_folder: String,
    /// Longest time from a stop signal to the exit of the process, in milliseconds.
    #[serde(default = "default_grace")]
    pub grace_ms: u64,
    /// Lease of the commands that the leader sends to engines, in milliseconds. A new leader
    /// sends none until the lease of the previous one has expired. Storage only.
    #[serde(default = "default_lease")]
    pub order_lease_ms: u64,
    /// Whether engines reject commands whose fencing token is lower than one seen before. A new
    /// leader then need not wait for the previous lease to expire. Storage only.
    #[serde(default)]
    pub engines_check_fences: bool,
    /// Retention of batch jobs, in milliseconds.
    #[serde(default = "default_keep")]
    pub job_keep_ms: u64,
    /// Maximum number of engines that load weights concurrently; 0 for a fraction of all.
    #[serde(default)]
    pub loads_at_once: usize,
    /// Number of storage machines that may fail simultaneously without data loss.
    #[serde(default = "default_losses")]
    pub tolerated_losses: usize,
    /// Time for which a storage machine counts as lost after its start with an empty disk, in
    /// seconds. Storage only.
    #[serde(default = "default_catch_up")]
    pub catch_up_s: f64,
    /// Time within which a machine must have received all changes after its connection to the
    /// store is restored, in milliseconds.
    #[serde(default = "default_contact")]
    pub contact_ms: u64,
    /// Time within which a configuration change must take effect, in milliseconds.
    #[serde(default = "default_config_apply")]
    pub config_apply_ms: u64,
    /// Time for which an engine keeps serving after it has announced that it is draining, in
    /// milliseconds.
    #[serde(default = "default_drain")]
    pub engine_drain_ms: u64,
    /// Heartbeat interval of engines in the object store, in milliseconds.
    #[serde(default = "default_heartbeat")]
    pub engine_heartbeat_ms: u64,
    /// Staleness of the configuration, in milliseconds, from which requests that need an API
    /// key are rejected, because the key may have been revoked; 0 for no limit. Gateways only.
    #[serde(default)]
    pub keys_believed_ms: u64,
    /// Disk space for data, in megabytes; 0 for no limit. Storage only.
    #[serde(default)]
    pub disk_limit_mb: u64,
    /// Memory limit of the process, in megabytes; 0 for no limit.
    #[serde(default)]
    pub memory_limit_mb: u64,
    /// Descriptors that the process may open; 0 for the limit of the operating system. Half of
    /// them are for callers' connections. Gateways only.
    #[serde(default)]
    pub max_open_files: u64,
    /// Length of the windows for which tenants' usage is reported, in milliseconds; 0 disables
    /// reporting. Must be the same on all machines.
    #[serde(default)]
    pub usage_window_ms: u64,
    /// Time after the end of a window within which its report is due, in milliseconds; storage
    /// only.
    #[serde(default = "default_usage_late")]
    pub usage_late_ms: u64,
    /// Policy that selects engines for items and decides when runs move: `relative-pace`,
    /// `expected-end`, `priced-moves` or `by-paces`. Storage only.
    #[serde(default = "default_item_placement")]
    pub item_placement: String,
    /// IP:port of the service that receives usage reports. Storage only; required if usage is
    /// reported.
    #[serde(default)]
    pub duty_address: String,
    /// Whether to share engine observations with other machines and to use theirs.
    #[serde(default = "default_share_observations")]
    pub share_observations: bool,
    /// Whether single requests that no engine can serve in time are rejected without being sent
    /// to one.
    #[serde(default = "default_reject_unservable")]
    pub reject_unservable: bool,
    /// Retry budget: number of retries and hedged requests per 100 first attempts of single
    /// requests; 0 for no limit.
    #[serde(default = "default_copies")]
    pub copies_percent: u32,
    /// Order in which waiting items are sent to engines: `groups-in-time` (by priority, and
    /// groups that can complete in time before others, if priorities differ) or `arrival`.
    /// Storage only.
    #[serde(default = "default_item_order")]
    pub item_order: String,
    /// Log level: error, warn, info, debug or trace.
    #[serde(default = "default_level")]
    pub log_level: String,
    /// Path of the file from which the settings were read.
    #[serde(skip)]
    pub source: PathBuf,
}

fn default_grace() -> u64 {
    8_000
}

fn default_lease() -> u64 {
    3_000
}

fn default_catch_up() -> f64 {
    5.0
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

fn default_share_observations() -> bool {
    true
}

fn default_reject_unservable() -> bool {
    true
}

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

/// Role of a process.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum ServerRole {
    /// Forwards callers' requests to engines.
    Gateway,
    /// Replicates batch jobs and, as leader, dispatches their items.
    Storage,
}

impl ServerSettings {
    /// Reads a file and validates the settings required for `role`.
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

    /// Reads the file again and applies the settings that can change at runtime. Changed
    /// settings that need a restart are logged. If the file is invalid, logs the error and
    /// changes nothing.
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

    /// Applies the settings that can change at runtime. Returns the names of the fields that
    /// were applied, and of those that differ but need a restart.
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
        require_restart!(
            disk_limit_mb,
            memory_limit_mb,
            max_open_files,
            usage_window_ms
        );
        require_restart!(
            keys_believed_ms,
            reject_unservable,
            copies_percent,
            share_observations
        );
        require_restart!(item_placement, catch_up_s);
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

    /// Maximum staleness of API keys; `None` for no limit.
    pub fn max_key_staleness(&self) -> Option<Duration> {
        let limit = Some(self.keys_believed_ms).filter(|limit| *limit > 0);
        limit.map(Duration::from_millis)
    }

    /// Settings of the forwarder, which sends single requests to engines.
    pub fn forwarder_settings(&self, seed: u64) -> ForwarderSettings {
        ForwarderSettings {
            zone: self.zone.clone(),
            seed,
            rejects_unservable: self.reject_unservable,
            retry_budget_percent: self.copies_percent,
        }
    }

    /// Ordering policy for waiting items; the default if the name is unknown.
    pub fn item_order(&self) -> ItemOrder {
        ItemOrder::from_name(&self.item_order).unwrap_or_default()
    }

    /// Placement policy for items; the default if the name is unknown.
    pub fn item_placement(&self) -> ItemPlacement {
        ItemPlacement::from_name(&self.item_placement).unwrap_or_default()
    }

    /// Time for which a storage machine counts as lost after its start with an empty disk.
    pub fn catch_up_time(&self) -> Duration {
        Duration((self.catch_up_s * 1e6) as u64)
    }

    /// Timing of the mirror, derived from the stricter bound on staleness.
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
        require_in_range("catch_up_s", self.catch_up_s, 0.0..=MAX_CATCH_UP_S)?;
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

/// Minimum of `contact_ms`: the time needed to detect and replace a lost watch.
const MIN_CONTACT_MS: u64 = 1_500;
/// Minimum of `usage_late_ms`: half of it must cover an election, the lease of the previous
/// leader and the call.
const MIN_USAGE_LATE_MS: u64 = 2_000;
const MAX_COPIES_PERCENT: u32 = 100;
const MAX_TOLERATED_LOSSES: usize = 4;
const MAX_CATCH_UP_S: f64 = 3_600.0;

#[cfg(test)]
#[path = "../tests/unit/settings.rs"]
mod tests;
