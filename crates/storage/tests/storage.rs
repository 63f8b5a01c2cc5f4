//! Tests of the disk store and the in-memory store.

use bytes::Bytes;
use peatgrade_storage::{
    BlobStore, DiskReply, DiskRequest, DiskStore, MemoryStore, StorageError, MAX_LIST_KEYS,
};
use rstest::rstest;
use std::io::{Read, Seek, SeekFrom, Write};
use std::path::PathBuf;

struct TempFolder(PathBuf);

impl TempFolder {
    fn new(name: &str) -> Self {
        let path =
            std::env::temp_dir().join(format!("peatgrade-store-{name}-{}", std::process::id()));
        let _ = std::fs::remove_dir_all(&path);
        Self(path)
    }
}

impl Drop for TempFolder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn put(store: &mut dyn BlobStore, key: &str, value: &[u8]) -> DiskReply {
    let value = Bytes::copy_from_slice(value);
    store.serve(DiskRequest::Put {
        key: key.into(),
        value,
    })
}

fn get(store: &mut dyn BlobStore, key: &str) -> Option<Bytes> {
    match store.serve(DiskRequest::Get { key: key.into() }) {
        DiskReply::Value(value) => value,
        other => panic!("expected a value, got {other:?}"),
    }
}

fn open_stores(folder: &TempFolder, limit: u64) -> Vec<Box<dyn BlobStore>> {
    let disk = DiskStore::open(&folder.0, limit).unwrap();
    vec![Box::new(disk), Box::new(MemoryStore::new(limit))]
}

#[test]
fn stored_blob_survives_reopening_the_store() {
    let folder = TempFolder::new("restart");
    let mut store = DiskStore::open(&folder.0, 1 << 20).unwrap();
    assert_eq!(put(&mut store, "sample/a", b"content"), DiskReply::Stored);
    drop(store);
    let mut store = DiskStore::open(&folder.0, 1 << 20).unwrap();
    assert_eq!(
        get(&mut store, "sample/a").as_deref(),
        Some(b"content".as_slice())
    );
    assert_eq!(store.used_bytes(), 7);
}

#[test]
fn full_store_rejects_puts_but_serves_reads_and_deletes() {
    let folder = TempFolder::new("full");
    for mut store in open_stores(&folder, 10) {
        assert_eq!(put(store.as_mut(), "a", b"12345678"), DiskReply::Stored);
        let reply = put(store.as_mut(), "b", b"123");
        let is_full_error = matches!(&reply, DiskReply::Refused(StorageError::Full { key, used: 8, limit: 10 }) if key == "b");
        assert!(is_full_error, "{reply:?}");
        assert_eq!(get(store.as_mut(), "a").map(|value| value.len()), Some(8));
        store.serve(DiskRequest::Delete {
            keys: vec!["a".into()],
        });
        assert_eq!(put(store.as_mut(), "b", b"123"), DiskReply::Stored);
    }
}

#[test]
fn list_returns_all_keys_in_order_across_pages() {
    let folder = TempFolder::new("pages");
    for mut store in open_stores(&folder, 1 << 20) {
        let count = MAX_LIST_KEYS + 3;
        for number in 0..count {
            put(store.as_mut(), &format!("p/{number:05}"), b"x");
        }
        put(store.as_mut(), "q/other", b"x");
        let mut listed_keys = Vec::new();
        let mut after = String::new();
        loop {
            let request = DiskRequest::List {
                prefix: "p/".into(),
                after: after.clone(),
            };
            let DiskReply::Keys { keys, last } = store.serve(request) else {
                panic!("expected a page of keys");
            };
            listed_keys.extend(keys);
            if last {
                break;
            }
            after = listed_keys.last().cloned().unwrap();
        }
        assert_eq!(listed_keys.len(), count);
        assert!(listed_keys.windows(2).all(|pair| pair[0] < pair[1]));
    }
}

/// Replaces every occurrence of `from` in the database file by `to`, which has the same
/// length, and returns the number of occurrences.
fn overwrite_in_database(folder: &TempFolder, from: &[u8], to: &[u8]) -> usize {
    let path = folder.0.join("blobs.redb");
    let mut file = std::fs::OpenOptions::new()
        .read(true)
        .write(true)
        .open(path)
        .unwrap();
    let mut content = Vec::new();
    file.read_to_end(&mut content).unwrap();
    let offsets: Vec<usize> = content
        .windows(from.len())
        .enumerate()
        .filter(|(_, window)| *window == from)
        .map(|(offset, _)| offset)
        .collect();
    for offset in &offsets {
        file.seek(SeekFrom::Start(*offset as u64)).unwrap();
        file.write_all(to).unwrap();
    }
    offsets.len()
}

#[rstest]
fn corrupted_value_is_reported_as_missing() {
    let folder = TempFolder::new("damage");
    let mut store = DiskStore::open(&folder.0, 1 << 20).unwrap();
    put(&mut store, "a", b"the value that will be damaged");
    put(&mut store, "b", b"another one that stays as it is");
    drop(store);
    assert!(overwrite_in_database(&folder, b"will be damaged", b"WILL BE DAMAGED") > 0);
    let mut store = DiskStore::open(&folder.0, 1 << 20).unwrap();
    assert_eq!(get(&mut store, "a"), None);
    assert!(get(&mut store, "b").is_some());
}
