//! The store on disk, and the one in memory beside it.

use bytes::Bytes;
use peatgrade_storage::{
    BlobStore, DiskReply, DiskRequest, DiskStore, MemoryStore, StorageError, MAX_LIST_KEYS,
};
use rstest::rstest;
use std::io::{Read, Seek, SeekFrom, Write};
use std::path::PathBuf;

struct Folder(PathBuf);

impl Folder {
    fn new(name: &str) -> Self {
        let path =
            std::env::temp_dir().join(format!("peatgrade-store-{name}-{}", std::process::id()));
        let _ = std::fs::remove_dir_all(&path);
        Self(path)
    }
}

impl Drop for Folder {
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
        other => panic!("{other:?}"),
    }
}

fn stores(folder: &Folder, limit: u64) -> Vec<Box<dyn BlobStore>> {
    let disk = DiskStore::open(&folder.0, limit).unwrap();
    vec![Box::new(disk), Box::new(MemoryStore::new(limit))]
}

#[test]
fn what_was_stored_is_there_after_a_restart() {
    let folder = Folder::new("restart");
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
fn a_full_store_refuses_clearly_and_goes_on_serving() {
    let folder = Folder::new("full");
    for mut store in stores(&folder, 10) {
        assert_eq!(put(store.as_mut(), "a", b"12345678"), DiskReply::Stored);
        let refused = put(store.as_mut(), "b", b"123");
        let full = matches!(&refused, DiskReply::Refused(StorageError::Full { key, used: 8, limit: 10 }) if key == "b");
        assert!(full, "{refused:?}");
        assert_eq!(get(store.as_mut(), "a").map(|value| value.len()), Some(8));
        store.serve(DiskRequest::Delete {
            keys: vec!["a".into()],
        });
        assert_eq!(put(store.as_mut(), "b", b"123"), DiskReply::Stored);
    }
}

#[test]
fn lists_come_in_pages_and_in_order() {
    let folder = Folder::new("pages");
    for mut store in stores(&folder, 1 << 20) {
        let count = MAX_LIST_KEYS + 3;
        for number in 0..count {
            put(store.as_mut(), &format!("p/{number:05}"), b"x");
        }
        put(store.as_mut(), "q/other", b"x");
        let mut seen = Vec::new();
        let mut after = String::new();
        loop {
            let request = DiskRequest::List {
                prefix: "p/".into(),
                after: after.clone(),
            };
            let DiskReply::Keys { keys, last } = store.serve(request) else {
                panic!("no keys");
            };
            seen.extend(keys);
            if last {
                break;
            }
            after = seen.last().cloned().unwrap();
        }
        assert_eq!(seen.len(), count);
        assert!(seen.windows(2).all(|pair| pair[0] < pair[1]));
    }
}

/// Overwrites every occurrence of `from` in the database file.
fn damage(folder: &Folder, from: &[u8], to: &[u8]) -> usize {
    let path = folder.0.join("blobs.redb");
    let mut file = std::fs::OpenOptions::new()
        .read(true)
        .write(true)
        .open(path)
        .unwrap();
    let mut content = Vec::new();
    file.read_to_end(&mut content).unwrap();
    let places: Vec<usize> = content
        .windows(from.len())
        .enumerate()
        .filter(|(_, w)| *w == from)
        .map(|(at, _)| at)
        .collect();
    for place in &places {
        file.seek(SeekFrom::Start(*place as u64)).unwrap();
        file.write_all(to).unwrap();
    }
    places.len()
}

#[rstest]
fn a_value_damaged_on_disk_is_reported_as_missing() {
    let folder = Folder::new("damage");
    let mut store = DiskStore::open(&folder.0, 1 << 20).unwrap();
    put(&mut store, "a", b"the value that will be damaged");
    put(&mut store, "b", b"another one that stays as it is");
    drop(store);
    assert!(damage(&folder, b"will be damaged", b"WILL BE DAMAGED") > 0);
    let mut store = DiskStore::open(&folder.0, 1 << 20).unwrap();
    assert_eq!(get(&mut store, "a"), None);
    assert!(get(&mut store, "b").is_some());
}
