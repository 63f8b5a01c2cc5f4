//! Carrying out what nodes want done.

use peatgrade_models::WholeResponse;
use peatgrade_node_core::{Action, CallId, DiskId, Event, HttpId};
use peatgrade_schema::peer::mod_Envelope::OneOfbody;
use peatgrade_schema::peer::Envelope;
use peatgrade_storage::{BlobStore, DiskRequest};
use peatgrade_types::http::{HttpFailure, HttpRequest, HttpStep, ResponsePart};
use peatgrade_types::{Duration, NodeId};
use quick_protobuf::MessageWrite;

use super::{PlatformOwner, SimEvent, World, TICK};
use crate::process::{Arriving, OpenHttp};
use peatgrade_models::RequestId;

/// Bytes of IP and UDP headers.
const HEADER_BYTES: u64 = 28;
/// Time of a durable write and of a read.
const WRITE_TIME: Duration = Duration::from_millis(4);
const READ_TIME: Duration = Duration(300);
/// Time after which a connection that cannot be made is given up.
const CONNECT_LIMIT: Duration = Duration::from_millis(1_000);

impl World {
    pub(super) fn handle_node_event(&mut self, event: SimEvent) {
        match event {
            SimEvent::NodeStart { node } => self.start_node(node),
            SimEvent::NodeResume { node } => self.resume_node(node),
            SimEvent::DiskLimit { node, limit } => self.nodes[node].disk.set_limit(limit),
            SimEvent::Tick { node, generation } => self.tick_node(node, generation),
            SimEvent::Peer { node, from, body } => self.deliver(node, Event::Peer { from, body }),
            SimEvent::Call { node, arriving } => self.call_arrives(node, arriving),
            SimEvent::HttpOut {
                node,
                generation,
                id,
                address,
                request,
            } => {
                self.http_arrives(node, generation, id, &address, request);
            }
            SimEvent::HttpPart {
                node,
                generation,
                id,
                part,
            } => {
                self.part_arrives(node, generation, id, part);
            }
            SimEvent::HttpTimeout {
                node,
                generation,
                id,
            } => {
                self.check_timeout(node, generation, id);
            }
            SimEvent::Disk {
                node,
                generation,
                id,
                reply,
            } if self.nodes[node].generation == generation => {
                self.deliver(node, Event::Disk { id, reply });
            }
            _ => {}
        }
    }

    fn start_node(&mut self, node: usize) {
        if self.nodes[node].core.is_some() {
            return;
        }
        let region = self.deployment.region.clone();
        let seeds = self.deployment.seed_nodes();
        self.nodes[node].start(self.now, &region, &seeds, &self.settings);
        let generation = self.nodes[node].generation;
        self.queue
            .push(self.now, SimEvent::Tick { node, generation });
    }

    fn resume_node(&mut self, node: usize) {
        let process = &mut self.nodes[node];
        if process.paused_until.is_some_and(|until| self.now >= until) {
            process.paused_until = None;
            process.sound_since = process.sound_since.max(self.now);
            for event in std::mem::take(&mut process.deferred) {
                self.queue.push(self.now, event);
            }
        }
    }

    fn tick_node(&mut self, node: usize, generation: u64) {
        if self.nodes[node].generation != generation || self.nodes[node].core.is_none() {
            return;
        }
        self.queue
            .push(self.now + TICK, SimEvent::Tick { node, generation });
        self.deliver(node, Event::Tick);
        self.exit_if_drained(node);
    }

    /// Gives an event to a node and carries out what it wants done.
    pub(super) fn deliver(&mut self, node: usize, event: Event) {
        let now = self.now;
        let size = match &event {
            Event::Peer { from, body } => message_size(from.node.0, from.generation, body),
            _ => 0,
        };
        let process = &mut self.nodes[node];
        let Some(core) = process.core.as_mut() else {
            return;
        };
        process.traffic.bytes_in += size;
        let actions = core.handle(now, event);
        self.carry_out(node, actions);
    }

    pub(super) fn carry_out(&mut self, node: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send { to, body, .. } => self.send_peer(node, to, body),
                Action::Respond { call, part } => self.respond(node, call, part),
                Action::Http {
                    id,
                    address,
                    request,
                    timeout,
                } => {
                    self.send_http(node, id, address, request, timeout);
                }
                Action::CancelHttp { id } => self.cancel_http(node, id),
                Action::Disk { id, request } => self.use_disk(node, id, request),
            }
        }
    }

    fn send_peer(&mut self, node: usize, to: NodeId, body: OneOfbody) {
        let Some(&receiver) = self.index.get(&to) else {
            return;
        };
        let from = peatgrade_types::Identity {
            node: self.nodes[node].id,
            generation: self.nodes[node].generation,
        };
        let size = message_size(from.node.0, from.generation, &body);
        self.nodes[node].traffic.bytes_out += size;
        let (left, right) = (&self.nodes[node].zone, &self.nodes[receiver].zone);
        let delays = self
            .network
            .deliveries(self.now, &mut self.random, left, right);
        for delay in delays {
            let body = body.clone();
            let event = SimEvent::Peer {
                node: receiver,
                from,
                body,
            };
            self.queue.push(self.now + delay, event);
        }
    }

    fn respond(&mut self, node: usize, call: CallId, part: ResponsePart) {
        let process = &mut self.nodes[node];
        let Some(open) = process.calls.get_mut(&call) else {
            return;
        };
        match part {
            ResponsePart::Head(head) => open.head = Some(head),
            ResponsePart::Data(data) => open.body.extend_from_slice(&data),
            ResponsePart::End => {
                let Some(open) = process.calls.remove(&call) else {
                    return;
                };
                let response = WholeResponse {
                    head: open.head.unwrap_or_default(),
                    body: open.body.into(),
                };
                if let Some(client) = open.client {
                    let delay = self.network.client_delay(&mut self.random);
                    let event = SimEvent::ClientDone {
                        client,
                        result: Ok(response),
                    };
                    self.queue.push(self.now + delay, event);
                }
            }
            ResponsePart::Failed(failure) => {
                if let Some(client) = process.calls.remove(&call).and_then(|open| open.client) {
                    let event = SimEvent::ClientDone {
                        client,
                        result: Err(failure),
                    };
                    self.queue.push(self.now, event);
                }
            }
        }
    }

    fn send_http(
        &mut self,
        node: usize,
        id: HttpId,
        address: String,
        request: HttpRequest,
        timeout: Duration,
    ) {
        let zone = self.machine_zones.get(&address).cloned();
        let zone = zone.unwrap_or_else(|| self.nodes[node].zone.clone());
        let process = &mut self.nodes[node];
        let generation = process.generation;
        process.http.insert(
            id,
            OpenHttp {
                platform: None,
                zone: zone.clone(),
                timeout,
                heard: self.now,
                seen_head: false,
                torn: false,
            },
        );
        let home = process.zone.clone();
        if self.network.separated(self.now, &home, &zone) {
            let part = ResponsePart::Failed(HttpFailure {
                peer: address,
                step: HttpStep::Connect,
                reason: "no route".into(),
            });
            let event = SimEvent::HttpPart {
                node,
                generation,
                id,
                part,
            };
            return self.queue.push(self.now + CONNECT_LIMIT, event);
        }
        // A new connection costs a round trip before the request itself.
        let way = self.network.delay(&mut self.random, &home, &zone);
        let arrival = self.now + Duration(way.0 * 3);
        self.queue.push(
            arrival,
            SimEvent::HttpOut {
                node,
                generation,
                id,
                address,
                request,
            },
        );
        self.queue.push(
            self.now + timeout,
            SimEvent::HttpTimeout {
                node,
                generation,
                id,
            },
        );
    }

    fn http_arrives(
        &mut self,
        node: usize,
        generation: u64,
        id: HttpId,
        address: &str,
        request: HttpRequest,
    ) {
        let process = &mut self.nodes[node];
        if process.generation != generation {
            return;
        }
        let Some(open) = process.http.get_mut(&id) else {
            return;
        };
        let number = RequestId(self.next_platform);
        self.next_platform += 1;
        open.platform = Some(number);
        let owner = PlatformOwner::Node {
            node,
            generation,
            id,
        };
        self.platform_owner.insert(number, owner);
        self.platform.request(self.now, address, number, request);
        self.wake_platform();
    }

    fn part_arrives(&mut self, node: usize, generation: u64, id: HttpId, part: ResponsePart) {
        let process = &mut self.nodes[node];
        if process.generation != generation {
            return;
        }
        let Some(open) = process.http.get_mut(&id) else {
            return;
        };
        open.heard = self.now;
        open.seen_head |= matches!(part, ResponsePart::Head(_));
        if matches!(part, ResponsePart::End | ResponsePart::Failed(_)) {
            process.http.remove(&id);
        }
        self.deliver(node, Event::Http { id, part });
    }

    /// Ends a request whose other side has been silent for too long.
    fn check_timeout(&mut self, node: usize, generation: u64, id: HttpId) {
        let process = &mut self.nodes[node];
        if process.generation != generation {
            return;
        }
        let Some(open) = process.http.get(&id) else {
            return;
        };
        let silent = self.now.since(open.heard);
        if silent < open.timeout {
            let at = open.heard + open.timeout;
            return self.queue.push(
                at,
                SimEvent::HttpTimeout {
                    node,
                    generation,
                    id,
                },
            );
        }
        let step = if open.seen_head {
            HttpStep::Body
        } else {
            HttpStep::Head
        };
        if let Some(number) = open.platform {
            self.queue
                .push(self.now, SimEvent::CancelPlatform { id: number });
        }
        process.http.remove(&id);
        let part = ResponsePart::Failed(HttpFailure {
            peer: "engine".into(),
            step,
            reason: "timeout".into(),
        });
        self.deliver(node, Event::Http { id, part });
    }

    fn cancel_http(&mut self, node: usize, id: HttpId) {
        let open = self.nodes[node].http.remove(&id);
        if let Some(number) = open.and_then(|open| open.platform) {
            let at = self.now + Duration(300);
            self.queue.push(at, SimEvent::CancelPlatform { id: number });
        }
    }

    fn use_disk(&mut self, node: usize, id: DiskId, request: DiskRequest) {
        let process = &mut self.nodes[node];
        let writes = matches!(request, DiskRequest::Put { .. });
        let generation = process.generation;
        let reply = process.disk.serve(request);
        let at = self.now + if writes { WRITE_TIME } else { READ_TIME };
        self.queue.push(
            at,
            SimEvent::Disk {
                node,
                generation,
                id,
                reply,
            },
        );
    }

    /// Lets the platform work and passes on what came out.
    pub(super) fn wake_platform(&mut self) {
        for (number, part) in self.platform.advance(self.now) {
            let last = matches!(part, ResponsePart::End | ResponsePart::Failed(_));
            match self.platform_owner.get(&number).copied() {
                Some(PlatformOwner::Node {
                    node,
                    generation,
                    id,
                }) => {
                    self.part_leaves(node, generation, id, part);
                }
                Some(PlatformOwner::Client(client)) => self.client_part(client, part),
                None => {}
            }
            if last {
                self.platform_owner.remove(&number);
            }
        }
        let Some(next) = self.platform.next_wake(self.now) else {
            return;
        };
        let next = next.max(self.now + Duration(1_000));
        let planned = self.platform_wake.filter(|planned| *planned > self.now);
        if planned.is_none_or(|planned| next < planned) {
            self.platform_wake = Some(next);
            self.queue.push(next, SimEvent::PlatformWake);
        }
    }

    fn part_leaves(&mut self, node: usize, generation: u64, id: HttpId, part: ResponsePart) {
        let process = &mut self.nodes[node];
        let Some(open) = process.http.get_mut(&id) else {
            return;
        };
        // A connection delivers in order or not at all: what comes after a part
        // that was lost waits for it, until the time limit ends the request.
        open.torn |= self.network.separated(self.now, &process.zone, &open.zone);
        if open.torn {
            return;
        }
        let base = if process.zone == open.zone {
            self.deployment.local_delay_us
        } else {
            self.deployment.zone_delay_us
        };
        // Parts of one response stay in order: their delay does not vary.
        let event = SimEvent::HttpPart {
            node,
            generation,
            id,
            part,
        };
        self.queue.push(self.now + Duration(base), event);
    }

    /// A client's request reaches a node.
    fn call_arrives(&mut self, node: usize, arriving: Arriving) {
        if self.nodes[node].core.is_none() {
            let failure = self.failure(HttpStep::Connect, "connection refused");
            let event = SimEvent::ClientDone {
                client: arriving.client,
                result: Err(failure),
            };
            return self.queue.push(self.now, event);
        }
        let call = self.nodes[node].open_call(arriving.client);
        let request = arriving.request;
        self.deliver(node, Event::Call { call, request });
    }
}

/// Bytes of a message on the wire, with headers.
fn message_size(node: u32, generation: u64, body: &OneOfbody) -> u64 {
    let envelope = Envelope {
        from: node,
        generation,
        body: body.clone(),
    };
    envelope.get_size() as u64 + HEADER_BYTES
}
