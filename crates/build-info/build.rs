//! Sets `PEATGRADE_SOURCES`, and `VERGEN_GIT_SHA` if a commit is checked out, for the crate.

#[path = "src/sources.rs"]
mod sources;

use std::error::Error;
use std::path::{Path, PathBuf};
use vergen_gitcl::{Emitter, GitclBuilder};

fn main() -> Result<(), Box<dyn Error>> {
    let package = PathBuf::from(std::env::var("CARGO_MANIFEST_DIR")?);
    let workspace = package.ancestors().nth(2).ok_or("no workspace")?;
    let files = sources::source_files(workspace)?;
    let digest = sources::digest(workspace, &files)?;
    println!("cargo:rustc-env=PEATGRADE_SOURCES={digest}");
    for file in &files {
        println!("cargo:rerun-if-changed={}", file.display());
    }
    if sources::is_work_tree(workspace) {
        if let Err(error) = set_revision(workspace) {
            println!("cargo:warning=the revision is unknown: {error}");
        }
    }
    Ok(())
}

fn set_revision(workspace: &Path) -> Result<(), Box<dyn Error>> {
    let mut git = GitclBuilder::default().sha(false).build()?;
    git.at_path(workspace.to_path_buf());
    let mut emitter = Emitter::default();
    emitter.fail_on_error();
    emitter.add_instructions(&git)?.emit()?;
    Ok(())
}
