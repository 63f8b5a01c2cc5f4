//! The trainer's register: what is sealed and what is committed.

use peatgrade_schema::peer::{SealedStep, TrainerRecord};

/// Committed steps whose samples are kept, for a trainer that fetches again.
pub const KEPT_STEPS: u64 = 2;

/// The record with `epoch` as the lowest that may seal, or none if a later
/// epoch has fenced already.
///
/// A coordinator fences before it reads which samples are used: after that no
/// earlier holder can seal, so what it read stays complete.
pub fn fence(record: &TrainerRecord, epoch: u64) -> Option<TrainerRecord> {
    if record.sealing_epoch >= epoch {
        return None;
    }
    let mut next = record.clone();
    next.sealing_epoch = epoch;
    Some(next)
}

/// The record with one more step sealed, or none if the step is sealed
/// already, is not the next one, or a later epoch has fenced.
pub fn seal(record: &TrainerRecord, epoch: u64, sealed: &SealedStep) -> Option<TrainerRecord> {
    let next_step = next_to_seal(record);
    if record.sealing_epoch != epoch || sealed.step != next_step {
        return None;
    }
    let mut next = record.clone();
    next.sealed.push(sealed.clone());
    let keep_from = (record.committed + 1).saturating_sub(KEPT_STEPS);
    next.sealed.retain(|step| step.step >= keep_from);
    Some(next)
}

/// Lowest step that is not sealed.
pub fn next_to_seal(record: &TrainerRecord) -> u64 {
    let last = record.sealed.iter().map(|sealed| sealed.step).max();
    last.unwrap_or(record.committed).max(record.committed) + 1
}

/// Answer to a commit.
#[derive(Clone, Debug, PartialEq)]
pub enum CommitOutcome {
    /// The step becomes the last committed one.
    Commit(TrainerRecord),
    /// It was committed before; nothing changes.
    Already,
    /// Another step has to be committed first, or this one is not sealed.
    OutOfOrder {
        /// The step that can be committed next.
        expected: u64,
    },
}

/// Commits a step.
pub fn commit(record: &TrainerRecord, step: u64) -> CommitOutcome {
    if step <= record.committed {
        return CommitOutcome::Already;
    }
    let expected = record.committed + 1;
    let sealed = record.sealed.iter().any(|sealed| sealed.step == step);
    if step != expected || !sealed {
        return CommitOutcome::OutOfOrder { expected };
    }
    let mut next = record.clone();
    next.committed = step;
    CommitOutcome::Commit(next)
}
