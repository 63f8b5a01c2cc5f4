//! One document of an operator: a template or a tenant.

use crate::expand::FieldError;
use peatgrade_schema::documents::{Template, Tenant};
use serde::de::DeserializeOwned;
use serde_json::Value;
use std::fmt;

/// Kind and name of an object, written `kind/name`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ObjectKey {
    /// `template` or `tenant`.
    pub kind: String,
    /// Name among its kind.
    pub name: String,
}

impl ObjectKey {
    /// The key of a template.
    pub fn template(name: &str) -> Self {
        Self {
            kind: "template".into(),
            name: name.into(),
        }
    }

    /// The key of a tenant.
    pub fn tenant(name: &str) -> Self {
        Self {
            kind: "tenant".into(),
            name: name.into(),
        }
    }

    /// Reads `kind/name`.
    pub fn parse(text: &str) -> Option<Self> {
        let (kind, name) = text.split_once('/')?;
        let known = matches!(kind, "template" | "tenant");
        (known && !name.is_empty()).then(|| Self {
            kind: kind.into(),
            name: name.into(),
        })
    }
}

impl fmt::Display for ObjectKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}/{}", self.kind, self.name)
    }
}

/// A document, parsed by its kind.
#[derive(Clone, Debug)]
pub enum Document {
    /// A template.
    Template(Template),
    /// A tenant.
    Tenant(Tenant),
}

/// Parses the body of an object. The kind comes from its key.
pub fn parse_document(key: &ObjectKey, body: &Value) -> Result<Document, FieldError> {
    let document = match key.kind.as_str() {
        "template" => Document::Template(from_value(body)?),
        "tenant" => Document::Tenant(from_value(body)?),
        other => return Err(FieldError::new("kind", format!("unknown kind {other}"))),
    };
    let name = match &document {
        Document::Template(template) => &template.name,
        Document::Tenant(tenant) => &tenant.name,
    };
    if *name != key.name {
        return Err(FieldError::new(
            "name",
            format!("is {name}, but the object is called {}", key.name),
        ));
    }
    Ok(document)
}

pub(crate) fn from_value<T: DeserializeOwned>(value: &Value) -> Result<T, FieldError> {
    serde_json::from_value(value.clone()).map_err(|error| {
        let reason = error.to_string();
        // serde names the field in backquotes, where it knows it.
        let field = reason.split('`').nth(1).unwrap_or("document").to_string();
        FieldError { field, reason }
    })
}
