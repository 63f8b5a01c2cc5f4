//! The true time of day, from many clocks of which some are wrong.
//!
//! Each machine's clock is close to true time, and some may be set by seconds for a
//! while. The median of their offsets is wrong only if half of them are wrong together,
//! and off by no more than the middle ones differ. With 68 gateways whose clocks lie
//! within 20 ms of true time the median lies within 3 ms (reckoned); at 14 requests a
//! second one start in 24 windows then falls into the window beside its own.
//!
//! What another machine tells comes late by its way here. Its steady clock is set against
//! the one here by the sample that came fastest of the last few, so that neither a busy
//! machine nor a held-up message moves a start into another window.

use peatgrade_types::{Duration, Time};
use std::collections::{BTreeMap, VecDeque};

/// Age from which on a sample says nothing: machines tell their time every 2 s, so this
/// leaves out those that are gone.
const MAX_AGE: Duration = Duration::from_secs(10);
/// Machines known at most, the one heard longest ago giving way: more than the target
/// size has.
const MAX_MACHINES: usize = 1_024;
/// Samples of a machine of which the fastest counts: half a minute of them, in which two
/// clocks drift apart by 1.5 ms at 50 parts in a million.
const SAMPLES: usize = 16;

/// Another machine's clocks.
#[derive(Debug, Default)]
struct MachineClocks {
    heard: Time,
    /// Its steady time less that of this machine, as of the last samples: too small by
    /// the time of the way.
    steady_shifts: VecDeque<i64>,
    /// Its time of day less its own steady time.
    day_offset: i64,
}

impl MachineClocks {
    /// Its steady time less that of this machine.
    fn steady_shift(&self) -> i64 {
        self.steady_shifts.iter().copied().max().unwrap_or(0)
    }

    /// Time of day, as it has it, less the steady time of this machine.
    fn offset(&self) -> i64 {
        self.day_offset + self.steady_shift()
    }
}

/// Time of day as most machines have it.
#[derive(Debug, Default)]
pub struct ClusterClock {
    machines: BTreeMap<u64, MachineClocks>,
}

impl ClusterClock {
    /// Takes the clocks of a machine as they stood when it sent this: its steady time, and
    /// its time of day in microseconds since 1970. Neither may stand still while the machine
    /// is suspended.
    pub fn record_sample(&mut self, now: Time, machine: u64, steady: Time, time_of_day: u64) {
        self.machines
            .retain(|_, clocks| now.since(clocks.heard) < MAX_AGE);
        if !self.machines.contains_key(&machine) && self.machines.len() >= MAX_MACHINES {
            let oldest = self.machines.iter().min_by_key(|(_, clocks)| clocks.heard);
            if let Some(oldest) = oldest.map(|(machine, _)| *machine) {
                self.machines.remove(&oldest);
            }
        }
        let clocks = self.machines.entry(machine).or_default();
        clocks.heard = now;
        clocks.day_offset = time_of_day as i64 - steady.0 as i64;
        clocks
            .steady_shifts
            .push_back(steady.0 as i64 - now.0 as i64);
        if clocks.steady_shifts.len() > SAMPLES {
            clocks.steady_shifts.pop_front();
        }
    }

    /// How many machines have told theirs of late.
    pub fn machine_count(&self) -> usize {
        self.machines.len()
    }

    /// The time of day, in microseconds since 1970, at a steady time of this machine;
    /// none if nobody has told one.
    pub fn time_of_day_at(&self, steady: Time) -> Option<u64> {
        let clocks = self.machines.values();
        let mut offsets: Vec<i64> = clocks.map(MachineClocks::offset).collect();
        if offsets.is_empty() {
            return None;
        }
        let middle = offsets.len() / 2;
        let (_, median, _) = offsets.select_nth_unstable(middle);
        u64::try_from(steady.0 as i64 + *median).ok()
    }

    /// The same at a steady time of another machine.
    pub fn time_of_day_at_remote(&self, machine: u64, steady: Time) -> Option<u64> {
        let shift = self.machines.get(&machine)?.steady_shift();
        let here = u64::try_from(steady.0 as i64 - shift).ok()?;
        self.time_of_day_at(Time(here))
    }
}
