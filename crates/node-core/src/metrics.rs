//! Counters of a node, in the Prometheus text format.

use prometheus::{Encoder, IntCounter, IntCounterVec, IntGauge, Opts, Registry, TextEncoder};

/// Counters and gauges; one registry per node, so that many nodes can share a
/// process.
#[derive(Debug)]
pub(crate) struct Metrics {
    registry: Registry,
    pub requests: IntCounterVec,
    pub retries: IntCounter,
    pub hedges: IntCounter,
    pub resumed: IntCounter,
    pub samples_finished: IntCounter,
    pub steps_sealed: IntCounter,
    pub peer_messages_out: IntCounter,
    pub peer_messages_in: IntCounter,
    pub in_flight: IntGauge,
    pub config_number: IntGauge,
    pub roster_number: IntGauge,
    pub members: IntGauge,
    pub register_values: IntGauge,
}

impl Metrics {
    pub fn new() -> Self {
        let registry = Registry::new();
        let counter = |name: &str, help: &str| {
            let made = IntCounter::new(name, help).expect("valid name");
            registry
                .register(Box::new(made.clone()))
                .expect("unique name");
            made
        };
        let gauge = |name: &str, help: &str| {
            let made = IntGauge::new(name, help).expect("valid name");
            registry
                .register(Box::new(made.clone()))
                .expect("unique name");
            made
        };
        let options = Opts::new(
            "peatgrade_requests_total",
            "Requests ended, by tenant and outcome",
        );
        let requests = IntCounterVec::new(options, &["tenant", "outcome"]).expect("valid name");
        registry
            .register(Box::new(requests.clone()))
            .expect("unique name");
        Self {
            requests,
            retries: counter("peatgrade_retries_total", "Requests sent again"),
            hedges: counter("peatgrade_hedges_total", "Requests sent to a second engine"),
            resumed: counter(
                "peatgrade_resumed_total",
                "Generations continued on another engine",
            ),
            samples_finished: counter("peatgrade_samples_finished_total", "Samples stored"),
            steps_sealed: counter("peatgrade_steps_sealed_total", "Steps sealed by this node"),
            peer_messages_out: counter(
                "peatgrade_peer_messages_out_total",
                "Messages sent to nodes",
            ),
            peer_messages_in: counter("peatgrade_peer_messages_in_total", "Messages from nodes"),
            in_flight: gauge("peatgrade_in_flight", "Requests in flight"),
            config_number: gauge("peatgrade_config_number", "Configuration in force"),
            roster_number: gauge("peatgrade_roster_number", "Roster in force"),
            members: gauge("peatgrade_members", "Reachable members of the region"),
            register_values: gauge("peatgrade_register_values", "Register values held here"),
            registry,
        }
    }

    pub fn ended(&self, tenant: &str, outcome: &str) {
        self.requests.with_label_values(&[tenant, outcome]).inc();
    }

    pub fn render(&self) -> Vec<u8> {
        let mut text = Vec::new();
        let families = self.registry.gather();
        if TextEncoder::new().encode(&families, &mut text).is_err() {
            text.clear();
        }
        text
    }
}
