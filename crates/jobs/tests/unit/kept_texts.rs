//! What is kept for later jobs stays within its bounds.

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
fn a_text_is_taken_once_and_for_the_same_body_only() {
    let mut kept = TextCache::default();
    kept.insert(START, item("a"), BODY.to_vec(), text(10));
    kept.insert(START, item("b"), BODY.to_vec(), text(20));
    assert_eq!(kept.take(&item("a"), BODY), Some(text(10)));
    assert_eq!(kept.take(&item("a"), BODY), None);
    assert_eq!(kept.take(&item("b"), b"other"), None);
    assert_eq!(kept.bytes(), 0);
}

#[test]
fn texts_give_way_by_bytes_the_oldest_first() {
    let mut kept = TextCache::default();
    let length = MAX_CACHED_BYTES / 10;
    for number in 0..50 {
        let at = START + Duration::from_secs(number);
        kept.insert(
            at,
            item(&format!("item-{number}")),
            BODY.to_vec(),
            text(length),
        );
        assert!(kept.bytes() <= MAX_CACHED_BYTES);
    }
    assert!(kept.bytes() > MAX_CACHED_BYTES / 2);
    assert!(kept.take(&item("item-49"), BODY).is_some());
    assert!(kept.take(&item("item-0"), BODY).is_none());
}

#[test]
fn one_item_kept_again_and_again_takes_the_room_of_one() {
    let mut kept = TextCache::default();
    for second in 0..1_000 {
        let at = START + Duration::from_millis(second);
        kept.insert(at, item("item"), BODY.to_vec(), text(MAX_CACHED_BYTES / 4));
    }
    assert!(kept.bytes() <= MAX_CACHED_BYTES / 2);
    assert!(kept.take(&item("item"), BODY).is_some());
}

#[test]
fn texts_are_dropped_when_they_are_old() {
    let mut kept = TextCache::default();
    kept.insert(START, item("old"), BODY.to_vec(), text(10));
    let later = START + Duration::from_secs(1);
    kept.insert(later, item("new"), BODY.to_vec(), text(10));
    kept.evict_expired(START + TEXT_TTL);
    assert_eq!(kept.take(&item("old"), BODY), None);
    assert!(kept.take(&item("new"), BODY).is_some());
}

/// An item's id is the caller's choice, so another tenant may choose the same.
#[test]
fn a_tenant_gets_no_text_of_anothers() {
    let mut kept = TextCache::default();
    let of = |tenant: &str| TextCacheKey {
        tenant: tenant.into(),
        id: "a".into(),
    };
    kept.insert(START, of("leeds"), BODY.to_vec(), text(10));
    assert_eq!(kept.take(&of("derby"), BODY), None);
    assert_eq!(kept.take(&of("leeds"), BODY), Some(text(10)));
}
