//! The gateway's core: requests of callers to engines and back, and the relay
//! of batch-job calls to the leader of the replica group.
//!
//! ```text
//!  CallerMessage --> route --> Forwarder --> engine --> whole answer --> caller
//!                      |
//!                      +-----> JobRelay ---> leader --> reply --------> caller
//! ```
//!
//! Each request ends in exactly one way, at once when nothing more can be done
//! for it: the engine's whole answer, a refusal that is true, or a time-out.

mod deferred_end_calls;
mod gateway;
mod relay;

pub use gateway::{Gateway, GatewayAction, GatewaySettings};
pub use relay::{JobRelay, RelaySettings};
