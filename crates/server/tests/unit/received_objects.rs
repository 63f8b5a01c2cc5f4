use super::*;

fn version(number: u64) -> StoreObject {
    StoreObject::Version {
        model: "m".into(),
        version: number,
    }
}

fn unreadable(name: &str) -> (String, StoreObject) {
    let object = StoreObject::Unreadable {
        name: name.into(),
        revision: None,
        reason: "test".into(),
    };
    (name.into(), object)
}

#[test]
fn object_that_is_received_again_replaces_the_earlier_state() {
    let mut received = ReceivedObjects::default();
    assert!(received.add(vec![("a".into(), version(1)), ("b".into(), version(1))]));
    assert!(!received.add(vec![("a".into(), version(2))]));
    assert_eq!(
        received.take(),
        [("a".into(), version(2)), ("b".into(), version(1))]
    );
}

#[test]
fn objects_without_a_name_do_not_count_as_new() {
    let mut received = ReceivedObjects::default();
    assert!(!received.add(vec![unreadable("")]));
    assert_eq!(received.objects().len(), 1);
}

/// Guards against unbounded memory for entries of other writers.
#[test]
fn kept_unreadable_objects_are_bounded() {
    let mut received = ReceivedObjects::default();
    for number in 0..2 * MAX_UNREADABLE {
        assert!(received.add(vec![unreadable(&number.to_string())]));
        received.add(vec![unreadable("")]);
    }
    assert!(received.add(vec![("a".into(), version(1))]));
    assert_eq!(received.objects().len(), MAX_UNREADABLE + 1);
    assert_eq!(received.len(), 2 * MAX_UNREADABLE + 1);
}
