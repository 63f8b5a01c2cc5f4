//! The stand-in platform: every model of a deployment behind its own port.
//!
//! ```text
//!  listener per machine --request--> world task: Platform --part--> connection
//! ```
//!
//! Besides what the models serve, the store's address takes `POST /faults`
//! and answers `GET /executions?after=N` with what engines ran, which the
//! oracle of an experiment reads.

use futures_channel::mpsc::{unbounded, UnboundedReceiver, UnboundedSender};
use futures_util::{select_biased, StreamExt};
use monoio::net::TcpListener;
use peatgrade_models::platform::STORE;
use peatgrade_models::{Execution, Fault, Platform, RequestId};
use peatgrade_runtime::{now, serve, Incoming, Responder};
use peatgrade_types::http::{ResponseHead, ResponsePart};
use peatgrade_types::Time;
use std::collections::BTreeMap;
use std::time::Duration;

/// Time between two steps of the models.
const STEP: Duration = Duration::from_millis(1);
/// Executions answered at once.
const EXECUTIONS_PAGE: usize = 2_000;

/// A machine's listening socket.
pub struct Machine {
    /// Name in the deployment.
    pub name: String,
    /// Its socket.
    pub listener: std::net::TcpListener,
}

struct World {
    platform: Platform,
    open: BTreeMap<RequestId, Responder>,
    next: u64,
    executions: Vec<Execution>,
    faults: Vec<Fault>,
    started: Time,
}

/// Runs the platform until `stop` says so.
pub async fn run(
    platform: Platform,
    machines: Vec<Machine>,
    mut faults: Vec<Fault>,
    mut stop: UnboundedReceiver<()>,
) -> std::io::Result<()> {
    faults.sort_by_key(|fault| std::cmp::Reverse(fault.at_ms));
    let (arrivals, mut arrived) = unbounded();
    for machine in machines {
        let address = machine.listener.local_addr()?.to_string();
        let listener = TcpListener::from_std(machine.listener)?;
        let (requests, received) = unbounded();
        monoio::spawn(serve(listener, requests));
        monoio::spawn(label(address, machine.name, received, arrivals.clone()));
    }
    let (ticks, mut ticked) = unbounded();
    monoio::spawn(tick_for_good(ticks));
    let mut world = World {
        platform,
        open: BTreeMap::new(),
        next: 1,
        executions: Vec::new(),
        faults,
        started: now(),
    };
    loop {
        select_biased! {
            _ = stop.next() => return Ok(()),
            _ = ticked.next() => world.start_due_faults(),
            arrival = arrived.next() => {
                if let Some((address, name, incoming)) = arrival {
                    world.on_request(&address, &name, incoming);
                }
            }
        }
        world.advance();
    }
}

/// Puts a machine's address on its requests.
async fn label(
    address: String,
    name: String,
    mut received: UnboundedReceiver<Incoming>,
    arrivals: UnboundedSender<(String, String, Incoming)>,
) {
    while let Some(incoming) = received.next().await {
        let _ = arrivals.unbounded_send((address.clone(), name.clone(), incoming));
    }
}

async fn tick_for_good(ticks: UnboundedSender<()>) {
    let mut interval = monoio::time::interval(STEP);
    while ticks.unbounded_send(()).is_ok() {
        interval.tick().await;
    }
}

impl World {
    fn on_request(&mut self, address: &str, name: &str, incoming: Incoming) {
        let Incoming {
            request, responder, ..
        } = incoming;
        if name == STORE && request.path_only() == "/executions" {
            let after = request
                .query("after")
                .and_then(|text| text.parse().ok())
                .unwrap_or(0);
            return self.answer_executions(after, &responder);
        }
        let id = RequestId(self.next);
        self.next += 1;
        self.open.insert(id, responder);
        self.platform.request(now(), address, id, request);
    }

    fn answer_executions(&self, after: usize, responder: &Responder) {
        let page = self.executions.iter().skip(after).take(EXECUTIONS_PAGE);
        let body = serde_json::to_vec(&page.collect::<Vec<_>>()).unwrap_or_default();
        let head = ResponseHead::new(200, "application/json");
        let _ = responder.send(ResponsePart::Head(head));
        let _ = responder.send(ResponsePart::Data(body.into()));
        let _ = responder.send(ResponsePart::End);
    }

    fn start_due_faults(&mut self) {
        let elapsed = now().since(self.started).as_millis();
        while self
            .faults
            .last()
            .is_some_and(|fault| fault.at_ms <= elapsed)
        {
            if let Some(fault) = self.faults.pop() {
                log::info!("step=fault machine={} kind={:?}", fault.machine, fault.kind);
                self.platform.apply(now(), &fault);
            }
        }
    }

    fn advance(&mut self) {
        let gone: Vec<RequestId> = self
            .open
            .iter()
            .filter(|(_, responder)| responder.is_closed())
            .map(|(id, _)| *id)
            .collect();
        for id in gone {
            self.open.remove(&id);
            self.platform.cancel(id);
        }
        for (id, part) in self.platform.advance(now()) {
            let last = matches!(part, ResponsePart::End | ResponsePart::Failed(_));
            if let Some(responder) = self.open.get(&id) {
                let _ = responder.send(part);
            }
            if last {
                self.open.remove(&id);
            }
        }
        self.executions.extend(self.platform.take_executions());
    }
}
