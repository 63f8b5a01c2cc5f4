//! Records request starts at a gateway and resends them until they are committed.

use peatgrade_schema::replication::{UsageBatch, UsageStart};
use peatgrade_types::{Duration, Time};
use std::collections::VecDeque;

/// Time without an acknowledgement after which a batch is resent. Exceeds the leader's
/// batching interval plus the duration of a commit.
const RESEND_INTERVAL: Duration = Duration::from_millis(600);
/// Interval at which an idle gateway sends its clock readings, which the leader needs to
/// estimate the time of day.
const CLOCK_REPORT_INTERVAL: Duration = Duration::from_secs(2);
/// Maximum number of starts in a batch.
const MAX_BATCH_STARTS: usize = 512;
/// Maximum number of queued starts; the oldest is dropped first. At 50 requests per second this
/// covers 160 s without a leader.
const MAX_QUEUED_STARTS: usize = 8_192;

/// The batch that has been sent but not acknowledged.
#[derive(Debug)]
struct Outstanding {
    sequence: u64,
    starts: Vec<UsageStart>,
    sent_at: Time,
}

/// Request starts of one gateway process.
#[derive(Debug)]
pub struct Meter {
    meter: u64,
    last_sequence: u64,
    queued: VecDeque<UsageStart>,
    outstanding: Option<Outstanding>,
    last_sent: Option<Time>,
    dropped: u64,
}

impl Meter {
    /// Creates an empty meter. The id `meter` must be unique to this process among all
    /// gateways.
    pub fn new(meter: u64) -> Self {
        Self {
            meter,
            last_sequence: 0,
            queued: VecDeque::new(),
            outstanding: None,
            last_sent: None,
            dropped: 0,
        }
    }

    /// Records that an engine started a request of a tenant.
    pub fn record_start(&mut self, at: Time, tenant: &str) {
        if self.queued.len() >= MAX_QUEUED_STARTS {
            self.queued.pop_front();
            self.dropped += 1;
            // Logs at powers of two to limit the output during a long outage.
            if self.dropped.is_power_of_two() {
                log::error!(
                    "decision=drop-usage reason=too-many-wait dropped={}",
                    self.dropped
                );
            }
        }
        self.queued.push_back(UsageStart {
            at: at.0,
            tenant: tenant.to_string(),
        });
    }

    /// Returns the batch that is due to be sent to the leader, if any. `time_of_day` is
    /// this machine's, in microseconds since the Unix epoch.
    pub fn next_batch(&mut self, now: Time, time_of_day: u64) -> Option<UsageBatch> {
        if let Some(outstanding) = &mut self.outstanding {
            if now.since(outstanding.sent_at) < RESEND_INTERVAL {
                return None;
            }
            outstanding.sent_at = now;
        } else if !self.queued.is_empty() {
            self.last_sequence += 1;
            let count = self.queued.len().min(MAX_BATCH_STARTS);
            self.outstanding = Some(Outstanding {
                sequence: self.last_sequence,
                starts: self.queued.drain(..count).collect(),
                sent_at: now,
            });
        } else if self
            .last_sent
            .is_some_and(|sent| now.since(sent) < CLOCK_REPORT_INTERVAL)
        {
            return None;
        }
        self.last_sent = Some(now);
        let outstanding = self.outstanding.as_ref();
        Some(UsageBatch {
            meter: self.meter,
            sequence: outstanding.map_or(0, |batch| batch.sequence),
            sent_at: now.0,
            time_of_day,
            starts: outstanding.map_or(Vec::new(), |batch| batch.starts.clone()),
        })
    }

    /// Handles the acknowledgement of a committed batch.
    pub fn on_ack(&mut self, meter: u64, sequence: u64) {
        let is_acknowledged =
            |batch: &mut Outstanding| meter == self.meter && batch.sequence == sequence;
        self.outstanding.take_if(is_acknowledged);
    }

    /// Number of starts that are not known to be committed.
    pub fn unacknowledged_starts(&self) -> usize {
        let outstanding = self.outstanding.as_ref();
        self.queued.len() + outstanding.map_or(0, |batch| batch.starts.len())
    }
}
