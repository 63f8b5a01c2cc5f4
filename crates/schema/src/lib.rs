//! Messages between nodes and the documents operators write.
//!
//! ```text
//! proto/peer.proto     --pb-rs-->   generated/peer.rs       peer messages, register values
//! proto/replication.proto --pb-rs--> generated/replication.rs  replica groups, batch jobs
//! json/documents.json  --typify-->  generated/documents.rs  templates, tenants
//! json/engine.json     --typify-->  generated/engine.rs     bodies towards engines, callers, trainers
//! json/settings.json   --typify-->  generated/settings.rs   node settings
//! ```
//!
//! The generated files are committed, so the build needs no generator. The
//! test `generated` writes them again and fails when they differ;
//! `UPDATE_GENERATED=1 cargo test -p peatgrade-schema` replaces them.

#[allow(
    missing_docs,
    clippy::all,
    unused_imports,
    non_snake_case,
    non_camel_case_types,
    bare_trait_objects
)]
#[rustfmt::skip]
#[path = "generated/peer.rs"]
pub mod peer;

#[allow(
    missing_docs,
    clippy::all,
    unused_imports,
    non_snake_case,
    non_camel_case_types,
    bare_trait_objects
)]
#[rustfmt::skip]
#[path = "generated/replication.rs"]
pub mod replication;

#[allow(clippy::all)]
#[rustfmt::skip]
#[path = "generated/documents.rs"]
pub mod documents;

#[allow(clippy::all)]
#[rustfmt::skip]
#[path = "generated/engine.rs"]
pub mod engine;

#[allow(clippy::all)]
#[rustfmt::skip]
#[path = "generated/settings.rs"]
pub mod settings;

use quick_protobuf::{BytesReader, MessageRead, MessageWrite, Writer};

/// Encodes a message without a length prefix.
pub fn encode<M: MessageWrite>(message: &M) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(message.get_size());
    let mut writer = Writer::new(&mut bytes);
    message
        .write_message(&mut writer)
        .expect("writing to memory cannot fail");
    bytes
}

/// Bytes that a message takes when it is encoded.
pub fn encoded_size<M: MessageWrite>(message: &M) -> usize {
    message.get_size()
}

/// Decodes a message that fills `bytes` exactly.
pub fn decode<'a, M: MessageRead<'a>>(bytes: &'a [u8]) -> Result<M, quick_protobuf::Error> {
    let mut reader = BytesReader::from_bytes(bytes);
    M::from_reader(&mut reader, bytes)
}
