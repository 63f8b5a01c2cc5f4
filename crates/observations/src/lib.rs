//! Engine observations exchanged between nodes.
//!
//! ```text
//!  local stats --ReportFilter--> Outbox --request to a publisher, message to members-->
//!                                                                    |
//!  PeerObservations <--reply to a subscriber, message of a member-- ObservationFeed
//!       |
//!       +--merged with local evidence--> PeerHealth, mean latencies, load
//! ```
//!
//! A node that sends few requests detects a failing engine late, while a busy one detects it
//! within milliseconds. A node reports only what it observed itself, with its name as the
//! source and the age of the observation; observations of others are relayed unchanged.
//! Reports of peers never override a later local observation.
//!
//! This crate uses no socket, clock or random number. Messages carry ages instead of
//! timestamps; each node converts them to its own monotonic clock.

mod feed;
mod observation;
mod outbox;
mod peer_observations;
mod reliability;
mod report_filter;
mod wire;

pub use feed::{FeedCursor, ObservationFeed, MAX_ENTRIES};
pub use observation::{Observation, Urgency};
pub use outbox::{Outbox, MAX_PENDING};
pub use peer_observations::{
    LocalEvidence, PeerHealth, PeerObservations, PeerSummary, FAILURE_TTL, MAX_SOURCES,
};
pub use reliability::{suspects_local_link, unreliable_sources, FailureReport};
pub use report_filter::{ReportFilter, FAILURE_REPORT_INTERVAL, LOAD_REPORT_INTERVAL};
pub use wire::{from_message, to_message, MAX_AGE, MAX_OBSERVATION_BYTES};
