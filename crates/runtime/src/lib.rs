//! What turns actions into bytes on sockets and back.
//!
//! ```text
//!  HttpServer: one task per connection --Incoming--> owner of the state
//!  HttpClient: one task per request    --(id, part)--> owner of the state
//!  PeerSocket: UDP for small messages, TCP frames for large ones
//! ```
//!
//! Bytes held for callers, who may send much or read slowly, count against one
//! [`MemoryBudget`].
//!
//! Each task owns its socket; tasks and the owner of the state talk by
//! channels only. The event loop is monoio on its epoll driver, named
//! explicitly: `monoio-http` enables monoio's io_uring feature through feature
//! unification, and this system must not open a ring. [`event_loop::open_io_uring_instances`]
//! checks that none is open.

pub mod boot_clock;
pub mod event_loop;
mod frames;
pub mod http_client;
pub mod http_server;
mod lingering_close;
pub mod link_socket;
pub mod log_writer;
pub mod logging;
pub mod memory_budget;
pub mod peer_socket;
mod request_reader;
mod request_writer;
mod responder;
mod response_reader;
mod response_writer;
mod server_limits;
pub mod server_shutdown;

pub use boot_clock::{suspended_time, BootInstant};
pub use event_loop::{block_on, now, open_io_uring_instances};
pub use http_client::{ConnectedRequest, HttpClient, SendOptions};
pub use http_server::{serve, serve_with_control, Incoming};
pub use link_socket::{Delivery, LinkSocket};
pub use memory_budget::{BudgetStats, MemoryBudget};
pub use peer_socket::PeerSocket;
pub use responder::{CallerDisconnected, Responder};
pub use server_limits::{ServerControl, ServerLimits};
pub use server_shutdown::ServerShutdown;
