//! Reports to the store how far storage machines are drained.
//!
//! A machine that is reported as completed is removed at once together with its disk, so this
//! is reported only while a committed membership excludes it and tolerates the loss of a disk
//! without it. Each write names the revision that it replaces; a late write fails, and the watch
//! delivers the current object.

use peatgrade_ports::{ObjectKind, ObjectWrite, RetirementStage, StoreRequest, StoreResponse};
use peatgrade_replication::ReleaseObstacle;
use peatgrade_types::Time;
use std::collections::BTreeMap;
use std::time::Duration;

use crate::store_client::StoreClient;

use super::process::StorageProcess;

const STATUS_TIMEOUT: Duration = Duration::from_millis(1_000);
const MAX_ATTEMPTS: u32 = 20;
const RETRY_INTERVAL: Duration = Duration::from_millis(300);
/// Shortest time between two log lines that say why a machine is not drained yet.
const LOG_INTERVAL: peatgrade_types::Duration = peatgrade_types::Duration::from_secs(1);

/// A machine that is to be drained.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(super) struct Retirement {
    /// Revision of the store object.
    pub revision: u64,
    /// Stage in the object's status, or in a status write in progress.
    pub reported_stage: RetirementStage,
    /// Why the machine may not be taken away yet, as last logged, and when.
    pub logged_obstacle: Option<(ReleaseObstacle, Time)>,
}

impl Retirement {
    pub fn new(revision: u64, reported_stage: RetirementStage) -> Self {
        Self {
            revision,
            reported_stage,
            logged_obstacle: None,
        }
    }

    /// Whether the obstacle is to be logged. Brief changes are not.
    fn must_log(&mut self, now: Time, obstacle: ReleaseObstacle) -> bool {
        let is_due = self
            .logged_obstacle
            .is_none_or(|(logged, at)| logged != obstacle && now.since(at) >= LOG_INTERVAL);
        if is_due {
            self.logged_obstacle = Some((obstacle, now));
        }
        is_due
    }
}

impl StorageProcess {
    /// Logs how many disks the group may lose when that changes.
    pub(super) fn log_tolerance(&mut self, now: Time) {
        let losses = self.membership_planner.tolerated_losses(now, &self.replica);
        if !self.leader_session.set_tolerated_losses(losses) {
            return;
        }
        let voters: Vec<String> = self
            .replica
            .members()
            .into_iter()
            .filter(|member| member.voter)
            .map(|member| member.name)
            .collect();
        log::info!(
            "belief=group-tolerates losses={losses} wanted={} voters={}",
            self.settings.tolerated_losses.max(1),
            voters.join(",")
        );
    }

    pub(super) fn report_retirements(&mut self, now: Time) {
        let mut due = Vec::new();
        for (node, retirement) in &mut self.retirements {
            if retirement.reported_stage == RetirementStage::Completed {
                continue;
            }
            let obstacle = self
                .membership_planner
                .release_obstacle(now, &self.replica, node);
            let stage = match obstacle {
                None => RetirementStage::Completed,
                Some(_) => RetirementStage::Running,
            };
            if let Some(obstacle) = obstacle.filter(|o| retirement.must_log(now, *o)) {
                log::info!(
                    "belief=retirement-waits machine={node} reason={}",
                    obstacle.name()
                );
            }
            if stage > retirement.reported_stage {
                due.push((node.clone(), retirement.revision, stage));
            }
        }
        for (node, revision, stage) in due {
            if let Some(retirement) = self.retirements.get_mut(&node) {
                retirement.reported_stage = stage;
            }
            log::info!("decision=retire machine={node} stage={stage:?}");
            let write = status_write(node, revision, stage);
            monoio::spawn(write_status(self.store.clone(), write));
        }
        self.update_retiring_members();
    }

    /// Retirements that are not completed, and losses that the group tolerates if this leads.
    pub(super) fn membership_metrics(&self, now: Time) -> [(&'static str, u64); 2] {
        let open = self.retirements.values();
        let open = open.filter(|r| r.reported_stage != RetirementStage::Completed);
        let losses = self.membership_planner.tolerated_losses(now, &self.replica);
        [
            ("retirements_open", open.count() as u64),
            ("tolerated_losses", losses as u64),
        ]
    }
}

fn status_write(node: String, revision: u64, stage: RetirementStage) -> ObjectWrite {
    let state = match stage {
        RetirementStage::Completed => "completed",
        RetirementStage::Asked | RetirementStage::Running => "running",
    };
    ObjectWrite {
        kind: ObjectKind::Retirements,
        name: node,
        revision: Some(revision),
        fields: BTreeMap::from([("state".to_string(), state.to_string())]),
        status: true,
    }
}

async fn write_status(store: StoreClient, write: ObjectWrite) {
    let call = StoreRequest::Write(write);
    for _ in 0..MAX_ATTEMPTS {
        match store.call(&call, STATUS_TIMEOUT).await {
            Ok(StoreResponse::Object(..) | StoreResponse::Conflict | StoreResponse::Missing) => {
                return
            }
            other => log::warn!("step=report-retirement reply={other:?}"),
        }
        monoio::time::sleep(RETRY_INTERVAL).await;
    }
}
