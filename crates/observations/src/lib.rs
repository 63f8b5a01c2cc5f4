//! What machines have seen of engines, told to each other.
//!
//! ```text
//!  own experience --Teller--> Outbox --request to a publisher, message to members-->
//!                                                                  |
//!  ToldOfEngine <--reply to a subscriber, message of a member-- ObservationBoard
//!       |
//!       +--join with own evidence--> Standing, usual times, load
//! ```
//!
//! A machine that sees one request in five seconds learns nothing of an engine in time,
//! while another one sees a hundred a second. Only what a machine saw itself is told, with
//! its source and its age; what was told is passed on as it came, and never told as one's
//! own. What others say never outweighs what was seen here later.
//!
//! No socket, clock or random number is used here. Ages travel, never times: each machine
//! keeps them as times of its own steady clock.

mod board;
mod credibility;
mod observation;
mod outbox;
mod teller;
mod told;
mod wire;

pub use board::{BoardMarks, ObservationBoard, MAX_ENTRIES};
pub use credibility::{discredited, suspects_own_link, Accusation};
pub use observation::{Observation, Urgency};
pub use outbox::{Outbox, MAX_PENDING};
pub use teller::{Teller, AGAIN_AFTER, LOAD_EVERY};
pub use told::{OwnEvidence, Standing, ToldBelief, ToldOfEngine, FAILURE_FADE, MAX_SOURCES};
pub use wire::{from_message, to_message, MAX_AGE, MAX_TOLD_BYTES};
