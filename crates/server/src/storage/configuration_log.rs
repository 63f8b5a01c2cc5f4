//! The newest version of the configuration that the log names.
//!
//! Every accepted job names the newest version that its gateway and its leader knew, and a leader
//! logs each newer version while jobs are open. A leader with an older configuration, because the
//! store refuses it, then knows that it is outdated: it holds final decisions on items and asks
//! other members for the newer configuration.

use peatgrade_schema::encode;
use peatgrade_schema::replication::mod_JobCommand::OneOfbody;
use peatgrade_schema::replication::{ConfigurationInForce, JobCommand};
use peatgrade_types::{Duration, Time};

use super::process::StorageProcess;

/// Time for which a configuration may be outdated before other members are asked for a newer one.
/// Longer than the difference between the times at which machines read a change from the store.
const OUTDATED_GRACE: Duration = Duration::from_millis(200);

/// Since when the configuration is outdated, and when the store last confirmed it.
#[derive(Debug, Default)]
pub(super) struct ConfigurationFreshness {
    /// When the store is known to have held the applied configuration as its newest.
    confirmed_at: Time,
    outdated_since: Option<Time>,
}

impl ConfigurationFreshness {
    pub fn record_confirmed(&mut self, at: Time) {
        self.confirmed_at = self.confirmed_at.max(at);
    }

    pub fn confirmed_at(&self) -> Time {
        self.confirmed_at
    }

    /// Whether the configuration has been outdated for longer than machines usually differ.
    pub fn is_long_outdated(&self, now: Time) -> bool {
        let since = self.outdated_since;
        since.is_some_and(|since| now.since(since) >= OUTDATED_GRACE)
    }
}

impl StorageProcess {
    /// Newest version known to the sender of a submission, to the log or to this leader.
    pub(super) fn newest_known_configuration(&self, told_by_gateway: u64) -> u64 {
        told_by_gateway
            .max(self.configuration.version)
            .max(self.jobs.newest_configuration())
    }

    /// Describes the applied configuration in log lines.
    pub(super) fn describe_configuration(&self, now: Time) -> String {
        format!(
            "configuration={} configuration_age_ms={}",
            self.configuration.version,
            now.since(self.configuration_freshness.confirmed_at)
                .as_millis()
        )
    }

    /// Logs the version that this leader applies if it is newer than any that the log names.
    /// Without open items, the next job names it.
    pub(super) fn log_configuration_version(&mut self, now: Time) {
        let version = self.configuration.version;
        let logged = self.jobs.newest_configuration();
        let known = logged.max(self.leader_session.proposed_configuration());
        if version <= known || self.dispatcher.open_items() == 0 {
            return;
        }
        let command = JobCommand {
            body: OneOfbody::configuration(ConfigurationInForce { version }),
        };
        if self.replica.propose(now, encode(&command)).is_some() {
            self.leader_session.set_proposed_configuration(version);
            log::info!("decision=log-configuration version={version} logged={logged}");
        }
    }

    /// Compares the applied configuration with the newest that the log names.
    pub(super) fn update_configuration_freshness(&mut self, now: Time) {
        let logged = self.jobs.newest_configuration();
        let is_outdated = self.configuration.version < logged;
        let freshness = &mut self.configuration_freshness;
        if is_outdated == freshness.outdated_since.is_some() {
            return;
        }
        freshness.outdated_since = is_outdated.then_some(now);
        log::info!(
            "belief=configuration-outdated value={is_outdated} newest_logged={logged} {}",
            self.describe_configuration(now)
        );
    }
}
