//! Guards against programs of different sources that look alike: the digest has to tell any two
//! states of the sources apart, wherever they lie.

#[path = "../src/sources.rs"]
mod sources;

use rstest::rstest;
use std::fs;
use std::path::{Path, PathBuf};

/// A workspace of one crate in a folder of its own, which is removed at the end.
struct Workspace(PathBuf);

impl Workspace {
    fn new(name: &str) -> Self {
        let folder = std::env::temp_dir().join(format!("peatgrade-{name}-{}", std::process::id()));
        let workspace = Self(folder);
        workspace.write("Cargo.toml", "[workspace]");
        workspace.write("Cargo.lock", "");
        workspace.write("crates/a/src/lib.rs", "pub fn a() {}");
        workspace.write("crates/a/tests/it.rs", "#[test] fn it() {}");
        workspace.write("platform/src/main.rs", "fn main() {}");
        workspace.write("docs/page.md", "text");
        workspace
    }

    fn write(&self, path: &str, text: &str) {
        let path = self.0.join(path);
        fs::create_dir_all(path.parent().unwrap()).unwrap();
        fs::write(path, text).unwrap();
    }

    fn digest(&self) -> String {
        let files = sources::source_files(&self.0).unwrap();
        sources::digest(&self.0, &files).unwrap()
    }
}

impl Drop for Workspace {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

#[rstest]
#[case::changed_source("crates/a/src/lib.rs", "pub fn b() {}", true)]
#[case::new_file("crates/a/src/other.rs", "", true)]
#[case::changed_dependencies("Cargo.lock", "version = 4", true)]
#[case::changed_program("platform/src/main.rs", "fn main() { }", true)]
#[case::changed_test("crates/a/tests/it.rs", "", false)]
#[case::changed_page("docs/page.md", "", false)]
fn the_digest_tells_states_of_the_sources_apart(
    #[case] path: &str,
    #[case] text: &str,
    #[case] differs: bool,
) {
    let name = format!("digest-{}", path.replace('/', "-"));
    let workspace = Workspace::new(&name);
    let before = workspace.digest();
    assert_eq!(workspace.digest(), before);
    workspace.write(path, text);
    assert_eq!(workspace.digest() != before, differs);
}

#[test]
fn the_digest_does_not_depend_on_the_folder() {
    let one = Workspace::new("digest-one");
    let other = Workspace::new("digest-other");
    assert_eq!(one.digest(), other.digest());
}

/// Content that moves from one file to another is another state.
#[test]
fn the_digest_tells_files_apart() {
    let workspace = Workspace::new("digest-moved");
    let before = workspace.digest();
    workspace.write("crates/a/src/lib.rs", "fn main() {}");
    workspace.write("platform/src/main.rs", "pub fn a() {}");
    assert_ne!(workspace.digest(), before);
}

/// Guards against naming the commit of a repository in which the sources merely lie, as those of an
/// archive in a build folder do.
#[test]
fn sources_within_another_work_tree_have_no_revision() {
    let workspace = Workspace::new("digest-tree");
    workspace.write(".git/HEAD", "ref: refs/heads/main");
    assert!(sources::is_work_tree(&workspace.0));
    let inner: &Path = &workspace.0.join("crates");
    assert!(!sources::is_work_tree(inner));
}
