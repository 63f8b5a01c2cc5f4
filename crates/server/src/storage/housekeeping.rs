//! Periodic maintenance: metrics, expiry of jobs and resource checks.

use peatgrade_replication::{voters_to_tolerate, ReplicaId, Role};
use peatgrade_types::{Duration, Time};

use crate::ServerError;

use super::process::StorageProcess;

const HOUSEKEEPING_INTERVAL: Duration = Duration::from_secs(1);
/// How long orders to engines are kept; must exceed any order lease.
const ORDER_RETENTION: Duration = Duration::from_secs(60);
/// Members that lack no more than this many entries are not logged as lagging.
const MAX_UNLOGGED_LAG: u64 = 64;
const EXPIRY_INTERVAL: Duration = Duration::from_secs(2);

impl StorageProcess {
    /// Runs periodic tasks that are due, and one step of an active log rewrite.
    pub(super) fn housekeeping(&mut self, now: Time) -> Result<(), ServerError> {
        if now.since(self.last_housekeeping) >= HOUSEKEEPING_INTERVAL {
            self.last_housekeeping = now;
            self.client.evict_idle();
            self.directory.quarantine.evict_expired(now);
            self.orders.remove_expired(now, ORDER_RETENTION);
            self.replica.evict_entries(now);
            self.update_pressure(now);
            self.record_memory_usage();
            self.log_lagging_members(now);
            self.maintain_observations(now);
            self.record_state_metrics(now);
            self.log_work_times(now);
        }
        if now.since(self.last_expiry) >= EXPIRY_INTERVAL {
            self.last_expiry = now;
            self.expire_jobs(now)?;
        }
        self.continue_log_rewrite()
    }

    fn update_pressure(&mut self, now: Time) {
        let used = self.memory_in_use(now);
        self.update_job_memory(used);
        let pressure = self.limits.pressure(self.disk_bytes(), used);
        if pressure != self.pressure {
            let kept = self.log_bytes();
            match pressure {
                Some(pressure) => log::warn!("belief=pressure lacks={pressure} log_bytes={kept}"),
                None => log::info!("belief=pressure lacks=nothing log_bytes={kept}"),
            }
            self.pressure = pressure;
        }
    }

    /// Logs members whose log lags behind this leader's.
    fn log_lagging_members(&self, now: Time) {
        if self.replica.role() != Role::Leader {
            return;
        }
        let commit = self.replica.commit_index();
        for member in self.replica.members() {
            let Some(progress) = self.replica.progress(ReplicaId(member.replica)) else {
                continue;
            };
            if progress.match_index + MAX_UNLOGGED_LAG > commit {
                continue;
            }
            let heard = progress
                .last_response
                .map_or(0, |heard| now.since(heard).as_millis());
            log::info!(
                "belief=behind name={} replica={} voter={} has={} commit={commit} next={} on_the_way={} heard_ms={heard}",
                member.name,
                ReplicaId(member.replica),
                member.voter,
                progress.match_index,
                progress.next_index,
                progress.in_flight_bytes()
            );
        }
    }

    fn record_state_metrics(&self, now: Time) {
        let gauges = [
            ("leads", u64::from(self.replica.role() == Role::Leader)),
            ("works_as_leader", u64::from(self.has_leader_session())),
            ("term", self.replica.term()),
            ("commit_index", self.replica.commit_index()),
            ("log_bytes", self.log_file.length()),
            ("members", self.replica.members().len() as u64),
            (
                "members_wanted",
                voters_to_tolerate(self.settings.tolerated_losses) as u64,
            ),
            ("jobs", self.jobs.iter().count() as u64),
            ("open_items", self.dispatcher.open_items() as u64),
            ("asked_ends", self.pending_ends.len() as u64),
            (
                "usage_unreported",
                self.usage.ledger.unreported_count() as u64,
            ),
            ("usage_late_requests", self.usage.ledger.late_requests()),
            ("unscored_items", self.dispatcher.unscored_items() as u64),
            ("waiting_results", self.dispatcher.pending_results() as u64),
            ("reward_calls", self.dispatcher.reward_calls() as u64),
            ("link_waiting_bytes", self.link.queued_bytes() as u64),
            ("link_sent_bytes", self.link.sent_bytes().0),
            ("link_sent_wire_bytes", self.link.sent_bytes().1),
            ("link_messages_dropped", self.link.dropped()),
            ("items_visited", self.dispatcher.items_visited()),
            (
                "groups_in_time",
                self.dispatcher.planned_groups().in_time as u64,
            ),
            ("groups_late", self.dispatcher.planned_groups().late as u64),
            (
                "length_error_percent",
                (self.dispatcher.length_error() * 100.0) as u64,
            ),
            ("engines_weighed", self.dispatcher.engines_weighed()),
            ("item_runs", self.dispatcher.running() as u64),
            ("configuration_version", self.configuration.version),
            (
                "configuration_newest_logged",
                self.jobs.newest_configuration(),
            ),
            (
                "configuration_age_ms",
                now.since(self.configuration_freshness.confirmed_at())
                    .as_millis(),
            ),
            ("engines", self.directory.len() as u64),
            ("engine_lives_ended", self.directory.ended_incarnations()),
            ("engines_absent", self.directory.absent_count(now) as u64),
            (
                "engine_list_age_ms",
                now.since(self.directory.confirmed_at).as_millis(),
            ),
            (
                "store_age_ms",
                now.since(self.last_store_update).as_millis(),
            ),
        ];
        for (name, value) in self.reward_call_metrics() {
            self.metrics.set(name, value);
        }
        let placement = self.dispatcher.placement_stats();
        let placement = [
            ("item_moves_leaving", placement.moves_leaving),
            ("item_moves_silent", placement.moves_silent),
            ("item_moves_slow", placement.moves_slow),
            ("item_moves_faster", placement.moves_faster),
            ("item_prompts_kept", placement.prompts_kept),
            ("item_prompts_read", placement.prompts_read),
        ];
        let (engines_in_sets, engines_visited) = self.directory.working_set_stats();
        let coordinated_visited = self.coordinator.as_ref();
        let coordinated_visited =
            coordinated_visited.map_or(0, |coordinator| coordinator.engines_scanned());
        let working_set_gauges = [
            ("working_set_engines", engines_in_sets as u64),
            ("working_set_engines_visited", engines_visited),
            ("coordinated_engines_visited", coordinated_visited),
        ];
        let waiting = self.dispatcher.waiting_items().metrics();
        let gauges_by_item = waiting.chain(working_set_gauges);
        for (name, value) in self.work_times.metrics().chain(gauges_by_item) {
            self.metrics.set(name, value);
        }
        let quarantine = self.directory.quarantine.metrics();
        for (name, value) in gauges.into_iter().chain(placement).chain(quarantine) {
            self.metrics.set(name, value);
        }
        if self.has_leader_session() {
            for (name, value) in self.membership_metrics(now) {
                self.metrics.set(name, value);
            }
        }
        let loading = self.coordinator.as_ref().map_or(0, |c| c.loading_count());
        self.metrics.set("weight_loads", loading as u64);
    }
}
