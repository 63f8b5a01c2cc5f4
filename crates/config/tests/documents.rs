//! Templates, tenants, snapshots and settings.

use peatgrade_config::{
    expand, parse_document, reconcile, validate_settings, validate_template, Document, ObjectKey,
    ObjectStatus, RawObject, Snapshot,
};
use peatgrade_schema::documents::{Template, Tenant};
use peatgrade_schema::peer::Channel;
use rstest::rstest;
use serde_json::{json, Value};
use std::collections::BTreeMap;

fn template() -> Value {
    json!({
        "name": "model",
        "parameters": [
            { "name": "pool", "type": "string", "choices": ["a", "b"] },
            { "name": "staleness", "type": "integer", "default": 2, "minimum": 0, "maximum": 4 },
        ],
        "spec": { "pool": "${pool}", "kind": "model", "model": "m", "training": {
            "trainer": "t", "samples_per_step": 8, "staleness_bound": "${staleness}" } },
    })
}

fn tenant(parameters: Value) -> Value {
    json!({ "name": "x", "template": "model", "parameters": parameters })
}

fn expanded(parameters: Value) -> Result<u64, (String, String)> {
    let template: Template = serde_json::from_value(template()).unwrap();
    let tenant: Tenant = serde_json::from_value(tenant(parameters)).unwrap();
    let spec = expand(&template, &tenant).map_err(|error| (error.field, error.reason))?;
    Ok(spec.training.unwrap().staleness_bound)
}

#[test]
fn parameters_are_filled_in_with_their_types() {
    assert_eq!(expanded(json!({ "pool": "a" })), Ok(2));
    assert_eq!(expanded(json!({ "pool": "b", "staleness": 4 })), Ok(4));
}

#[rstest]
#[case(json!({}), "parameters.pool", "is required")]
#[case(json!({ "pool": "c" }), "parameters.pool", "must be one of a, b")]
#[case(json!({ "pool": "a", "staleness": 5 }), "parameters.staleness", "5 is above 4")]
#[case(json!({ "pool": "a", "staleness": "2" }), "parameters.staleness", "must be an integer, not \"2\"")]
#[case(json!({ "pool": "a", "stale": 1 }), "parameters.stale", "template model has no such parameter")]
fn a_bad_parameter_is_named_with_its_reason(
    #[case] given: Value,
    #[case] field: &str,
    #[case] reason: &str,
) {
    assert_eq!(
        expanded(given),
        Err((field.to_string(), reason.to_string()))
    );
}

#[rstest]
#[case("samples_per_step", json!(9), "spec.training.samples_per_step")]
#[case("group_size", json!(0), "spec.training")]
fn what_comes_out_of_a_template_is_checked(
    #[case] field: &str,
    #[case] value: Value,
    #[case] error_field: &str,
) {
    let mut body = template();
    body["spec"]["training"][field] = value;
    let template: Template = serde_json::from_value(body).unwrap();
    let tenant: Tenant = serde_json::from_value(tenant(json!({ "pool": "a" }))).unwrap();
    assert_eq!(expand(&template, &tenant).unwrap_err().field, error_field);
}

#[test]
fn a_template_that_uses_an_undeclared_parameter_is_refused() {
    let mut body = template();
    body["spec"]["model"] = json!("${missing}");
    let template: Template = serde_json::from_value(body).unwrap();
    assert!(validate_template(&template)
        .unwrap_err()
        .reason
        .contains("${missing}"));
}

#[test]
fn an_unknown_field_and_a_wrong_name_are_refused() {
    let key = ObjectKey::tenant("x");
    let mut body = tenant(json!({}));
    assert!(matches!(
        parse_document(&key, &body),
        Ok(Document::Tenant(_))
    ));
    body["colour"] = json!("red");
    assert_eq!(parse_document(&key, &body).unwrap_err().field, "colour");
    let wrong = parse_document(&ObjectKey::tenant("y"), &tenant(json!({})));
    assert_eq!(wrong.unwrap_err().field, "name");
}

fn object(key: &str, version: u64, body: Value, status: Option<ObjectStatus>) -> RawObject {
    RawObject {
        key: key.into(),
        resource_version: version,
        body,
        author: String::new(),
        status,
    }
}

#[test]
fn an_invalid_change_keeps_the_last_good_one_in_force() {
    let good = [
        object("template/model", 1, template(), None),
        object("tenant/x", 2, tenant(json!({ "pool": "a" })), None),
    ];
    let first = reconcile(good.iter());
    let status = first.statuses["tenant/x"].clone();
    assert!(status.accepted);
    let bad = [
        object("template/model", 1, template(), None),
        object("tenant/x", 3, tenant(json!({ "pool": "z" })), Some(status)),
    ];
    let second = reconcile(bad.iter());
    let refused = &second.statuses["tenant/x"];
    assert!(!refused.accepted);
    assert_eq!(refused.error.as_ref().unwrap().field, "parameters.pool");
    assert_eq!(second.documents["x"], first.documents["x"]);
}

fn documents(entries: &[(&str, &str)]) -> BTreeMap<String, Vec<u8>> {
    let owned = entries
        .iter()
        .map(|(name, body)| (name.to_string(), body.as_bytes().to_vec()));
    owned.collect()
}

#[test]
fn a_snapshot_never_goes_back() {
    let mut snapshot = Snapshot::default();
    assert!(snapshot.advance(5, documents(&[("a", "new")])));
    assert!(!snapshot.advance(5, documents(&[("a", "other")])));
    assert!(!snapshot.advance(4, documents(&[("a", "old")])));
    let mut old = Snapshot::default();
    old.advance(3, documents(&[("a", "old")]));
    assert!(!snapshot.apply(&old.changes_since(0, Channel::CONFIG)));
    assert_eq!(snapshot.document("a"), Some(b"new".as_slice()));
}

#[test]
fn changes_bring_a_copy_up_to_date_with_deletions() {
    let mut source = Snapshot::default();
    source.advance(1, documents(&[("a", "1"), ("b", "1")]));
    let mut copy = Snapshot::default();
    assert!(copy.apply(&source.changes_since(0, Channel::CONFIG)));
    source.advance(2, documents(&[("b", "2"), ("c", "2")]));
    let changes = source.changes_since(1, Channel::CONFIG);
    assert_eq!(changes.objects.len(), 3, "a is gone, b changed, c is new");
    assert!(copy.apply(&changes));
    let present: Vec<(&str, &[u8])> = copy.documents().collect();
    assert_eq!(
        present,
        vec![("b", b"2".as_slice()), ("c", b"2".as_slice())]
    );
}

#[test]
fn changes_with_a_gap_are_not_taken() {
    let mut source = Snapshot::default();
    source.advance(1, documents(&[("a", "1")]));
    source.advance(2, documents(&[("a", "2"), ("b", "2")]));
    source.advance(3, documents(&[("a", "2"), ("b", "3")]));
    let mut copy = Snapshot::default();
    assert!(!copy.apply(&source.changes_since(2, Channel::CONFIG)));
    assert_eq!(copy.number(), 0);
}

#[test]
fn every_wrong_setting_is_named_at_once() {
    let table: toml::Table = toml::from_str(
        "name = \"\"\nregion = \"r\"\nzone = \"z\"\nhttp_address = \"localhost:80\"\n\
         peer_address = \"127.0.0.1:1\"\nplatform_address = \"127.0.0.1\"\nlog_level = \"loud\"\n\
         seeds = [\"127.0.0.1:9\"]",
    )
    .unwrap();
    let text = validate_settings(table).unwrap_err().to_string();
    for field in [
        "name",
        "http_address",
        "platform_address",
        "log_level",
        "seeds",
    ] {
        assert!(text.contains(&format!("{field}: ")), "{field} in {text}");
    }
    assert!(!text.contains("peer_address: "), "{text}");
}

#[test]
fn an_unknown_setting_is_named() {
    let table: toml::Table = toml::from_str("nmae = \"n\"").unwrap();
    assert!(validate_settings(table)
        .unwrap_err()
        .to_string()
        .contains("nmae"));
}
