//! Wiring of the programs; all logic lives in the other crates.

pub mod bench;
pub mod ctl;
pub mod dev;
pub mod emulate;
pub mod fetch;
pub mod length;
pub mod node;
pub mod plan;
pub mod signals;
pub mod status_view;
