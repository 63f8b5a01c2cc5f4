//! Mirrors the object store: a few machines watch it, and all others receive its contents
//! from them.
//!
//! ```text
//!  object store --watch--> Publisher (each member of the replica group)
//!                              |  MirrorReply: changes, revision, age of its confirmation
//!                              v
//!                          Subscriber (each gateway) --StoreUpdate--> routing state
//!                              |
//!                              +--all publishers silent or stale--> watch the store directly
//! ```
//!
//! This keeps the number of store calls independent of the number of gateways. A publisher
//! whose watch has failed silently must not be trusted, so each reply states how long ago the
//! store last confirmed its revision. A subscriber to which all publishers are stale watches
//! the store directly.
//!
//! Store revisions increase monotonically. A subscriber ignores updates with a revision older
//! than its own, so updates from several sources never take it back.
//!
//! A subscriber restricts the engines it receives to the services it needs
//! ([`ServiceFilter`]), and receives the changes since its own revision.
//!
//! The crate does no I/O and uses no clock or random numbers: callers pass in time and
//! messages.

mod encoding;
mod publisher;
mod service_filter;
mod subscriber;
mod timing;
mod watch_cache;

pub use publisher::{Publisher, PublisherReply};
pub use service_filter::ServiceFilter;
pub use subscriber::{Subscriber, SubscriberAction};
pub use timing::MirrorTiming;
