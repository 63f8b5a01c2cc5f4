//! Exchanges engine observations with the publishers in mirror requests and replies.

use peatgrade_observations::FeedCursor;
use peatgrade_schema::replication::{MirrorReply, MirrorRequest};
use peatgrade_types::Time;

use super::GatewayProcess;
use crate::observations::ObservationSharing;
use crate::settings::ServerSettings;

/// State of the exchange with the publishers.
pub(super) struct ObservationExchange {
    sharing: ObservationSharing,
    /// Position up to which a publisher's feed has been received.
    cursor: FeedCursor,
}

impl ObservationExchange {
    pub fn new(settings: &ServerSettings) -> Self {
        Self {
            sharing: ObservationSharing::new(settings),
            cursor: FeedCursor::default(),
        }
    }
}

impl GatewayProcess {
    /// Adds the observations made since the last request.
    pub(super) fn add_observations(&mut self, now: Time, request: &mut MirrorRequest) {
        let exchange = &mut self.observations;
        exchange.sharing.collect(now, &self.gateway.directory);
        request.observations = exchange.sharing.take_outgoing(now, &self.metrics);
        request.failure_mark = exchange.cursor.failure;
        request.load_mark = exchange.cursor.load;
    }

    pub(super) fn apply_observations(&mut self, now: Time, reply: &MirrorReply) {
        let exchange = &mut self.observations;
        exchange.cursor = FeedCursor {
            failure: reply.failure_mark,
            load: reply.load_mark,
        };
        let directory = &mut self.gateway.directory;
        exchange
            .sharing
            .receive(now, &reply.observations, directory, &self.metrics);
    }

    pub(super) fn update_observation_metrics(&self, now: Time) {
        let directory = &self.gateway.directory;
        self.observations
            .sharing
            .update_metrics(now, directory, &self.metrics);
    }
}
