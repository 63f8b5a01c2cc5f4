//! From the objects in the platform's store to the documents in force.

use crate::document::{parse_document, Document, ObjectKey};
use crate::expand::{expand, validate_template, FieldError};
use peatgrade_schema::documents::{Template, Tenant};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::collections::BTreeMap;

/// An object as the store holds it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RawObject {
    /// `kind/name`.
    pub key: String,
    /// Store-wide number of the object's last change.
    pub resource_version: u64,
    /// The document.
    pub body: Value,
    /// Who made the last change, as given by the client.
    #[serde(default)]
    pub author: String,
    /// Status last written.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub status: Option<ObjectStatus>,
}

/// What the system says of an object.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ObjectStatus {
    /// Change that this status is about.
    pub observed_version: u64,
    /// Whether that change is accepted, and so in force within seconds.
    pub accepted: bool,
    /// Field and reason, if it is not.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub error: Option<FieldError>,
    /// The tenant's document in force once this status is written. A reader
    /// that takes over falls back to it when the newest version is invalid, so
    /// that what was accepted is never undone.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub in_force: Option<Value>,
}

/// The outcome of [`reconcile`].
#[derive(Clone, Debug, Default)]
pub struct Reconciled {
    /// Effective tenant documents by name.
    pub documents: BTreeMap<String, Vec<u8>>,
    /// Status of every object.
    pub statuses: BTreeMap<String, ObjectStatus>,
}

/// Works out what is in force. What is invalid is refused with its field and
/// reason, and what the tenant's status names as in force stays.
pub fn reconcile<'a>(objects: impl Iterator<Item = &'a RawObject>) -> Reconciled {
    let mut templates: BTreeMap<String, Template> = BTreeMap::new();
    let mut tenants: Vec<(&RawObject, Result<Tenant, FieldError>)> = Vec::new();
    let mut result = Reconciled::default();
    for object in objects {
        let Some(key) = ObjectKey::parse(&object.key) else {
            continue;
        };
        match parse_document(&key, &object.body) {
            Ok(Document::Template(template)) => {
                let checked = validate_template(&template);
                let status = status_of(object, checked.as_ref().err(), None);
                result.statuses.insert(object.key.clone(), status);
                if checked.is_ok() {
                    templates.insert(template.name.clone(), template);
                }
            }
            Ok(Document::Tenant(tenant)) => tenants.push((object, Ok(tenant))),
            Err(error) if key.kind == "tenant" => tenants.push((object, Err(error))),
            Err(error) => {
                let status = status_of(object, Some(&error), None);
                result.statuses.insert(object.key.clone(), status);
            }
        }
    }
    for (object, tenant) in tenants {
        settle_tenant(object, tenant, &templates, &mut result);
    }
    result
}

fn settle_tenant(
    object: &RawObject,
    tenant: Result<Tenant, FieldError>,
    templates: &BTreeMap<String, Template>,
    result: &mut Reconciled,
) {
    let name = object.key.trim_start_matches("tenant/").to_string();
    let expanded = tenant.and_then(|tenant| match templates.get(&tenant.template) {
        Some(template) => expand(template, &tenant),
        None => Err(FieldError::new(
            "template",
            format!("no valid template {}", tenant.template),
        )),
    });
    let (document, error) = match expanded {
        Ok(spec) => (serde_json::to_value(&spec).ok(), None),
        Err(error) => {
            let last_good = object.status.as_ref().and_then(|s| s.in_force.clone());
            (last_good, Some(error))
        }
    };
    let status = status_of(object, error.as_ref(), document.clone());
    result.statuses.insert(object.key.clone(), status);
    if let Some(document) = document {
        result
            .documents
            .insert(name, document.to_string().into_bytes());
    }
}

fn status_of(
    object: &RawObject,
    error: Option<&FieldError>,
    in_force: Option<Value>,
) -> ObjectStatus {
    ObjectStatus {
        observed_version: object.resource_version,
        accepted: error.is_none(),
        error: error.cloned(),
        in_force,
    }
}
