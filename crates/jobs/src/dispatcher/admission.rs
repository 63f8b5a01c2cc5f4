//! Whether a job that is handed in can be of any use.

use peatgrade_fleet::EngineDirectory;
use peatgrade_ports::{Configuration, RouteKind};
use peatgrade_scheduling::{admit, floor_of, Admission, Submission};
use peatgrade_schema::replication::AcceptJob;
use peatgrade_types::{Duration, Time};
use std::collections::{BTreeSet, HashMap};

use super::eligibility::{batch_route, target_of};
use super::planning::places_of;
use super::Dispatcher;

impl Dispatcher {
    /// Decides on a job by what waits and runs just now, where ranks differ and enough is
    /// known of lengths and paces; elsewhere it is taken.
    pub fn admission_of(
        &mut self,
        now: Time,
        job: &AcceptJob,
        configuration: &Configuration,
        directory: &EngineDirectory,
    ) -> Admission {
        let Some(submission) = self.submission_of(now, job, configuration, directory) else {
            return Admission::Accepted;
        };
        let admission = admit(&submission);
        if let Admission::Refused { retry_after } = admission {
            log::warn!(
                "decision=refuse job={} reason=no-time tenant={} work_ahead_ms={} places={} floor={} group_work_ms={} until_last_ms={} error={:.2} retry_after_ms={}",
                job.job,
                job.tenant,
                submission.work_ahead.as_millis(),
                submission.places,
                submission.floor,
                submission.group_work.as_millis(),
                submission.until_last.as_millis(),
                submission.error,
                retry_after.as_millis()
            );
        }
        admission
    }

    fn submission_of(
        &mut self,
        now: Time,
        job: &AcceptJob,
        configuration: &Configuration,
        directory: &EngineDirectory,
    ) -> Option<Submission> {
        let first = job.items.first()?;
        let route = configuration.route(&job.host, &first.path)?;
        let service = target_of(route, &first.id)?;
        let is_planned = self.is_planned() && route.kind == RouteKind::Batch;
        if !is_planned || !self.plans.is_ranked(service, configuration) {
            return None;
        }
        let tenants = &configuration.tenants;
        let rank = tenants.priority_of(&job.tenant, route.priority);
        let pace = self.paces.get(service)?.median;
        let lengths = self.lengths.of(&job.model)?;
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
        let own = (&job.tenant, &job.model, rank);
        let ahead = self.ahead_of(own, service, configuration)?;
        let places = places_of(now, service, directory);
        Some(Submission {
            places,
            work_ahead: ahead.work,
            floor: floor_of(places, ahead.sharers),
            group_work: Duration(work as u64),
            longest: Duration(longest as u64),
            until_last: route.max_queue,
            error: lengths.error(),
        })
    }

    /// What would go before a job of this tenant, trainer and rank at a service.
    fn ahead_of(
        &self,
        job: (&String, &String, u32),
        service: &str,
        configuration: &Configuration,
    ) -> Option<Ahead> {
        let (_, _, rank) = job;
        let mut work = Duration(0);
        let mut sharers = BTreeSet::from([job]);
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
            sharers.insert((&item.spec.tenant, &item.spec.model, own));
            if item.run.is_some() || own < rank {
                work = work + self.time_left(item, service)?;
            }
        }
        let sharers = sharers.len();
        Some(Ahead { work, sharers })
    }
}

/// What would go before a job.
struct Ahead {
    work: Duration,
    /// Tenants, trainers and ranks that share the service, with the job's own.
    sharers: usize,
}
