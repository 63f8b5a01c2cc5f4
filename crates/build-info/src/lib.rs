//! Which sources a program was built from.

use std::sync::OnceLock;

/// Version number of the workspace.
pub const VERSION: &str = env!("CARGO_PKG_VERSION");

/// Commit that was checked out when the program was built; `unknown` if the sources were no git
/// work tree. Uncommitted changes do not show.
pub const REVISION: &str = match option_env!("VERGEN_GIT_SHA") {
    Some(sha) => sha,
    None => "unknown",
};

/// First 16 hex digits of a digest of the sources, tests apart. Unlike [`REVISION`], it also
/// identifies sources from an archive and uncommitted changes.
pub const SOURCES: &str = env!("PEATGRADE_SOURCES");

/// All of them, for `--version`.
pub fn long_version() -> &'static str {
    static TEXT: OnceLock<String> = OnceLock::new();
    TEXT.get_or_init(|| format!("{VERSION} (revision {REVISION}, sources {SOURCES})"))
}
