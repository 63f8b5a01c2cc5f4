//! From the documents operators write to what every node has in force.
//!
//! ```text
//!  TOML files --peatgradectl--> object API --reader--> expand, validate
//!       status per object (accepted, or field and reason) <---+
//!                                                            v
//!  Snapshot (numbered) --push, repair--> every node --> Catalog of tenants
//! ```

mod catalog;
mod document;
mod expand;
mod machines;
mod reconcile;
mod settings;
mod snapshot;

pub use catalog::{Catalog, TenantEntry};
pub use document::{parse_document, Document, ObjectKey};
pub use expand::{expand, validate_template, FieldError};
pub use machines::{Machine, MachineKind};
pub use reconcile::{reconcile, ObjectStatus, RawObject, Reconciled};
pub use settings::{load_settings, parse_seed, validate_settings, SettingsError};
pub use snapshot::Snapshot;
