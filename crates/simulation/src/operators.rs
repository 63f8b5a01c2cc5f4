//! Operators who change tenants, sometimes at the same moment.

use peatgrade_config::RawObject;
use peatgrade_types::http::HttpRequest;
use rand::rngs::SmallRng;
use rand::Rng;
use serde_json::{json, Value};

/// A parameter that operators may change without changing what the oracle
/// expects of trainers.
fn free_parameter(body: &Value) -> Option<&'static str> {
    match body["template"].as_str()? {
        "trained-model" => Some("oversample"),
        "lookup-app" => Some("hedge_ms"),
        _ => None,
    }
}

/// A change of one parameter, on condition that the object is unchanged.
pub(crate) fn change(object: &RawObject, value: Value, author: &str) -> Option<HttpRequest> {
    let parameter = free_parameter(&object.body)?;
    let mut body = object.body.clone();
    body["parameters"][parameter] = value;
    let request = HttpRequest::new("PUT", format!("/objects/{}", object.key), body.to_string())
        .with_header("if-match", object.resource_version.to_string())
        .with_header("x-author", author);
    Some(request)
}

/// A valid value.
pub(crate) fn good_value(random: &mut SmallRng) -> Value {
    json!(random.random_range(10..90))
}

/// A value that validation must refuse.
pub(crate) fn bad_value() -> Value {
    json!("not a number")
}
