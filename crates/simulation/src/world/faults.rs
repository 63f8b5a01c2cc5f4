//! Carrying out a fault plan.

use peatgrade_models::{Fault, FaultKind};
use peatgrade_types::http::HttpStep;
use peatgrade_types::{Duration, Time};

use super::{SimEvent, World, DISK_LIMIT};
use crate::operators;
use crate::plan::StepKind;

/// Longest time that a planned stop waits for what is in flight.
const DRAIN_LIMIT: Duration = Duration::from_secs(40);

impl World {
    pub(super) fn start_step(&mut self, index: usize) {
        let kind = self.plan.steps[index].kind.clone();
        *self.faults.entry(kind.name()).or_default() += 1;
        match kind {
            StepKind::Machine {
                name,
                fault,
                for_ms,
            } => {
                self.apply_fault(&Fault {
                    at_ms: 0,
                    for_ms,
                    machine: name,
                    kind: fault,
                });
            }
            StepKind::NodeCrash {
                node,
                for_ms,
                lose_disk,
            } => {
                self.crash_node(node, self.now + Duration::from_millis(for_ms));
                if lose_disk {
                    self.nodes[node].disk = peatgrade_storage::MemoryStore::new(DISK_LIMIT);
                }
            }
            StepKind::NodePause { node, for_ms } => self.pause_node(node, for_ms),
            StepKind::NodeStop { node, for_ms } => self.stop_node(node, for_ms),
            StepKind::DiskFull { node, for_ms } => self.fill_disk(node, for_ms),
            StepKind::ZoneCut { zone, for_ms } => self.cut_zone(&zone, for_ms),
            StepKind::ZoneLoss { zone, for_ms } => self.lose_zone(&zone, for_ms),
            StepKind::Storm { for_ms } => {
                self.network.storm(self.now + Duration::from_millis(for_ms));
                self.disturb(|_| true, for_ms);
            }
            StepKind::OperatorRace => self.race(),
            StepKind::BadChange => {
                self.send_change(operators::bad_value(), "olive", 0);
                let value = operators::good_value(&mut self.random);
                self.send_change(value, "omar", 4_000_000);
            }
        }
    }

    /// Nodes in trouble are not expected to keep up until it has passed.
    fn disturb(&mut self, affected: impl Fn(&str) -> bool, for_ms: u64) {
        let until = self.now + Duration::from_millis(for_ms);
        for node in &mut self.nodes {
            if affected(&node.zone) {
                node.sound_since = node.sound_since.max(until);
            }
        }
    }

    pub(super) fn crash_node(&mut self, node: usize, restart: Time) {
        let (clients, requests) = self.nodes[node].stop();
        for client in clients {
            let result = Err(self.failure(HttpStep::Head, "connection reset"));
            let at = self.now + Duration(self.deployment.client_delay_us);
            self.queue.push(at, SimEvent::ClientDone { client, result });
        }
        for id in requests {
            self.queue.push(self.now, SimEvent::CancelPlatform { id });
        }
        self.queue.push(restart, SimEvent::NodeStart { node });
    }

    fn pause_node(&mut self, node: usize, for_ms: u64) {
        let until = self.now + Duration::from_millis(for_ms);
        if self.nodes[node].core.is_some() {
            self.nodes[node].paused_until = Some(until);
            self.queue.push(until, SimEvent::NodeResume { node });
        }
    }

    fn stop_node(&mut self, node: usize, for_ms: u64) {
        let now = self.now;
        let process = &mut self.nodes[node];
        let paused = process.paused_until.is_some();
        let Some(core) = process.core.as_mut().filter(|_| !paused) else {
            return;
        };
        process.draining_since = Some(now);
        process.restart_after_stop = for_ms;
        let actions = core.drain(now);
        self.carry_out(node, actions);
    }

    /// Lets a stopping node exit once it may, or when its time is up.
    pub(super) fn exit_if_drained(&mut self, node: usize) {
        let process = &mut self.nodes[node];
        let Some(since) = process.draining_since else {
            return;
        };
        let drained = process.core.as_ref().is_some_and(|core| core.drained());
        if !drained && self.now.since(since) < DRAIN_LIMIT {
            return;
        }
        let open = process
            .calls
            .values()
            .filter(|call| call.client.is_some())
            .count();
        if open > 0 {
            let what = format!("{} stopped with {open} requests in flight", process.name);
            self.oracle.on_cut_by_planned_stop(self.now, &what);
        }
        let restart = self.now + Duration::from_millis(process.restart_after_stop);
        process.draining_since = None;
        self.crash_node(node, restart);
    }

    fn fill_disk(&mut self, node: usize, for_ms: u64) {
        let used = self.nodes[node].disk.used_bytes();
        self.nodes[node].disk.set_limit(used);
        let limit = self.nodes[node].disk_limit;
        let at = self.now + Duration::from_millis(for_ms);
        self.queue.push(at, SimEvent::DiskLimit { node, limit });
    }

    fn cut_zone(&mut self, zone: &str, for_ms: u64) {
        self.network
            .cut(zone, self.now + Duration::from_millis(for_ms));
        self.disturb(|other| other == zone, for_ms);
    }

    fn lose_zone(&mut self, zone: &str, for_ms: u64) {
        let restart = self.now + Duration::from_millis(for_ms);
        for node in 0..self.nodes.len() {
            if self.nodes[node].zone == zone && self.nodes[node].core.is_some() {
                self.crash_node(node, restart);
            }
        }
        let machines = self.machine_zones.clone();
        for (machine, _) in machines.into_iter().filter(|(_, home)| home == zone) {
            self.apply_fault(&Fault {
                at_ms: 0,
                for_ms,
                machine,
                kind: FaultKind::Crash,
            });
        }
    }
}
