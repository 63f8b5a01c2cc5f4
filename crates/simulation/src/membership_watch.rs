//! Watches how fast failures are noticed, and how often wrongly.

use peatgrade_membership::State;
use peatgrade_types::{Duration, NodeId, Time};
use serde::Serialize;
use std::collections::BTreeMap;

use crate::process::Process;

/// Figures of the failure detector.
#[derive(Clone, Debug, Default, Serialize)]
pub struct MembershipFigures {
    /// Milliseconds from a crash until the last live node held it for dead;
    /// one entry for each crash that lasted long enough.
    pub detection_ms: Vec<u64>,
    /// Times a live, reachable node was held for dead by another.
    pub false_deaths: u64,
}

/// Crashes that not every node has noticed.
#[derive(Debug, Default)]
pub(crate) struct MembershipWatch {
    open: BTreeMap<NodeId, Time>,
    false_views: BTreeMap<(NodeId, NodeId), bool>,
    figures: MembershipFigures,
}

/// A crash shorter than this is over before it can be noticed.
const SHORTEST: Duration = Duration::from_secs(10);
/// Time after its start in which a node may still be unknown or doubted.
const SETTLING: Duration = Duration::from_secs(20);

impl MembershipWatch {
    pub fn on_crash(&mut self, now: Time, node: NodeId, down_for: Duration) {
        if down_for >= SHORTEST {
            self.open.insert(node, now);
        }
    }

    pub fn figures(&self) -> MembershipFigures {
        self.figures.clone()
    }

    /// Looks at every node's view of every other.
    pub fn observe(&mut self, now: Time, nodes: &[Process]) {
        self.close_noticed(now, nodes);
        for viewer in nodes.iter().filter(|node| sound(now, node)) {
            let Some(core) = &viewer.core else {
                continue;
            };
            for subject in nodes.iter().filter(|node| sound(now, node)) {
                let dead = core.sees(subject.id) == Some(State::Dead);
                let before = self.false_views.insert((viewer.id, subject.id), dead);
                if dead && before != Some(true) {
                    self.figures.false_deaths += 1;
                }
            }
        }
    }

    fn close_noticed(&mut self, now: Time, nodes: &[Process]) {
        let noticed: Vec<NodeId> = self
            .open
            .keys()
            .copied()
            .filter(|subject| {
                let mut viewers = nodes.iter().filter(|node| sound(now, node));
                viewers.all(|viewer| {
                    let core = viewer.core.as_ref();
                    core.is_none_or(|core| matches!(core.sees(*subject), None | Some(State::Dead)))
                })
            })
            .collect();
        for subject in noticed {
            if let Some(since) = self.open.remove(&subject) {
                self.figures.detection_ms.push(now.since(since).as_millis());
            }
        }
    }
}

/// Whether a node has run, reachable and without a pause, for a while.
fn sound(now: Time, node: &Process) -> bool {
    node.active(now) && now.since(node.sound_since) >= SETTLING && node.draining_since.is_none()
}
