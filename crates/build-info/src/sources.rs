//! Finds and identifies the workspace's sources, for the build script.

use std::io;
use std::path::{Path, PathBuf};
use walkdir::WalkDir;

/// Files and folders from which programs are built, relative to the workspace.
const ROOTS: [&str; 4] = ["Cargo.toml", "Cargo.lock", "crates", "platform"];
const TESTS: &str = "tests";

/// Returns the files from which programs are built, in order of their paths. Tests are left out.
pub fn source_files(workspace: &Path) -> io::Result<Vec<PathBuf>> {
    let mut files = Vec::new();
    for root in ROOTS {
        let entries = WalkDir::new(workspace.join(root)).into_iter();
        for entry in entries.filter_entry(|entry| entry.file_name() != TESTS) {
            let entry = entry?;
            if entry.file_type().is_file() {
                files.push(entry.into_path());
            }
        }
    }
    files.sort();
    Ok(files)
}

/// Returns the first 16 hex digits of a digest of the files' paths and contents.
pub fn digest(workspace: &Path, files: &[PathBuf]) -> io::Result<String> {
    let mut hasher = blake3::Hasher::new();
    let mut add = |bytes: &[u8]| {
        hasher.update(&(bytes.len() as u64).to_le_bytes());
        hasher.update(bytes);
    };
    for file in files {
        let path = file.strip_prefix(workspace).unwrap_or(file);
        add(path.to_string_lossy().as_bytes());
        add(&std::fs::read(file)?);
    }
    Ok(hasher.finalize().to_hex()[..16].to_string())
}

/// Whether the workspace is the root of a git work tree. Sources in a folder of another repository
/// would pass for a commit of that one.
pub fn is_work_tree(workspace: &Path) -> bool {
    workspace.join(".git").exists()
}
