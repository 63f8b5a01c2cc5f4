//! Admission control of submitted jobs against the current load.

use peatgrade_fleet::EngineDirectory;
use peatgrade_ports::{Configuration, RouteKind};
use peatgrade_scheduling::{admit, guaranteed_slots, Admission, AdmissionRequest};
use peatgrade_schema::replication::AcceptJob;
use peatgrade_types::{Duration, Time};
use std::collections::{BTreeSet, HashMap};

use super::eligibility::{batch_route, target_service};
use super::planning::usable_slots;
use super::Dispatcher;

impl Dispatcher {
    /// Decides whether a job is accepted, based on the current load. Jobs are always accepted if
    /// their service has a single priority, if lengths or paces are not known yet, or if their
    /// gateway knows a newer configuration, which may have other limits.
    pub fn admit_job(
        &mut self,
        now: Time,
        job: &AcceptJob,
        configuration: &Configuration,
        directory: &EngineDirectory,
    ) -> Admission {
        let Some(request) = self.admission_request(now, job, configuration, directory) else {
            return Admission::Accepted;
        };
        let admission = admit(&request);
        if let Admission::Refused { retry_after } = admission {
            log::warn!(
                "decision=refuse job={} reason=no-time tenant={} work_ahead_ms={} places={} floor={} group_work_ms={} until_last_ms={} error={:.2} retry_after_ms={}",
                job.job,
                job.tenant,
                request.work_ahead.as_millis(),
                request.slots,
                request.guaranteed_slots,
                request.smallest_group_work.as_millis(),
                request.time_limit.as_millis(),
                request.relative_error,
                retry_after.as_millis()
            );
        }
        admission
    }

    fn admission_request(
        &mut self,
        now: Time,
        job: &AcceptJob,
        configuration: &Configuration,
        directory: &EngineDirectory,
    ) -> Option<AdmissionRequest> {
        if configuration.version < job.configuration {
            return None;
        }
        let first = job.items.first()?;
        let route = configuration.route(&job.host, &first.path)?;
        let service = target_service(route, &first.id)?;
        let uses_plan = self.uses_plan() && route.kind == RouteKind::Batch;
        if !uses_plan || !self.plans.has_mixed_priorities(service, configuration) {
            return None;
        }
        let tenants = &configuration.tenants;
        let priority = tenants.priority_of(&job.tenant, route.priority);
        let pace = self.paces.get(service)?.median;
        let lengths = self.lengths.get(&job.model)?;
        let mut groups: HashMap<(&str, usize), (f64, f64)> = HashMap::new();
        for (index, item) in job.items.iter().enumerate() {
            let time = lengths.expected_events(item.length_hint)? * pace;
            // Each item without a group forms its own group.
            let ungrouped = if item.group.is_empty() { index } else { 0 };
            let (work, longest) = groups.entry((&item.group, ungrouped)).or_default();
            *work += time;
            *longest = longest.max(time);
        }
        let (work, longest) = groups.into_values().min_by(|a, b| a.0.total_cmp(&b.0))?;
        let flow = (&job.tenant, &job.model, priority);
        let ahead = self.work_ahead_of(flow, service, configuration)?;
        let slots = usable_slots(now, service, directory);
        Some(AdmissionRequest {
            slots,
            work_ahead: ahead.work,
            guaranteed_slots: guaranteed_slots(slots, ahead.flows),
            smallest_group_work: Duration(work as u64),
            longest_item: Duration(longest as u64),
            time_limit: route.max_queue,
            relative_error: lengths.relative_error(),
        })
    }

    /// Work that a service would do before a job of this tenant, model and priority.
    fn work_ahead_of(
        &self,
        flow: (&String, &String, u32),
        service: &str,
        configuration: &Configuration,
    ) -> Option<WorkAhead> {
        let (_, _, priority) = flow;
        let mut work = Duration(0);
        let mut flows = BTreeSet::from([flow]);
        self.count_visits(self.items.len());
        for item in self.items.values() {
            if item.text.complete || item.proposed {
                continue;
            }
            let Some(route) = batch_route(item, configuration) else {
                continue;
            };
            if target_service(route, &item.item().id) != Some(service) {
                continue;
            }
            let tenants = &configuration.tenants;
            let item_priority = tenants.priority_of(&item.spec.tenant, route.priority);
            flows.insert((&item.spec.tenant, &item.spec.model, item_priority));
            if item.run.is_some() || item_priority < priority {
                work = work + self.remaining_time(item, service)?;
            }
        }
        let flows = flows.len();
        Some(WorkAhead { work, flows })
    }
}

/// Work that precedes a job at its service.
struct WorkAhead {
    work: Duration,
    /// Flows (tenant, model and priority) that share the service, including that of the job.
    flows: usize,
}
