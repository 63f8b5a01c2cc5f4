//! Estimate of the time of day from the wall clocks of all machines.
//!
//! Individual wall clocks may be off by seconds. The median of their offsets is wrong only
//! if half of the clocks are wrong at the same time.
//!
//! Samples from other machines arrive with a network delay. The offset between a remote
//! monotonic clock and the local one is taken from the sample with the smallest delay among
//! the last few, so that a delayed message does not move a request into another window.

use peatgrade_types::{Duration, Time};
use std::collections::{BTreeMap, VecDeque};

/// Time without samples after which a machine is dropped.
const MACHINE_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum number of machines; the one heard from least recently is evicted first.
const MAX_MACHINES: usize = 1_024;
/// Samples kept for each machine. Bounds the effect of clock drift on the offset.
const MAX_SAMPLES: usize = 16;

/// Clocks of one machine.
#[derive(Debug, Default)]
struct MachineClocks {
    last_sample: Time,
    /// Remote monotonic time minus local monotonic time of the last samples; each is too
    /// small by the network delay of its sample.
    monotonic_offsets: VecDeque<i64>,
    /// Time of day minus monotonic time of the same machine.
    wall_offset: i64,
}

impl MachineClocks {
    /// Remote monotonic time minus local monotonic time, from the sample with the smallest
    /// delay.
    fn monotonic_offset(&self) -> i64 {
        self.monotonic_offsets.iter().copied().max().unwrap_or(0)
    }

    /// Time of day of the machine minus local monotonic time.
    fn offset(&self) -> i64 {
        self.wall_offset + self.monotonic_offset()
    }
}

/// Median time of day over all machines.
#[derive(Debug, Default)]
pub struct ClusterClock {
    machines: BTreeMap<u64, MachineClocks>,
}

impl ClusterClock {
    /// Records the clocks of a machine at the time it sent a message: its monotonic time and
    /// its time of day in microseconds since the Unix epoch. Both clocks must advance while
    /// the machine is suspended.
    pub fn record_sample(&mut self, now: Time, machine: u64, monotonic: Time, time_of_day: u64) {
        self.machines
            .retain(|_, clocks| now.since(clocks.last_sample) < MACHINE_TIMEOUT);
        if !self.machines.contains_key(&machine) && self.machines.len() >= MAX_MACHINES {
            let oldest = self
                .machines
                .iter()
                .min_by_key(|(_, clocks)| clocks.last_sample);
            if let Some(oldest) = oldest.map(|(machine, _)| *machine) {
                self.machines.remove(&oldest);
            }
        }
        let clocks = self.machines.entry(machine).or_default();
        clocks.last_sample = now;
        clocks.wall_offset = time_of_day as i64 - monotonic.0 as i64;
        clocks
            .monotonic_offsets
            .push_back(monotonic.0 as i64 - now.0 as i64);
        if clocks.monotonic_offsets.len() > MAX_SAMPLES {
            clocks.monotonic_offsets.pop_front();
        }
    }

    /// Number of machines with recent samples.
    pub fn machine_count(&self) -> usize {
        self.machines.len()
    }

    /// Time of day in microseconds since the Unix epoch at a local monotonic time; `None`
    /// without samples.
    pub fn time_of_day_at(&self, monotonic: Time) -> Option<u64> {
        let clocks = self.machines.values();
        let mut offsets: Vec<i64> = clocks.map(MachineClocks::offset).collect();
        if offsets.is_empty() {
            return None;
        }
        let middle = offsets.len() / 2;
        let (_, median, _) = offsets.select_nth_unstable(middle);
        u64::try_from(monotonic.0 as i64 + *median).ok()
    }

    /// Time of day in microseconds since the Unix epoch at a monotonic time of another
    /// machine; `None` without samples from that machine.
    pub fn time_of_day_at_remote(&self, machine: u64, monotonic: Time) -> Option<u64> {
        let offset = self.machines.get(&machine)?.monotonic_offset();
        let local = u64::try_from(monotonic.0 as i64 - offset).ok()?;
        self.time_of_day_at(Time(local))
    }
}
