//! Counts at a gateway, told until the log has them.

use peatgrade_schema::replication::{UsageBatch, UsageStart};
use peatgrade_types::{Duration, Time};
use std::collections::VecDeque;

/// Wait for an acknowledgement before a batch is sent again: the leader gathers for
/// 0.25 s before it proposes, and a commit takes some 10 ms.
const RESEND: Duration = Duration::from_millis(600);
/// A gateway without requests tells its time this often, so that the leader knows the
/// time of most machines.
const TELL_TIME_EVERY: Duration = Duration::from_secs(2);
/// Starts in one batch: some 20 KB, which a link of 60 Mbit/s takes in 3 ms.
const MAX_BATCH: usize = 512;
/// Starts that wait; the oldest give way. At 50 requests a second of one gateway (a target
/// of 3,100 over 68 gateways) these are 160 s without a leader.
const MAX_WAITING: usize = 8_192;

#[derive(Debug)]
struct Outstanding {
    sequence: u64,
    starts: Vec<UsageStart>,
    sent: Time,
}

/// Starts of requests of one life of a gateway.
#[derive(Debug)]
pub struct Meter {
    meter: u64,
    last_sequence: u64,
    waiting: VecDeque<UsageStart>,
    outstanding: Option<Outstanding>,
    last_told: Option<Time>,
    dropped: u64,
}

impl Meter {
    /// A meter without counts. `meter` must differ from life to life and from machine to
    /// machine.
    pub fn new(meter: u64) -> Self {
        Self {
            meter,
            last_sequence: 0,
            waiting: VecDeque::new(),
            outstanding: None,
            last_told: None,
            dropped: 0,
        }
    }

    /// An engine began a request of a tenant.
    pub fn record_start(&mut self, at: Time, tenant: &str) {
        if self.waiting.len() >= MAX_WAITING {
            self.waiting.pop_front();
            self.dropped += 1;
            // One line for each doubling: a leader that is away for long is one story.
            if self.dropped.is_power_of_two() {
                log::error!(
                    "decision=drop-usage reason=too-many-wait dropped={}",
                    self.dropped
                );
            }
        }
        self.waiting.push_back(UsageStart {
            at: at.0,
            tenant: tenant.to_string(),
        });
    }

    /// What the leader is to be told now. `time_of_day` is this machine's, in
    /// microseconds since 1970.
    pub fn next_batch(&mut self, now: Time, time_of_day: u64) -> Option<UsageBatch> {
        if let Some(outstanding) = &mut self.outstanding {
            if now.since(outstanding.sent) < RESEND {
                return None;
            }
            outstanding.sent = now;
        } else if !self.waiting.is_empty() {
            self.last_sequence += 1;
            let count = self.waiting.len().min(MAX_BATCH);
            self.outstanding = Some(Outstanding {
                sequence: self.last_sequence,
                starts: self.waiting.drain(..count).collect(),
                sent: now,
            });
        } else if self
            .last_told
            .is_some_and(|told| now.since(told) < TELL_TIME_EVERY)
        {
            return None;
        }
        self.last_told = Some(now);
        let outstanding = self.outstanding.as_ref();
        Some(UsageBatch {
            meter: self.meter,
            sequence: outstanding.map_or(0, |batch| batch.sequence),
            sent_at: now.0,
            time_of_day,
            starts: outstanding.map_or(Vec::new(), |batch| batch.starts.clone()),
        })
    }

    /// The log has a batch.
    pub fn on_ack(&mut self, meter: u64, sequence: u64) {
        let is_this = |batch: &mut Outstanding| meter == self.meter && batch.sequence == sequence;
        self.outstanding.take_if(is_this);
    }

    /// Starts that the log may not have.
    pub fn unacknowledged_starts(&self) -> usize {
        let outstanding = self.outstanding.as_ref();
        self.waiting.len() + outstanding.map_or(0, |batch| batch.starts.len())
    }
}
