//! Retention, limits and tenant isolation of the text cache.

use super::{TextCache, TextCacheKey, MAX_CACHED_BYTES, TEXT_TTL};
use crate::text::{PartialText, TextEvent};
use bytes::Bytes;
use peatgrade_types::{Duration, Time};

const START: Time = Time(1_000_000);
const BODY: &[u8] = b"body";

fn item(id: &str) -> TextCacheKey {
    TextCacheKey {
        tenant: String::new(),
        id: id.into(),
    }
}

fn text(length: usize) -> PartialText {
    let data = Bytes::from(vec![b'x'; length]);
    PartialText {
        events: vec![TextEvent { version: 1, data }],
        last_event: Some(1),
        complete: false,
    }
}

#[test]
fn text_is_taken_once_and_for_the_same_body_only() {
    let mut cache = TextCache::default();
    cache.insert(START, item("a"), BODY.to_vec(), text(10));
    cache.insert(START, item("b"), BODY.to_vec(), text(20));
    assert_eq!(cache.take(&item("a"), BODY), Some(text(10)));
    assert_eq!(cache.take(&item("a"), BODY), None);
    assert_eq!(cache.take(&item("b"), b"other"), None);
    assert_eq!(cache.bytes(), 0);
}

#[test]
fn oldest_texts_are_evicted_at_the_byte_limit() {
    let mut cache = TextCache::default();
    let length = MAX_CACHED_BYTES / 10;
    for number in 0..50 {
        let at = START + Duration::from_secs(number);
        cache.insert(
            at,
            item(&format!("item-{number}")),
            BODY.to_vec(),
            text(length),
        );
        assert!(cache.bytes() <= MAX_CACHED_BYTES);
    }
    assert!(cache.bytes() > MAX_CACHED_BYTES / 2);
    assert!(cache.take(&item("item-49"), BODY).is_some());
    assert!(cache.take(&item("item-0"), BODY).is_none());
}

#[test]
fn repeated_inserts_of_one_item_use_the_memory_of_one() {
    let mut cache = TextCache::default();
    for second in 0..1_000 {
        let at = START + Duration::from_millis(second);
        cache.insert(at, item("item"), BODY.to_vec(), text(MAX_CACHED_BYTES / 4));
    }
    assert!(cache.bytes() <= MAX_CACHED_BYTES / 2);
    assert!(cache.take(&item("item"), BODY).is_some());
}

#[test]
fn expired_texts_are_evicted() {
    let mut cache = TextCache::default();
    cache.insert(START, item("old"), BODY.to_vec(), text(10));
    let later = START + Duration::from_secs(1);
    cache.insert(later, item("new"), BODY.to_vec(), text(10));
    cache.evict_expired(START + TEXT_TTL);
    assert_eq!(cache.take(&item("old"), BODY), None);
    assert!(cache.take(&item("new"), BODY).is_some());
}

/// Callers choose item ids, so two tenants may use the same id.
#[test]
fn texts_are_not_shared_between_tenants() {
    let mut cache = TextCache::default();
    let of = |tenant: &str| TextCacheKey {
        tenant: tenant.into(),
        id: "a".into(),
    };
    cache.insert(START, of("leeds"), BODY.to_vec(), text(10));
    assert_eq!(cache.take(&of("derby"), BODY), None);
    assert_eq!(cache.take(&of("leeds"), BODY), Some(text(10)));
}
