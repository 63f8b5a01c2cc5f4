//! Whether a job that is handed in can be of any use.

use peatgrade_fleet::EngineDirectory;
use peatgrade_ports::{Configuration, RouteKind};
use peatgrade_scheduling::{admit, guaranteed_slots, Admission, AdmissionRequest};
use peatgrade_schema::replication::AcceptJob;
use peatgrade_types::{Duration, Time};
use std::collections::{BTreeSet, HashMap};

use super::eligibility::{batch_route, target_of};
use super::planning::usable_slots;
use super::Dispatcher;

impl Dispatcher {
    /// Decides on a job by what waits and runs just now, where ranks differ and enough is
    /// known of lengths and paces; elsewhere it is taken.
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
        let first = job.items.first()?;
        let route = configuration.route(&job.host, &first.path)?;
        let service = target_of(route, &first.id)?;
        let is_planned = self.is_planned() && route.kind == RouteKind::Batch;
        if !is_planned || !self.plans.has_mixed_priorities(service, configuration) {
            return None;
        }
        let tenants = &configuration.tenants;
        let priority = tenants.priority_of(&job.tenant, route.priority);
        let pace = self.paces.get(service)?.median;
        let lengths = self.lengths.get(&job.model)?;
        let mut groups: HashMap<(&str, usize), (f64, f64)> = HashMap::new();
        for (index, item) in job.items.iter().enumerate() {
            let time = lengths.expected_events(item.length_hint)? * pace;
            // Items without a group stand alone.
            let alone = if item.group.is_empty() { index } else { 0 };
            let (work, longest) = groups.entry((&item.group, alone)).or_default();
            *work += time;
            *longest = longest.max(time);
        }
        let (work, longest) = groups.into_values().min_by(|a, b| a.0.total_cmp(&b.0))?;
        let own = (&job.tenant, &job.model, priority);
        let ahead = self.work_ahead_of(own, service, configuration)?;
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

    /// What would go before a job of this tenant, trainer and rank at a service.
    fn work_ahead_of(
        &self,
        job: (&String, &String, u32),
        service: &str,
        configuration: &Configuration,
    ) -> Option<WorkAhead> {
        let (_, _, priority) = job;
        let mut work = Duration(0);
        let mut flows = BTreeSet::from([job]);
        self.visit(self.items.len());
        for item in self.items.values() {
            if item.text.complete || item.proposed {
                continue;
            }
            let Some(route) = batch_route(item, configuration) else {
                continue;
            };
            if target_of(route, &item.item().id) != Some(service) {
                continue;
            }
            let tenants = &configuration.tenants;
            let own = tenants.priority_of(&item.spec.tenant, route.priority);
            flows.insert((&item.spec.tenant, &item.spec.model, own));
            if item.run.is_some() || own < priority {
                work = work + self.remaining_time(item, service)?;
            }
        }
        let flows = flows.len();
        Some(WorkAhead { work, flows })
    }
}

/// What would go before a job.
struct WorkAhead {
    work: Duration,
    /// Tenants, trainers and ranks that share the service, with the job's own.
    flows: usize,
}
