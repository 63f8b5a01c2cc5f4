//! Shares engine observations with other machines.

use peatgrade_fleet::{AcceptedObservations, EngineDirectory};
use peatgrade_observations::{
    from_message, Observation, Outbox, ReportFilter, Urgency, MAX_OBSERVATION_BYTES,
};
use peatgrade_schema::replication::EngineObservation;
use peatgrade_types::Time;

use crate::metrics::Metrics;
use crate::settings::ServerSettings;

/// Collects local observations, queues outgoing ones and applies received ones.
pub(crate) struct ObservationSharing {
    enabled: bool,
    /// Name of this machine, by which others attribute its observations.
    source: String,
    report_filter: ReportFilter,
    outbox: Outbox,
    suspects_local_link: bool,
}

impl ObservationSharing {
    pub fn new(settings: &ServerSettings) -> Self {
        Self {
            enabled: settings.share_observations,
            source: settings.name.clone(),
            report_filter: ReportFilter::default(),
            outbox: Outbox::default(),
            suspects_local_link: false,
        }
    }

    /// Queues and returns the local observations that are due to be reported.
    pub fn collect(
        &mut self,
        now: Time,
        directory: &EngineDirectory,
    ) -> Vec<(Urgency, Observation)> {
        if !self.enabled {
            return Vec::new();
        }
        let suspects_local_link = directory.suspects_local_link(now);
        if suspects_local_link != self.suspects_local_link {
            self.suspects_local_link = suspects_local_link;
            log::info!("belief=own-link-suspected value={suspects_local_link}");
        }
        let reported = directory.observations_to_report(now, &self.source, &mut self.report_filter);
        for (urgency, observation) in &reported {
            self.outbox.put(*urgency, observation.clone());
        }
        reported
    }

    /// Queues an observation of another machine to be sent on.
    pub fn relay(&mut self, urgency: Urgency, observation: Observation) {
        self.outbox.put(urgency, observation);
    }

    /// Removes and returns the observations for the next message.
    pub fn take_outgoing(&mut self, now: Time, metrics: &Metrics) -> Vec<EngineObservation> {
        let reported = self.outbox.take(now, MAX_OBSERVATION_BYTES);
        increment(metrics, "observation_sent", reported.len() as u64);
        metrics.set("observations_dropped", self.outbox.dropped());
        reported
    }

    pub fn is_outbox_empty(&self) -> bool {
        self.outbox.is_empty()
    }

    /// Applies observations received from another machine.
    pub fn receive(
        &mut self,
        now: Time,
        messages: &[EngineObservation],
        directory: &mut EngineDirectory,
        metrics: &Metrics,
    ) -> AcceptedObservations {
        if !self.enabled || messages.is_empty() {
            return AcceptedObservations::default();
        }
        let received = messages
            .iter()
            .filter_map(|message| from_message(now, message));
        let applied = directory.apply_observations(now, &self.source, received);
        let accepted = applied.accepted.len() as u64;
        increment(metrics, "observation_taken", accepted);
        increment(
            metrics,
            "observation_ignored",
            messages.len() as u64 - accepted,
        );
        for change in &applied.health_changes {
            log::info!(
                "belief=engine-told instance={} source={} age_ms={} standing={:?}",
                change.engine,
                change.source,
                change.age.as_millis(),
                change.health
            );
        }
        applied
    }

    /// Updates the metrics of failures reported by other machines.
    pub fn update_metrics(&self, now: Time, directory: &EngineDirectory, metrics: &Metrics) {
        let (engines, oldest) = directory.peer_failure_stats(now);
        metrics.set("engines_told_failing", engines);
        metrics.set("told_failure_age_ms", oldest.as_millis());
    }
}

fn increment(metrics: &Metrics, event: &str, amount: u64) {
    metrics.events.with_label_values(&[event]).inc_by(amount);
}

#[cfg(test)]
#[path = "../tests/unit/observations.rs"]
mod tests;
