//! Reports to the store how far storage machines are drained.
//!
//! A machine that is reported as completed is removed at once together with its disk, so this
//! is reported only after a committed membership excludes it. Each write names the revision
//! that it replaces; a late write fails, and the watch delivers the current object.

use peatgrade_ports::{ObjectKind, ObjectWrite, RetirementStage, StoreRequest, StoreResponse};
use std::collections::BTreeMap;
use std::time::Duration;

use crate::store_client::StoreClient;

use super::process::StorageProcess;

const STATUS_TIMEOUT: Duration = Duration::from_millis(1_000);
const MAX_ATTEMPTS: u32 = 20;
const RETRY_INTERVAL: Duration = Duration::from_millis(300);

/// A machine that is to be drained.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(super) struct Retirement {
    /// Revision of the store object.
    pub revision: u64,
    /// Stage in the object's status, or in a status write in progress.
    pub reported_stage: RetirementStage,
}

impl StorageProcess {
    pub(super) fn report_retirements(&mut self) {
        let mut due = Vec::new();
        for (node, retirement) in &self.retirements {
            let stage = if self.membership_planner.is_removed(&self.replica, node) {
                RetirementStage::Completed
            } else {
                RetirementStage::Running
            };
            if stage > retirement.reported_stage {
                due.push((node.clone(), retirement.revision, stage));
            }
        }
        for (node, revision, stage) in due {
            let updated = Retirement {
                revision,
                reported_stage: stage,
            };
            self.retirements.insert(node.clone(), updated);
            log::info!("decision=retire node={node} stage={stage:?}");
            let write = status_write(node, revision, stage);
            monoio::spawn(write_status(self.store.clone(), write));
        }
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
