//! Executes the actions that the gateway core returns.

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
use crate::engine_probe::probe_options;

/// Longest wait for the next part of an engine's response.
const ENGINE_IDLE_TIMEOUT: Duration = Duration::from_secs(60);

impl GatewayProcess {
    /// Reports the requests that obtained a connection. Called before the core decides about
    /// retries, so that a request it regards as unsent has not been sent, and a cancelled one
    /// never will be.
    pub(super) fn report_opened_connections(&mut self) {
        for opened in self.client.take_connected() {
            let connected_in = opened.connect_time.map(from_std_duration);
            self.gateway.on_engine_connected(opened.id, connected_in);
            if opened.is_resent {
                self.gateway.on_engine_resent(opened.id);
            }
        }
    }

    pub(super) fn execute(&mut self, actions: Vec<GatewayAction>) {
        for action in actions {
            match action {
                GatewayAction::Forward(action) => self.execute_forward(action),
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

    fn execute_forward(&mut self, action: ForwardAction) {
        match action {
            ForwardAction::Respond { call, part } => {
                let is_last = matches!(part, ResponsePart::End | ResponsePart::Failed(_));
                if let ResponsePart::Head(head) = &part {
                    let status = head.status.to_string();
                    self.metrics.responses.with_label_values(&[&status]).inc();
                }
                if let Some(open) = self.calls.get(&call) {
                    let _ = open.responder.send(part);
                }
                if is_last {
                    if let Some(open) = self.calls.remove(&call) {
                        let elapsed = steady_now().since(open.started);
                        self.metrics.request_seconds.observe(elapsed.as_secs_f64());
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
                    new_connection,
                    ..SendOptions::with_read_timeout(ENGINE_IDLE_TIMEOUT)
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
                let cancel = self.client.send(id, &address, request, probe_options());
                self.requests.insert(id, cancel);
            }
            ForwardAction::ExecutionStarted { tenant, at } => self.usage.record_start(at, &tenant),
            ForwardAction::CancelHttp(id) => {
                self.metrics.count("engine_attempt_cancelled");
                self.requests.remove(&id);
            }
            // Only matters for reward calls, which gateways do not make.
            ForwardAction::EngineFailed(_) => {}
        }
    }
}

/// Converts to the duration type of the core crates, in microseconds.
pub(crate) fn from_std_duration(duration: Duration) -> peatgrade_types::Duration {
    peatgrade_types::Duration(u64::try_from(duration.as_micros()).unwrap_or(u64::MAX))
}
