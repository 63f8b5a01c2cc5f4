//! Experiments on nodes: load, faults, measurements and their reports.
//!
//! ```text
//!  embedded   nodes, platform and clients in one process, a thread each
//!  clients    Workload and trainers over HTTP, judged by the oracle
//!  fuzz       simulated runs with drawn faults, shrunk when they fail
//!  report     figures as JSON and as a page with plots
//! ```

pub mod baselines;
pub mod clients;
pub mod compare;
pub mod embedded;
pub mod fuzz;
pub mod mutants;
pub mod overhead;
pub mod page;
pub mod plot;
pub mod ports;
pub mod processor_time;
pub mod report;

pub use clients::{ClientPlan, ClientReport};
pub use embedded::Embedded;
