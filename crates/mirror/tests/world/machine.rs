//! A machine that publishes, and what is wrong with it.

use peatgrade_mirror::Publisher;
use peatgrade_schema::replication::MirrorRequest;
use std::collections::VecDeque;

/// What is wrong with a publisher.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Fault {
    None,
    /// Its process is gone, with all it knew.
    Dead,
    /// It stands still; what arrives waits.
    Frozen,
    /// Its watch never answers.
    StoreSilent,
    /// Nothing passes between it and the subscriber.
    CutFromSubscriber,
    /// Its answers take long.
    Slow,
    /// Each second answer is lost.
    LosesAnswers,
    /// What goes by the open connection does not arrive; a new one works.
    ConnectionsSilent,
}

pub const FAULTS: [Fault; 8] = [
    Fault::None,
    Fault::Dead,
    Fault::Frozen,
    Fault::StoreSilent,
    Fault::CutFromSubscriber,
    Fault::Slow,
    Fault::LosesAnswers,
    Fault::ConnectionsSilent,
];

pub struct Machine {
    pub publisher: Publisher,
    pub fault: Fault,
    /// Revision up to which its watch has told; none before a list.
    pub read: Option<u64>,
    pub watched_at: u64,
    pub inbox: VecDeque<MirrorRequest>,
    pub connection_is_dead: bool,
    pub answers: u64,
}

impl Machine {
    pub fn new() -> Self {
        Self {
            publisher: Publisher::default(),
            fault: Fault::None,
            read: None,
            watched_at: 0,
            inbox: VecDeque::new(),
            connection_is_dead: false,
            answers: 0,
        }
    }
}
