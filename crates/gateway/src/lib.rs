//! The state machine of a gateway: forwards callers' requests to engines, and relays
//! batch-job calls to the leader of the replica group.
//!
//! ```text
//!  CallerMessage --> route --> Forwarder --> engine --> response --> caller
//!                      |
//!                      +-----> JobRelay ---> leader --> reply --------> caller
//! ```
//!
//! Each request ends in exactly one of these ways, as soon as its outcome is decided: the
//! engine's complete response, a refusal, or a timeout. A refusal as not run is sent only if
//! the request has certainly not run.

mod deferred_end_calls;
mod gateway;
mod memory;
mod relay;

pub use gateway::{Gateway, GatewayAction, GatewaySettings};
pub use relay::{JobRelay, RelaySettings};
