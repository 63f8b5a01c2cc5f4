//! What only the leader does.

use peatgrade_fleet::{OrderRules, VersionCoordinator};
use peatgrade_ports::{Instance, ObjectKind};
use peatgrade_replication::{ReplicaId, Role};
use peatgrade_types::{Duration, Time};
use std::collections::BTreeMap;

use crate::clock::steady_now;
use crate::watcher::{watch, ObjectCount, WatchFlag, WatchTiming};

use super::process::StorageProcess;
use super::work_shares::WorkKind;

/// Beyond the lease of an earlier holder's orders.
const ORDER_SLACK: Duration = Duration::from_millis(400);
/// Least time between two looks over all items.
const DISPATCH_EVERY: Duration = Duration::from_millis(4);

impl StorageProcess {
    /// Watches what a leader must know at once, for as long as this machine is
    /// a member and may become one.
    pub(super) fn follow_membership(&mut self) {
        let id = self.replica.id().0;
        let member = self.replica.members().iter().any(|m| m.replica == id);
        if member == self.member_watches.get() {
            return;
        }
        self.member_watches.set(false);
        self.member_watches = WatchFlag::new(member.into());
        if !member {
            // What is known ages from now on.
            self.engines_known = false;
            self.publisher.clear();
            return;
        }
        for kind in [ObjectKind::Configuration, ObjectKind::Engines] {
            self.follow_kind(kind, self.member_watches.clone());
        }
    }

    /// Members publish the configuration and the engines; only the leader needs the rest.
    pub(super) fn follow_kind(&self, kind: ObjectKind, wanted: WatchFlag) {
        let (store, updates) = (self.store.clone(), self.updates.clone());
        let timing = match kind {
            ObjectKind::Engines => WatchTiming::publisher_batched(&self.settings),
            ObjectKind::Configuration => WatchTiming::publisher(&self.settings),
            _ => WatchTiming::immediate(&self.settings),
        };
        let known = match kind {
            ObjectKind::Engines => self.engine_count.clone(),
            _ => ObjectCount::default(),
        };
        monoio::spawn(watch(store, kind, timing, wanted, known, updates));
    }

    /// Begins and ends the leader's work as the role changes.
    pub(super) fn follow_role(&mut self, now: Time) {
        self.note_role();
        self.usage.terms.record(now, self.replica.term());
        let leads = self.replica.role() == Role::Leader;
        if self.work.must_end(leads) {
            self.stop_leading();
        } else if !self.working() && self.replica.can_serve(now) {
            self.start_leading(now);
        }
    }

    /// Whether the leader's work has begun in this term.
    pub(super) fn working(&self) -> bool {
        self.work.is_under_way()
    }

    fn start_leading(&mut self, now: Time) {
        self.work.begin();
        self.led_since = now;
        self.runs_started = 0;
        let quiet = self.quiet_engines();
        let waiting = quiet.values().filter(|until| now < **until).count();
        let mut coordinator = VersionCoordinator::new(
            self.settings.name.clone(),
            self.replica.term(),
            quiet,
            self.settings.loads_at_once,
        )
        .in_zone(&self.settings.zone);
        for (model, version) in &self.versions {
            coordinator.set_newest_version(model, *version);
        }
        self.coordinator = Some(coordinator);
        self.begin_reporting(now);
        let open: Vec<String> = self
            .jobs
            .iter()
            .filter(|(_, job)| !job.ended)
            .map(|(id, _)| id.clone())
            .collect();
        for job in &open {
            self.open_job(job);
        }
        let wanted = WatchFlag::new(true.into());
        self.leader_watches = wanted.clone();
        for kind in [
            ObjectKind::Versions,
            ObjectKind::Retirements,
            ObjectKind::Replicas,
        ] {
            self.follow_kind(kind, wanted.clone());
        }
        log::info!(
            "step=lead term={} elected_ms={} open_jobs={} open_items={} quiet_engines={waiting}",
            self.replica.term(),
            now.since(self.replica.leader_since()).as_millis(),
            open.len(),
            self.dispatcher.open_items()
        );
    }

    /// Takes up the work for a job, unless its end was asked for.
    pub(super) fn open_job(&mut self, id: &str) {
        let job = self.jobs.get(id);
        if job.is_some_and(|job| self.asked_ends.should_end(job)) {
            return;
        }
        self.dispatcher
            .open_job(steady_now(), id, &self.jobs, &self.configuration);
        if let (Some(coordinator), Some(job)) = (&mut self.coordinator, self.jobs.get(id)) {
            coordinator.set_demand(&job.spec.model, job.spec.items.len());
        }
    }

    /// When each engine may be ordered. An earlier leader may have sent an order
    /// until its own lease ended, a little after this replica learnt of it.
    fn quiet_engines(&self) -> BTreeMap<Instance, Time> {
        let rules = OrderRules {
            lease: Duration::from_millis(self.settings.order_lease_ms) + ORDER_SLACK,
            fences_checked: self.settings.engines_check_fences,
        };
        let term = self.replica.term();
        self.orders
            .earliest_order_times(&self.settings.name, term, rules)
    }

    fn stop_leading(&mut self) {
        self.work.end();
        self.leader_watches.set(false);
        self.coordinator = None;
        self.stop_reporting();
        self.pending_orders.clear();
        self.dispatcher.stop(&mut self.directory);
        let dropped = self.dispatcher.take_actions();
        self.carry_out_dispatch(dropped);
        self.abandon_calls();
        log::info!(
            "step=follow term={} led_ms={} runs_started={} leader={}",
            self.replica.term(),
            steady_now().since(self.led_since).as_millis(),
            self.runs_started,
            self.replica.leader_address().unwrap_or("none")
        );
    }

    /// The leader's work: items and versions.
    pub(super) fn lead(&mut self, now: Time) {
        if !self.working() || !self.replica.can_serve(now) {
            return;
        }
        self.end_asked_jobs(now);
        self.report_usage(now);
        let due = now.since(self.last_dispatch) >= DISPATCH_EVERY;
        if due && self.engines_known && self.configuration.version > 0 {
            self.last_dispatch = now;
            self.coordinate(now);
            self.worked_on(WorkKind::Versions);
            self.dispatcher.set_order(self.settings.item_order());
            self.dispatcher
                .poll(now, &self.configuration, &mut self.directory);
            if self.dispatcher.has_backlog() {
                self.metrics.count("look_cut_short");
            }
            self.worked_on(WorkKind::Items);
            let actions = self.dispatcher.take_actions();
            self.carry_out_dispatch(actions);
            self.tick_scores(now);
            self.worked_on(WorkKind::Requests);
        }
    }

    fn coordinate(&mut self, now: Time) {
        let Some(coordinator) = &mut self.coordinator else {
            return;
        };
        let actions = coordinator.poll(now, &mut self.directory);
        for action in actions {
            self.carry_out_coordination(action);
        }
    }

    /// The leader's work: members, and what is to be emptied.
    pub(super) fn change_members(&mut self, now: Time) {
        if !self.working() || !self.replica.can_serve(now) {
            return;
        }
        let me = self.own_member();
        let members = self.replica.members();
        self.group.record_self_report(now, me, &members);
        if let Some(members) = self.group.next_members(now, &self.replica) {
            let names: Vec<String> = members
                .iter()
                .map(|m| format!("{}:{}:{}", m.name, ReplicaId(m.replica), m.voter))
                .collect();
            if self.replica.change_members(now, members) {
                log::info!("decision=change-members set={}", names.join(","));
            }
        }
        self.report_retirements();
    }
}
