//! Work that only the leader does.

use peatgrade_fleet::{OrderRules, VersionCoordinator};
use peatgrade_ports::{Instance, ObjectKind};
use peatgrade_replication::{ReplicaId, Role};
use peatgrade_types::{Duration, Time};
use std::collections::BTreeMap;

use crate::clock::steady_now;
use crate::watcher::{watch, ObjectCount, WatchFlag, WatchTiming};

use super::leader_session::DispatchObstacle;
use super::process::StorageProcess;
use super::work_times::WorkKind;

/// Margin added to the lease of a previous leader's orders.
const ORDER_LEASE_MARGIN: Duration = Duration::from_millis(400);
const DISPATCH_INTERVAL: Duration = Duration::from_millis(4);

impl StorageProcess {
    /// Watches the objects that a new leader needs at once, for as long as this machine is
    /// a member and may be elected.
    pub(super) fn update_member_watches(&mut self) {
        let id = self.replica.id().0;
        let is_member = self.replica.members().iter().any(|m| m.replica == id);
        if is_member == self.member_watches.get() {
            return;
        }
        self.member_watches.set(false);
        self.member_watches = WatchFlag::new(is_member.into());
        if !is_member {
            // Without watches, the engine list becomes stale.
            self.engines_listed = false;
            self.publisher.clear();
            return;
        }
        for kind in [ObjectKind::Configuration, ObjectKind::Engines] {
            self.watch_kind(kind, self.member_watches.clone());
        }
    }

    /// Starts a watch. Members publish the configuration and the engines, so those watches
    /// use the timing for published objects.
    pub(super) fn watch_kind(&self, kind: ObjectKind, active: WatchFlag) {
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
        monoio::spawn(watch(store, kind, timing, active, known, updates));
    }

    /// Starts or stops the leader session as the role changes.
    pub(super) fn update_leader_session(&mut self, now: Time) {
        self.log_role_changes();
        self.usage.terms.record(now, self.replica.term());
        let is_leader = self.replica.role() == Role::Leader;
        if self.leader_session.must_stop(is_leader) {
            self.stop_leader_session();
        } else if !self.has_leader_session() && self.replica.can_serve(now) {
            self.start_leader_session(now);
        }
    }

    pub(super) fn has_leader_session(&self) -> bool {
        self.leader_session.is_active()
    }

    fn start_leader_session(&mut self, now: Time) {
        self.leader_session.start();
        self.leading_since = now;
        self.runs_started = 0;
        let earliest_orders = self.earliest_order_times();
        let waiting = earliest_orders
            .values()
            .filter(|until| now < **until)
            .count();
        let mut coordinator = VersionCoordinator::new(
            self.settings.name.clone(),
            self.replica.term(),
            earliest_orders,
            self.settings.loads_at_once,
        )
        .in_zone(&self.settings.zone);
        for (model, version) in &self.versions {
            coordinator.set_newest_version(model, *version);
        }
        self.coordinator = Some(coordinator);
        self.start_usage_reporting(now);
        let open_jobs: Vec<String> = self
            .jobs
            .iter()
            .filter(|(_, job)| !job.ended)
            .map(|(id, _)| id.clone())
            .collect();
        for job in &open_jobs {
            self.open_job(job);
        }
        let active = WatchFlag::new(true.into());
        self.leader_watches = active.clone();
        for kind in [
            ObjectKind::Versions,
            ObjectKind::Retirements,
            ObjectKind::Replicas,
        ] {
            self.watch_kind(kind, active.clone());
        }
        log::info!(
            "step=lead term={} elected_ms={} open_jobs={} open_items={} quiet_engines={waiting}",
            self.replica.term(),
            now.since(self.replica.leader_since()).as_millis(),
            open_jobs.len(),
            self.dispatcher.open_items()
        );
    }

    /// Starts dispatching a job, unless a request to end it is pending.
    pub(super) fn open_job(&mut self, id: &str) {
        let job = self.jobs.get(id);
        if job.is_some_and(|job| self.pending_ends.should_end(job)) {
            return;
        }
        self.dispatcher
            .open_job(steady_now(), id, &self.jobs, &self.configuration);
        if let (Some(coordinator), Some(job)) = (&mut self.coordinator, self.jobs.get(id)) {
            coordinator.set_demand(&job.spec.model, job.spec.items.len());
        }
    }

    /// Returns when each engine may be sent an order. A previous leader may have sent orders
    /// until its own lease expired, slightly after this replica learned of them.
    fn earliest_order_times(&self) -> BTreeMap<Instance, Time> {
        let rules = OrderRules {
            lease: Duration::from_millis(self.settings.order_lease_ms) + ORDER_LEASE_MARGIN,
            fences_checked: self.settings.engines_check_fences,
        };
        let term = self.replica.term();
        self.orders
            .earliest_order_times(&self.settings.name, term, rules)
    }

    fn stop_leader_session(&mut self) {
        self.leader_session.stop();
        self.job_reservations.clear();
        self.leader_watches.set(false);
        self.coordinator = None;
        self.stop_usage_reporting();
        self.pending_orders.clear();
        self.dispatcher.stop(steady_now(), &mut self.directory);
        let cancellations = self.dispatcher.take_actions();
        self.execute_dispatch(cancellations);
        self.fail_pending_calls();
        log::info!(
            "step=follow term={} led_ms={} runs_started={} leader={}",
            self.replica.term(),
            steady_now().since(self.leading_since).as_millis(),
            self.runs_started,
            self.replica.leader_address().unwrap_or("none")
        );
    }

    /// Dispatches items and coordinates versions.
    pub(super) fn run_leader_tasks(&mut self, now: Time) {
        if !self.has_leader_session() || !self.replica.can_serve(now) {
            return;
        }
        self.end_requested_jobs(now);
        self.report_usage(now);
        let is_due = now.since(self.last_dispatch) >= DISPATCH_INTERVAL;
        if is_due && self.may_dispatch(now) {
            self.last_dispatch = now;
            self.coordinate(now);
            self.record_work(WorkKind::Versions);
            self.log_configuration_version(now);
            self.dispatcher.set_order(self.settings.item_order());
            self.dispatcher
                .set_configuration_confirmed_at(self.configuration_freshness.confirmed_at());
            self.dispatcher
                .poll(now, &self.configuration, &mut self.directory);
            if self.dispatcher.has_backlog() {
                self.metrics.count("look_cut_short");
            }
            self.record_work(WorkKind::Items);
            let actions = self.dispatcher.take_actions();
            self.execute_dispatch(actions);
            self.tick_reward_calls(now);
            self.record_work(WorkKind::Requests);
        }
    }

    /// Whether the engine list and a configuration are known.
    fn may_dispatch(&mut self, now: Time) -> bool {
        let obstacle = if !self.engines_listed {
            Some(DispatchObstacle::NoEngineList)
        } else if self.configuration.version == 0 {
            Some(DispatchObstacle::NoConfiguration)
        } else {
            None
        };
        if self.leader_session.set_obstacle(obstacle) {
            log::warn!(
                "belief=dispatch-obstacle obstacle={obstacle:?} open_items={} store_age_ms={} led_ms={}",
                self.dispatcher.open_items(),
                now.since(self.last_store_update).as_millis(),
                now.since(self.leading_since).as_millis()
            );
        }
        obstacle.is_none()
    }

    fn coordinate(&mut self, now: Time) {
        let Some(coordinator) = &mut self.coordinator else {
            return;
        };
        coordinator.set_backlog(self.dispatcher.version_backlog());
        let actions = coordinator.poll(now, &mut self.directory);
        for action in actions {
            self.execute_coordination(action);
        }
    }

    /// Proposes membership changes and reports how far machines are drained.
    pub(super) fn reconcile_members(&mut self, now: Time) {
        if !self.has_leader_session() || !self.replica.can_serve(now) {
            return;
        }
        let own = self.own_member();
        let members = self.replica.members();
        self.membership_planner
            .record_self_report(now, own, &members);
        if let Some(members) = self.membership_planner.next_members(now, &self.replica) {
            let names: Vec<String> = members
                .iter()
                .map(|m| format!("{}:{}:{}", m.name, ReplicaId(m.replica), m.voter))
                .collect();
            if self.replica.change_members(now, members) {
                log::info!("decision=change-members set={}", names.join(","));
            }
        }
        self.log_tolerance(now);
        self.report_retirements(now);
    }
}
