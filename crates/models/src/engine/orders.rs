//! Fenced orders to stage and activate weights.

use peatgrade_schema::engine::{EngineOrder, OrderKind, OrderReply};
use peatgrade_types::http::{ResponseHead, ResponsePart};
use peatgrade_types::{Duration, Time};

use super::EngineSettings;
use crate::platform::RequestId;

/// Longest wait for a source that does not have the version yet.
const SOURCE_LIMIT: Duration = Duration::from_secs(5);

/// Time between two looks whether the source has the version.
const SOURCE_POLL: Duration = Duration::from_millis(20);

/// A copy of weights that the platform has to time.
#[derive(Clone, Debug)]
pub struct Transfer {
    /// Version to copy.
    pub version: u64,
    /// Engine to copy from; empty for the store.
    pub source: String,
    /// Time over a free link.
    pub length: Duration,
    /// When to give up waiting for the source.
    pub give_up: Time,
}

#[derive(Debug)]
enum Work {
    /// Waits for the platform to say when the copy ends.
    Requested(Transfer),
    Copying {
        version: u64,
        until: Time,
    },
    Swapping {
        version: u64,
        until: Time,
    },
}

/// Weights of an engine and the order it works on.
#[derive(Debug, Default)]
pub struct WeightState {
    /// Version in use.
    pub active: u64,
    /// Version on the engine, ready to be used.
    pub staged: u64,
    /// Whether a swap failed, so that the version in use is not known.
    pub unknown: bool,
    /// Whether the next swap fails partway.
    pub fail_next: bool,
    highest: (u64, u64),
    work: Option<(RequestId, Work)>,
    answers: Vec<(RequestId, OrderReply)>,
}

impl WeightState {
    /// Takes in an order; one below the highest seen is refused.
    pub fn order(
        &mut self,
        now: Time,
        id: RequestId,
        order: EngineOrder,
        settings: &EngineSettings,
    ) {
        if (order.epoch, order.order) < self.highest {
            let reason = format!(
                "order {:?} is below {:?}",
                (order.epoch, order.order),
                self.highest
            );
            return self.reply(id, false, false, reason);
        }
        self.highest = (order.epoch, order.order);
        if let Some((earlier, _)) = self.work.take() {
            self.reply(earlier, true, false, "replaced by a later order".into());
        }
        match order.kind {
            OrderKind::Stage if self.staged == order.version => {
                self.reply(id, true, true, String::new());
            }
            OrderKind::Stage => {
                let transfer = Transfer {
                    version: order.version,
                    source: order.source,
                    length: Duration::from_millis(settings.stage_ms),
                    give_up: now + SOURCE_LIMIT,
                };
                self.work = Some((id, Work::Requested(transfer)));
            }
            OrderKind::Activate if self.staged != order.version => {
                self.reply(
                    id,
                    true,
                    false,
                    format!("version {} is not staged", order.version),
                );
            }
            OrderKind::Activate => {
                let until = now + Duration::from_millis(settings.swap_ms);
                let version = order.version;
                self.work = Some((id, Work::Swapping { version, until }));
            }
        }
    }

    /// The copy that waits to be timed.
    pub fn wanted_transfer(&self) -> Option<&Transfer> {
        match &self.work {
            Some((_, Work::Requested(transfer))) => Some(transfer),
            _ => None,
        }
    }

    /// Says when the wanted copy ends, or that it cannot be made.
    pub fn time_transfer(&mut self, end: Result<Time, String>) {
        let Some((id, Work::Requested(transfer))) = self.work.take() else {
            return;
        };
        match end {
            Ok(until) => {
                let version = transfer.version;
                self.work = Some((id, Work::Copying { version, until }));
            }
            Err(reason) => self.reply(id, true, false, reason),
        }
    }

    /// Whether this engine can give a version to others.
    pub fn has(&self, version: u64) -> bool {
        !self.unknown && (self.staged == version || self.active == version)
    }

    /// Gives an order up, because its sender did; a swap goes on.
    pub fn cancel(&mut self, id: RequestId) {
        let copying = matches!(&self.work, Some((known, Work::Requested(_) | Work::Copying { .. })) if *known == id);
        if copying {
            self.work = None;
        }
    }

    /// Drops everything; returns the requests.
    pub fn clear(&mut self) -> Vec<RequestId> {
        let open = self.work.take().map(|(id, _)| id);
        let answered = self.answers.drain(..).map(|(id, _)| id);
        open.into_iter().chain(answered).collect()
    }

    /// Works until `now`. Returns whether the engine cannot generate.
    pub fn advance(&mut self, now: Time, out: &mut Vec<(RequestId, ResponsePart)>) -> bool {
        match &self.work {
            Some((id, Work::Copying { version, until })) if now >= *until => {
                let (id, version) = (*id, *version);
                self.staged = version;
                self.work = None;
                self.reply(id, true, true, String::new());
            }
            Some((id, Work::Swapping { version, until })) if now >= *until => {
                let (id, version) = (*id, *version);
                self.work = None;
                self.finish_swap(id, version);
            }
            _ => {}
        }
        for (id, reply) in self.answers.drain(..) {
            let body = serde_json::to_vec(&reply).unwrap_or_default();
            let head = ResponseHead::new(200, "application/json");
            out.push((id, ResponsePart::Head(head)));
            out.push((id, ResponsePart::Data(body.into())));
            out.push((id, ResponsePart::End));
        }
        matches!(self.work, Some((_, Work::Swapping { .. })))
    }

    fn finish_swap(&mut self, id: RequestId, version: u64) {
        if std::mem::take(&mut self.fail_next) {
            self.unknown = true;
            self.staged = 0;
            return self.reply(
                id,
                true,
                false,
                "swap failed partway; out of service".into(),
            );
        }
        self.active = version;
        self.unknown = false;
        self.reply(id, true, true, String::new());
    }

    /// When there is something to do.
    pub fn next_wake(&self, now: Time) -> Option<Time> {
        if !self.answers.is_empty() {
            return Some(now);
        }
        match &self.work {
            Some((_, Work::Copying { until, .. } | Work::Swapping { until, .. })) => Some(*until),
            Some((_, Work::Requested(_))) => Some(now + SOURCE_POLL),
            None => None,
        }
    }

    fn reply(&mut self, id: RequestId, accepted: bool, done: bool, reason: String) {
        let reply = OrderReply {
            accepted,
            done,
            epoch: self.highest.0,
            staged: self.staged,
            weights: self.active,
            reason,
        };
        self.answers.push((id, reply));
    }
}
