//! Carries out what the gateway's core wants done.

use peatgrade_forward::ForwardAction;
use peatgrade_gateway::GatewayAction;
use peatgrade_runtime::{Delivery, SendOptions};
use peatgrade_schema::encode;
use peatgrade_schema::replication::mod_ReplicaMessage::OneOfbody;
use peatgrade_schema::replication::ReplicaMessage;
use peatgrade_types::http::ResponsePart;
use std::time::Duration;

use super::GatewayProcess;
use crate::clock::steady_now;
use crate::engine_check::check_options;

/// Longest silence within an exchange with an engine.
const ENGINE_SILENCE: Duration = Duration::from_secs(60);

impl GatewayProcess {
    /// Tells the core which requests got a connection, before it decides about any: what
    /// it believes not to have left then has not, and does not once it is cancelled.
    pub(super) fn hear_opened(&mut self) {
        for opened in self.client.take_connected() {
            let connected_in = opened.connect_time.map(in_micros);
            self.gateway.on_engine_connected(opened.id, connected_in);
        }
    }

    pub(super) fn carry_out(&mut self, actions: Vec<GatewayAction>) {
        for action in actions {
            match action {
                GatewayAction::Forward(action) => self.carry_out_forward(action),
                GatewayAction::SendJobCall { address, call } => {
                    let message = ReplicaMessage {
                        from: 0,
                        to: 0,
                        term: 0,
                        from_address: self.settings.peer_address.clone(),
                        body: OneOfbody::job_call(call),
                    };
                    self.link.send(&address, encode(&message), Delivery::Stream);
                }
            }
        }
    }

    fn carry_out_forward(&mut self, action: ForwardAction) {
        match action {
            ForwardAction::Respond { call, part } => {
                let last = matches!(part, ResponsePart::End | ResponsePart::Failed(_));
                if let ResponsePart::Head(head) = &part {
                    let status = head.status.to_string();
                    self.metrics.answers.with_label_values(&[&status]).inc();
                }
                if let Some(open) = self.calls.get(&call) {
                    let _ = open.responder.send(part);
                }
                if last {
                    if let Some(open) = self.calls.remove(&call) {
                        let took = steady_now().since(open.since);
                        self.metrics.request_seconds.observe(took.as_secs_f64());
                    }
                }
            }
            ForwardAction::SendHttp {
                id,
                address,
                request,
                new_connection,
            } => {
                self.metrics.count("engine_attempt");
                let options = SendOptions {
                    read_timeout: ENGINE_SILENCE,
                    new_connection,
                    batch_reads: false,
                };
                let cancel = self.client.send(id, &address, request, options);
                self.requests.insert(id, cancel);
            }
            ForwardAction::ProbeEngine {
                id,
                address,
                request,
            } => {
                self.metrics.count("engine_check");
                let cancel = self.client.send(id, &address, request, check_options());
                self.requests.insert(id, cancel);
            }
            ForwardAction::ExecutionStarted { tenant, at } => self.usage.began(at, &tenant),
            ForwardAction::CancelHttp(id) => {
                self.metrics.count("engine_attempt_cancelled");
                self.requests.remove(&id);
            }
            // Only reward calls are given up for it.
            ForwardAction::EngineFailed(_) => {}
        }
    }
}

/// The same span as the cores count it.
pub(crate) fn in_micros(span: Duration) -> peatgrade_types::Duration {
    peatgrade_types::Duration(u64::try_from(span.as_micros()).unwrap_or(u64::MAX))
}
