//! What machines have seen of engines, told to each other.
//!
//! ```text
//!  own experience --ReportFilter--> Outbox --request to a publisher, message to members-->
//!                                                                  |
//!  PeerObservations <--reply to a subscriber, message of a member-- ObservationFeed
//!       |
//!       +--join with own evidence--> PeerHealth, usual times, load
//! ```
//!
//! A machine that sees one request in five seconds learns nothing of an engine in time,
//! while another one sees a hundred a second. Only what a machine saw itself is told, with
//! its source and its age; what was told is passed on as it came, and never told as one's
//! own. What others say never outweighs what was seen here later.
//!
//! No socket, clock or random number is used here. Ages travel, never times: each machine
//! keeps them as times of its own steady clock.

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
