//! Network I/O: HTTP client and server, messages between processes, logging and clocks.
//!
//! ```text
//!  serve:      one task per connection --Incoming--> state owner
//!  HttpClient: one task per request    --(id, part)--> state owner
//!  PeerSocket: UDP for small messages, framed TCP for large ones
//! ```
//!
//! What callers make the process hold counts against a [`MemoryBudget`], connections against a
//! [`ConnectionLimit`]. HTTP heads are parsed by `httparse`; bodies of requests and responses share
//! one decoder.
//!
//! Each task owns its socket and communicates with the state owner over channels only.
//! The event loop is monoio on its epoll driver, named explicitly: monoio can also be built with
//! an io_uring driver, which must not be used.
//! [`event_loop::open_io_uring_instances`] counts open instances.

mod body_decoder;
pub mod boot_clock;
mod connection_limit;
mod connection_pool;
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
mod read_state;
mod receive_budget;
mod request_head;
mod request_reader;
mod request_writer;
mod responder;
mod response_reader;
mod response_writer;
mod send_options;
mod server_limits;
pub mod server_shutdown;

pub use boot_clock::{suspended_time, BootInstant};
pub use connection_limit::{ConnectionLimit, ConnectionStats};
pub use event_loop::{block_on, now, open_io_uring_instances};
pub use http_client::{ConnectedRequest, HttpClient};
pub use http_server::{serve, serve_with_control, Incoming};
pub use link_socket::{Delivery, LinkSocket};
pub use memory_budget::{BudgetStats, MemoryBudget};
pub use peer_socket::PeerSocket;
pub use receive_budget::ReceivedMessage;
pub use request_reader::CONNECTION_BYTES;
pub use responder::{CallerDisconnected, Responder};
pub use send_options::{SendOptions, DEFAULT_MAX_BODY_BYTES};
pub use server_limits::{ServerControl, ServerLimits};
pub use server_shutdown::ServerShutdown;
