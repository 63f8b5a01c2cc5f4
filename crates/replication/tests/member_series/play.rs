//! Carries out the steps of a series on a simulated cluster.

use super::{Cluster, Duration, Step, HEALED_WITHIN, LEADER_TIME_LIMIT, TARGET_VOTERS};
use peatgrade_types::Time;

/// Time within which a leader serves once nothing disturbs the group.
const LEADER_WITHIN: Duration = Duration::from_secs(3);
const PLAN_INTERVAL: Duration = Duration::from_millis(10);
const WRITE_INTERVAL: Duration = Duration::from_millis(100);
const MANY_WRITES: usize = 200;
const SLOW_BY: Duration = Duration::from_millis(40);
const LOSS: f64 = 0.1;

pub struct Play {
    cluster: Cluster,
    /// Whether a machine was started, stopped or disturbed since the group was last seen whole.
    is_disturbed: bool,
}

impl Play {
    pub fn new(seed: u64, spares: usize) -> Self {
        let mut cluster = Cluster::new(seed, spares);
        cluster.catch_up_time = HEALED_WITHIN;
        cluster.plan_interval = PLAN_INTERVAL;
        cluster.calm_since = cluster.now;
        // The planners of the first machines are made before the time is set.
        for index in 0..cluster.machines.len() {
            cluster.stop(index);
            cluster.start(index);
        }
        cluster.run_until_leader_serves(LEADER_TIME_LIMIT);
        let mut play = Self {
            cluster,
            is_disturbed: true,
        };
        play.wait_until_whole();
        play
    }

    pub fn carry_out(&mut self, step: &Step) {
        if machine_of(step).is_some_and(|machine| self.cluster.machines[machine].is_gone) {
            return;
        }
        match step {
            Step::Retire(machine) => {
                let mut names = self.cluster.retiring().to_vec();
                names.push(self.cluster.machines[*machine].name.clone());
                self.cluster.retire(&names);
            }
            Step::TakeBack(machine) => {
                let taken_back = &self.cluster.machines[*machine].name;
                let names = self.cluster.retiring().iter();
                let names: Vec<String> =
                    names.filter(|name| *name != taken_back).cloned().collect();
                self.cluster.retire(&names);
            }
            Step::Add => {
                self.cluster.push_machine();
                self.is_disturbed = true;
            }
            Step::Replace(machine, ms) => {
                let is_whole = self.wait_until_whole();
                self.disturb();
                self.cluster.push_machine();
                self.write_for(*ms);
                if is_whole {
                    self.cluster.take_away(*machine);
                }
                self.calm();
            }
            Step::LoseDisk(machine, ms) => {
                if self.wait_until_whole() && !self.cluster.machines[*machine].is_gone {
                    self.disturb();
                    self.cluster.stop(*machine);
                    self.cluster.wipe(*machine);
                    self.write_for(*ms);
                    self.cluster.start(*machine);
                    self.calm();
                }
            }
            Step::Kill(machine, ms) => {
                if self.wait_until_whole() && !self.cluster.machines[*machine].is_gone {
                    self.disturb();
                    self.cluster.stop(*machine);
                    self.write_for(*ms);
                    self.cluster.start(*machine);
                    self.calm();
                }
            }
            Step::KillAll => {
                self.disturb();
                for index in 0..self.cluster.machines.len() {
                    self.cluster.stop(index);
                    self.cluster.start(index);
                }
                self.calm();
            }
            Step::Freeze(machine, ms) => {
                self.disturb();
                self.cluster.pause(*machine, Duration::from_millis(*ms));
                self.write_for(*ms);
                self.calm();
            }
            Step::Slow(machine, ms) => {
                self.disturb();
                self.cluster.extra_delays.insert(*machine, SLOW_BY);
                self.write_for(*ms);
                self.cluster.extra_delays.clear();
                self.calm();
            }
            Step::Cut {
                machine,
                incoming,
                ms,
            } => {
                self.disturb();
                for other in 0..self.cluster.machines.len() {
                    match incoming {
                        true => self.cluster.block_link(other, *machine),
                        false => self.cluster.block_link(*machine, other),
                    }
                }
                self.write_for(*ms);
                self.cluster.heal();
                self.calm();
            }
            Step::Lossy(ms) => {
                self.disturb();
                self.cluster.message_loss = LOSS;
                self.write_for(*ms);
                self.cluster.message_loss = 0.0;
                self.calm();
            }
            Step::StaleStore => {
                self.cluster.stale_registrations = Some(self.cluster.registrations());
            }
            Step::FreshStore => self.cluster.stale_registrations = None,
            Step::WriteMany => {
                for _ in 0..MANY_WRITES {
                    self.cluster.propose();
                }
            }
            Step::Wait(ms) => self.write_for(*ms),
        }
    }

    /// Checks that the group is whole at the end, and that nothing was lost.
    pub fn finish(mut self) {
        self.cluster.stale_registrations = None;
        self.is_disturbed = true;
        self.wait_until_whole();
    }

    fn disturb(&mut self) {
        self.is_disturbed = true;
        self.cluster.calm_since = Time(u64::MAX);
    }

    fn calm(&mut self) {
        self.cluster.calm_since = self.cluster.now + HEALED_WITHIN;
    }

    fn write_for(&mut self, ms: u64) {
        let end = self.cluster.now + Duration::from_millis(ms);
        while self.cluster.now < end {
            let remaining = end.since(self.cluster.now);
            self.cluster.run(remaining.min(PLAN_INTERVAL));
            self.cluster.take_drained_machines();
            if self.cluster.now.0.is_multiple_of(WRITE_INTERVAL.0) {
                self.cluster.propose();
            }
        }
    }

    /// Lets a calm time pass and checks that the group tolerates a loss after it. Returns
    /// whether there are enough machines for that.
    fn wait_until_whole(&mut self) -> bool {
        // The time begins anew once the store is read again, if it names a machine that is new.
        let stale = self.cluster.stale_registrations.as_ref();
        if stale.is_some_and(|known| known.len() < self.cluster.machines.len()) {
            self.cluster.stale_registrations = None;
            self.is_disturbed = true;
        }
        if self.is_disturbed {
            self.cluster.calm_since = self.cluster.now + HEALED_WITHIN;
            self.write_for(HEALED_WITHIN.as_millis());
        }
        // The leader may just have been taken away.
        if self.cluster.serving_leader.is_none() {
            self.cluster.run_until_leader_serves(LEADER_WITHIN);
        }
        let machines = self.cluster.machines.iter();
        let is_enough = machines.filter(|machine| !machine.is_gone).count() >= TARGET_VOTERS;
        if is_enough {
            self.cluster.assert_tolerates_a_loss();
            self.is_disturbed = false;
        }
        is_enough
    }
}

fn machine_of(step: &Step) -> Option<usize> {
    match step {
        Step::Retire(machine)
        | Step::LoseDisk(machine, _)
        | Step::Kill(machine, _)
        | Step::Freeze(machine, _)
        | Step::Slow(machine, _)
        | Step::Cut { machine, .. } => Some(*machine),
        _ => None,
    }
}
