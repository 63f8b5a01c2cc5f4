//! Decisions under a configuration that is older than the newest one that the log names.
//!
//! A leader that cannot read the store may apply an older configuration than the one under which a
//! job was accepted, or under which an earlier leader worked. Such a leader runs items, but decides
//! nothing finally by its configuration: neither that a route is gone nor that a limit is reached.

use peatgrade_ports::Configuration;
use peatgrade_types::Time;

use super::eligibility::batch_route;
use super::Dispatcher;
use crate::item::ItemKey;

/// Age of the configuration that the dispatcher applies.
#[derive(Debug, Default)]
pub(super) struct ConfigurationAge {
    /// Newest version that the log names.
    newest_logged: u64,
    /// When the store is known to have held the applied version.
    confirmed_at: Time,
    /// Version of the configuration whose settings running items have.
    applied_to_runs: u64,
    /// Applied and newest logged version at the last log line about held items.
    logged_hold: Option<(u64, u64)>,
}

impl ConfigurationAge {
    pub fn record_logged_version(&mut self, version: u64) {
        self.newest_logged = self.newest_logged.max(version);
    }

    /// Whether the log names a newer version than this configuration.
    pub fn is_outdated(&self, configuration: &Configuration) -> bool {
        configuration.version < self.newest_logged
    }
}

impl Dispatcher {
    /// Sets when the store is known to have held the configuration that is passed to
    /// [`Self::poll`].
    pub fn set_configuration_confirmed_at(&mut self, at: Time) {
        self.configuration_age.confirmed_at = at;
    }

    pub(super) fn is_outdated(&self, configuration: &Configuration) -> bool {
        self.configuration_age.is_outdated(configuration)
    }

    /// Allows running items to have several versions of the weights if their route does. Items
    /// opened under an outdated configuration may have only one until then.
    pub(super) fn apply_settings_to_runs(&mut self, configuration: &Configuration) {
        let is_applied = self.configuration_age.applied_to_runs == configuration.version;
        if is_applied || self.is_outdated(configuration) {
            return;
        }
        self.configuration_age.applied_to_runs = configuration.version;
        self.count_visits(self.items.len());
        let running = self.items.values_mut().filter(|item| item.run.is_some());
        for item in running.filter(|item| item.single_version) {
            let route = batch_route(item, configuration);
            item.single_version = route.is_none_or(|route| route.single_version);
        }
    }

    /// Gives an item up for a reason that depends on the configuration. If the configuration is
    /// outdated, the item is held instead. Returns whether it was given up.
    pub(super) fn give_up_unless_outdated(
        &mut self,
        now: Time,
        key: &ItemKey,
        reason: &str,
        configuration: &Configuration,
    ) -> bool {
        if self.is_outdated(configuration) {
            self.log_hold(now, key, reason, configuration);
            return false;
        }
        self.give_up(now, key, reason, configuration);
        true
    }

    /// Describes the configuration under which a decision is made.
    pub(super) fn describe_configuration(
        &self,
        now: Time,
        configuration: &Configuration,
    ) -> String {
        format!(
            "configuration={} newest_logged={} configuration_age_ms={}",
            configuration.version,
            self.configuration_age.newest_logged,
            now.since(self.configuration_age.confirmed_at).as_millis()
        )
    }

    /// Logs the first held item for each pair of versions. Reports of waiting items name the
    /// others.
    fn log_hold(&mut self, now: Time, key: &ItemKey, reason: &str, configuration: &Configuration) {
        let versions = (configuration.version, self.configuration_age.newest_logged);
        if self.configuration_age.logged_hold.replace(versions) == Some(versions) {
            return;
        }
        let item = self.items.get(key).map(|item| item.item().id.as_str());
        log::warn!(
            "decision=hold item={} job={} reason={reason} {}",
            item.unwrap_or("unknown"),
            key.0,
            self.describe_configuration(now, configuration)
        );
    }
}
