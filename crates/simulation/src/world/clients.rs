//! Callers, trainers and operators.

use peatgrade_models::{ClientRequest, Target, WholeResponse};
use peatgrade_node_core::Event;
use peatgrade_types::http::{HttpFailure, HttpRequest, HttpStep, ResponsePart};
use peatgrade_types::{Duration, Time};
use rand::seq::IndexedRandom;

use super::{ClientRef, PlatformOwner, SimEvent, World, CHANGE_EVERY};
use crate::operators;
use crate::process::Arriving;
use peatgrade_models::RequestId;

impl World {
    pub(super) fn wake_workload(&mut self) {
        self.workload_wake = None;
        for request in self.workload.poll(self.now) {
            let client = ClientRef::Caller(request.id);
            self.send_client(client, request);
        }
        self.schedule_workload();
    }

    fn schedule_workload(&mut self) {
        let Some(next) = self.workload.next_wake() else {
            return;
        };
        let at = next.max(self.now + Duration(100));
        if self.workload_wake.is_none_or(|planned| at < planned) {
            self.workload_wake = Some(at);
            self.queue.push(at, SimEvent::WorkloadWake);
        }
    }

    pub(super) fn wake_trainer(&mut self, trainer: usize) {
        if self.now > self.end {
            return;
        }
        if let Some(request) = self.trainers[trainer].poll(self.now) {
            let client = ClientRef::Trainer(trainer, request.id);
            self.send_client(client, request);
        }
    }

    fn schedule_trainer(&mut self, trainer: usize) {
        let at = self.trainers[trainer]
            .next_wake()
            .max(self.now + Duration(100));
        self.queue.push(at, SimEvent::TrainerWake { trainer });
    }

    fn send_client(&mut self, client: ClientRef, request: ClientRequest) {
        let delay = self.network.client_delay(&mut self.random);
        let event = match request.target {
            Target::Node(index) => {
                let node = index % self.nodes.len();
                self.open_clients.insert(client, node);
                let arriving = Arriving {
                    client,
                    request: request.request,
                };
                SimEvent::Call { node, arriving }
            }
            Target::Platform => SimEvent::PlatformCall {
                client,
                request: request.request,
            },
        };
        self.queue.push(self.now + delay, event);
        let timeout = self.now + request.timeout;
        self.queue.push(timeout, SimEvent::ClientTimeout { client });
    }

    pub(super) fn platform_call(&mut self, client: ClientRef, request: HttpRequest) {
        let number = RequestId(self.next_platform);
        self.next_platform += 1;
        self.platform_owner
            .insert(number, PlatformOwner::Client(client));
        self.platform
            .request(self.now, peatgrade_models::platform::STORE, number, request);
        self.wake_platform();
    }

    /// A part of the platform's answer to a client; clients take whole ones.
    pub(super) fn client_part(&mut self, client: ClientRef, part: ResponsePart) {
        let result = match part {
            ResponsePart::Head(head) => Ok(WholeResponse {
                head,
                body: Default::default(),
            }),
            ResponsePart::Failed(failure) => Err(failure),
            _ => return,
        };
        let delay = Duration(self.deployment.client_delay_us);
        self.queue
            .push(self.now + delay, SimEvent::ClientDone { client, result });
    }

    pub(super) fn client_done(
        &mut self,
        client: ClientRef,
        result: Result<WholeResponse, HttpFailure>,
    ) {
        self.open_clients.remove(&client);
        match client {
            ClientRef::Caller(number) => {
                self.workload.on_response(self.now, number, result);
                self.schedule_workload();
            }
            ClientRef::Trainer(trainer, id) => {
                let before = self.trainers[trainer].stats().steps;
                self.trainers[trainer].on_response(self.now, id, result);
                let after = self.trainers[trainer].stats().steps;
                if after > before {
                    self.note_commit(trainer, after);
                }
                self.schedule_trainer(trainer);
            }
            ClientRef::Operator(race) => {
                let won = result.is_ok_and(|response| response.head.status == 200);
                if won {
                    *self.races.entry(race).or_default() += 1;
                }
            }
        }
    }

    /// Starts the clock for the new version to reach the trainer's engines.
    fn note_commit(&mut self, trainer: usize, version: u64) {
        let name = self.trainers[trainer].name().to_string();
        let pool = self.nodes.iter_mut().find_map(|node| {
            let status = node.core.as_mut()?.status();
            (status.config > 0).then_some(())
        });
        let pool = pool.and_then(|()| pool_of(&self.deployment, &name));
        if let Some(pool) = pool {
            self.commits.entry(pool).or_insert((version, self.now));
        }
    }

    pub(super) fn client_timeout(&mut self, client: ClientRef) {
        let Some(node) = self.open_clients.remove(&client) else {
            return;
        };
        let process = &mut self.nodes[node];
        let call = process
            .calls
            .iter()
            .find(|(_, open)| open.client == Some(client));
        if let Some(call) = call.map(|(call, _)| *call) {
            process.calls.remove(&call);
            self.deliver(node, Event::CallerGone { call });
        }
        let failure = self.failure(HttpStep::Head, "the client gave up");
        self.client_done(client, Err(failure));
    }

    /// An operator changes a tenant.
    pub(super) fn change_something(&mut self) {
        if self.now >= self.end {
            return;
        }
        self.queue
            .push(self.now + CHANGE_EVERY, SimEvent::OperatorChange);
        let value = operators::good_value(&mut self.random);
        self.send_change(value, "olive", 0);
    }

    /// Sends a change of some tenant to the store.
    pub(super) fn send_change(&mut self, value: serde_json::Value, author: &str, delay_us: u64) {
        let tenants: Vec<_> = self
            .platform
            .store
            .objects()
            .filter(|object| object.key.starts_with("tenant/"))
            .cloned()
            .collect();
        let Some(object) = tenants.choose(&mut self.random) else {
            return;
        };
        if let Some(request) = operators::change(object, value, author) {
            self.operator_requests += 1;
            let client = ClientRef::Operator(self.operator_requests);
            let at = self.now + Duration(delay_us);
            self.queue
                .push(at, SimEvent::PlatformCall { client, request });
        }
    }

    /// Two operators change the same object from the same version.
    pub(super) fn race(&mut self) {
        let key = self
            .platform
            .store
            .objects()
            .find(|object| object.key.starts_with("tenant/"))
            .cloned();
        let Some(object) = key else {
            return;
        };
        self.operator_requests += 1;
        let race = self.operator_requests;
        for author in ["olive", "omar"] {
            let value = operators::good_value(&mut self.random);
            if let Some(request) = operators::change(&object, value, author) {
                let client = ClientRef::Operator(race);
                let at: Time = self.now + Duration(500);
                self.queue
                    .push(at, SimEvent::PlatformCall { client, request });
            }
        }
    }

    /// Races in which both operators were told that they won.
    pub fn double_wins(&self) -> usize {
        self.races.values().filter(|wins| **wins > 1).count()
    }
}

/// Pool whose engines a trainer's weights go to.
fn pool_of(deployment: &peatgrade_models::Deployment, trainer: &str) -> Option<String> {
    let tenant = deployment
        .documents
        .iter()
        .find(|(_, body)| body["parameters"]["trainer"].as_str() == Some(trainer))?;
    tenant.1["parameters"]["pool"].as_str().map(str::to_string)
}
