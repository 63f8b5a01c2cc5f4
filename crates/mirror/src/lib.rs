//! News of the object store, read by a few machines and taken from them by all others.
//!
//! ```text
//!  object store --watch--> Publisher (each member of the replica group)
//!                              |  MirrorReply: changes, revision, age of the proof
//!                              v
//!                          Subscriber (each gateway) --StoreUpdate--> beliefs
//!                              |
//!                              +--nobody answers, or all are too old--> own watch
//! ```
//!
//! Each call to the store has its price, and 250 gateways that watch for themselves
//! made 18,000 a day. A publisher whose own watch has died without a sign must not be
//! believed, so each reply carries how long ago the store last proved its revision, and
//! a subscriber that finds all proofs too old watches the store itself.
//!
//! Revisions of the store only rise, so news from two sources never go backwards:
//! what is older than what is known is left out.
//!
//! A subscriber names the services whose engines it needs ([`ServiceFilter`]), and is told what
//! changed of them since the revision that it has.
//!
//! No socket, clock or random number is used here.

mod encoding;
mod followed;
mod publisher;
mod service_filter;
mod subscriber;
mod timing;

pub use publisher::{Publisher, PublisherReply};
pub use service_filter::ServiceFilter;
pub use subscriber::{Subscriber, SubscriberAction};
pub use timing::MirrorTiming;
