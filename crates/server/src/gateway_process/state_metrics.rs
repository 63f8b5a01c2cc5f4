//! State metrics of the gateway.

use peatgrade_types::Time;

use super::GatewayProcess;

impl GatewayProcess {
    pub(super) fn update_state_metrics(&self, now: Time) {
        let configuration = &self.gateway.configuration;
        let version = configuration.as_ref().map_or(0, |c| c.version);
        let list_age = now.since(self.gateway.directory.confirmed_at);
        self.metrics.set("configuration_version", version);
        self.metrics
            .set("engines", self.gateway.directory.len() as u64);
        let directory = &self.gateway.directory;
        self.metrics
            .set("engine_lives_ended", directory.ended_incarnations());
        self.metrics
            .set("engines_absent", directory.absent_count(now) as u64);
        self.metrics.set("engine_list_age_ms", list_age.as_millis());
        self.metrics.set(
            "store_news_age_ms",
            self.subscriber.staleness(now).as_millis(),
        );
        self.metrics
            .set("watches_store", u64::from(self.subscriber.watches_store()));
        self.metrics
            .set("requests_in_flight", self.gateway.in_flight() as u64);
        let unacknowledged = self.usage.unacknowledged_starts() as u64;
        self.metrics.set("usage_unacknowledged", unacknowledged);
        self.metrics.set("ready", u64::from(self.is_ready()));
        self.update_caller_memory_metrics();
        self.update_observation_metrics(now);
        let counts = self.gateway.forward_counts();
        let quarantine = self.gateway.directory.quarantine.metrics();
        for (name, value) in counts.metrics().into_iter().chain(quarantine) {
            self.metrics.set(name, value);
        }
    }
}
