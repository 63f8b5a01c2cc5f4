//! The committed generated code matches the schemas.

use std::{fs, path::Path, path::PathBuf};

fn root() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR"))
}

fn check(relative: &str, fresh: String) {
    let path = root().join("src/generated").join(relative);
    if std::env::var_os("UPDATE_GENERATED").is_some() {
        fs::write(&path, fresh).unwrap();
        return;
    }
    let committed = fs::read_to_string(&path).unwrap();
    assert!(
        committed == fresh,
        "{relative} differs from its schema; run with UPDATE_GENERATED=1"
    );
}

fn typify(schema: &Path) -> String {
    let text = fs::read_to_string(schema).unwrap();
    let schema: schemars08::schema::RootSchema = serde_json::from_str(&text).unwrap();
    let mut space = typify::TypeSpace::new(
        typify::TypeSpaceSettings::default().with_derive("PartialEq".to_string()),
    );
    space.add_root_schema(schema).unwrap();
    prettyplease::unparse(&syn::parse2(space.to_stream()).unwrap())
}

#[test]
fn json_schemas_match_generated_types() {
    for name in ["documents", "engine", "settings"] {
        let schema = root().join(format!("json/{name}.json"));
        check(&format!("{name}.rs"), typify(&schema));
    }
}

fn generated_messages(name: &str) -> String {
    let out = std::env::temp_dir().join(format!("peatgrade-pb-{name}-{}", std::process::id()));
    fs::create_dir_all(&out).unwrap();
    let proto = root().join(format!("proto/{name}.proto"));
    let config = pb_rs::ConfigBuilder::new(&[proto], None, Some(&out), &[root().join("proto")])
        .unwrap()
        .dont_use_cow(true)
        .headers(false)
        .single_module(true);
    pb_rs::types::FileDescriptor::run(&config.build()).unwrap();
    let written = fs::read_to_string(out.join(format!("{name}.rs"))).unwrap();
    fs::remove_dir_all(&out).unwrap();
    written
}

#[test]
fn messages_match_generated_code() {
    for name in ["peer", "replication"] {
        check(&format!("{name}.rs"), generated_messages(name));
    }
}
