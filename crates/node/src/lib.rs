//! The server process.
//!
//! ```text
//!  http_server --Incoming--+
//!  peer_socket --message---+--> main task: NodeCore --actions--> sockets, disk
//!  http_client --part------+
//!  disk thread --reply-----+
//!  timer, stop ------------+
//! ```
//!
//! One thread runs one node. The main task owns the core; every other task
//! owns a socket and talks to it by channels.

mod disk_thread;
mod driver;

pub use driver::{run, NodeError};
