//! Memory accounting of jobs.

use peatgrade_schema::replication::{AcceptJob, JobItem};

/// Bytes that jobs take in memory, by kind of data.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct JobMemory {
    /// Submitted items, with bodies and headers while their job is open.
    pub items: usize,
    /// Results, excluding their texts.
    pub results: usize,
    /// Texts of listed results.
    pub recent_texts: usize,
    /// Partial texts.
    pub progress: usize,
}

/// Approximate memory of the items of a job.
pub fn job_bytes(job: &AcceptJob) -> usize {
    job.items.iter().map(item_bytes).sum()
}

/// Approximate memory of an item.
pub(crate) fn item_bytes(item: &JobItem) -> usize {
    let headers = item.headers.iter();
    let headers = headers.map(|h| h.name.len() + h.value.len() + std::mem::size_of_val(h));
    std::mem::size_of_val(item)
        + item.id.len()
        + item.path.len()
        + item.body.len()
        + item.group.len()
        + headers.sum::<usize>()
}
