//! Tests of tenant lookup, validation and redaction of keys.

use peatgrade_authentication::{ApiKey, AuthError, KeyDigest, Tenant, Tenants, TenantsError};
use rstest::rstest;

fn digest(key: &str) -> KeyDigest {
    ApiKey::new(key.into()).digest()
}

fn tenant(name: &str, keys: &[&str], priority: Option<u32>) -> Tenant {
    Tenant {
        name: name.into(),
        keys: keys.iter().map(|key| digest(key)).collect(),
        priority,
    }
}

#[test]
fn a_key_authenticates_its_tenant() {
    let tenants = Tenants::new(vec![
        tenant("leeds", &["key-a", "key-b"], None),
        tenant("derby", &["key-c"], Some(3)),
    ])
    .unwrap();
    let name = |key: &str| {
        let found = tenants.authenticate(Some(digest(key)));
        found.map(|tenant| tenant.name.clone())
    };
    assert_eq!(name("key-b").as_deref(), Ok("leeds"));
    assert_eq!(name("key-c").as_deref(), Ok("derby"));
    assert_eq!(name("key-d"), Err(AuthError::UnknownKey));
    assert_eq!(name(""), Err(AuthError::UnknownKey));
    assert_eq!(tenants.authenticate(None), Err(AuthError::MissingKey));
}

#[rstest]
#[case("derby", 3)]
#[case("leeds", 7)]
#[case("unknown", 7)]
fn a_tenants_priority_overrides_that_of_the_route(#[case] name: &str, #[case] priority: u32) {
    let tenants = vec![tenant("leeds", &[], None), tenant("derby", &[], Some(3))];
    let tenants = Tenants::new(tenants).unwrap();
    assert_eq!(tenants.priority_of(name, 7), priority);
}

#[test]
fn ambiguous_tenants_are_rejected_with_the_field_name() {
    let error = |tenants| Tenants::new(tenants).unwrap_err().to_string();
    let leeds = || tenant("leeds", &["key-a"], None);
    assert_eq!(
        error(vec![leeds(), tenant("", &[], None)]),
        "tenants[1].name: must not be empty"
    );
    assert_eq!(
        error(vec![leeds(), tenant("leeds", &[], None)]),
        "tenants[1].name: duplicate tenant name `leeds`"
    );
    let same_key = vec![leeds(), tenant("derby", &["key-b", "key-a"], None)];
    let expected = TenantsError::DuplicateKey {
        position: 1,
        key: 1,
    };
    assert_eq!(Tenants::new(same_key).unwrap_err(), expected);
}

#[test]
fn a_tenant_may_list_a_key_twice() {
    assert!(Tenants::new(vec![tenant("leeds", &["key-a", "key-a"], None)]).is_ok());
}

#[test]
fn debug_output_redacts_keys_and_digests() {
    let key = ApiKey::new("a-secret-key".into());
    let tenants = Tenants::new(vec![tenant("leeds", &["a-secret-key"], None)]).unwrap();
    let output = format!("{key:?} {:?} {tenants:?}", key.digest());
    assert!(!output.contains("secret"));
    let bytes = key.digest().to_bytes();
    let hex: String = bytes.iter().map(|byte| format!("{byte:02x}")).collect();
    assert!(!output.contains(&hex));
    assert!(!output.contains(&format!("{bytes:?}")));
}

#[test]
fn a_digest_round_trips_through_bytes() {
    let expected = digest("key-a");
    assert_eq!(KeyDigest::from_bytes(&expected.to_bytes()), Some(expected));
    assert_eq!(KeyDigest::from_bytes(&[0; 3]), None);
}
