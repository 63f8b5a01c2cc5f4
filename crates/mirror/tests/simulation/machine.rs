//! A publisher machine and the faults injected into it.

use peatgrade_mirror::Publisher;
use peatgrade_schema::replication::MirrorRequest;
use std::collections::VecDeque;

/// A fault of a publisher machine.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Fault {
    None,
    /// The process is gone, with all its state.
    Crashed,
    /// The process does not run; incoming requests queue up.
    Paused,
    /// The watch call to the store never returns.
    StoreWatchHangs,
    /// No messages pass between the machine and the subscriber.
    Partitioned,
    SlowReplies,
    /// Every second reply is lost.
    DropsReplies,
    /// Messages on the open connection are lost until it is renewed.
    StaleConnections,
}

pub const FAULTS: [Fault; 8] = [
    Fault::None,
    Fault::Crashed,
    Fault::Paused,
    Fault::StoreWatchHangs,
    Fault::Partitioned,
    Fault::SlowReplies,
    Fault::DropsReplies,
    Fault::StaleConnections,
];

pub struct PublisherMachine {
    pub publisher: Publisher,
    pub fault: Fault,
    /// Revision that the watch has reached; none before the first list.
    pub revision: Option<u64>,
    pub last_watch_at: u64,
    pub requests: VecDeque<MirrorRequest>,
    pub is_connection_stale: bool,
    pub replies_sent: u64,
}

impl PublisherMachine {
    pub fn new() -> Self {
        Self {
            publisher: Publisher::default(),
            fault: Fault::None,
            revision: None,
            last_watch_at: 0,
            requests: VecDeque::new(),
            is_connection_stale: false,
            replies_sent: 0,
        }
    }
}
