//! Filling in templates, and checking what comes out.

use crate::document::from_value;
use peatgrade_schema::documents::{
    EngineKind, Parameter, ParameterType, Template, Tenant, TenantSpec,
};
use serde_json::{Map, Value};
use std::collections::BTreeSet;

/// What is wrong with a document, and where.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error, serde::Serialize, serde::Deserialize)]
#[error("{field}: {reason}")]
pub struct FieldError {
    /// Path of the field, such as `parameters.staleness`.
    pub field: String,
    /// Why it is refused.
    pub reason: String,
}

impl FieldError {
    /// An error at `field`.
    pub fn new(field: impl Into<String>, reason: impl Into<String>) -> Self {
        Self {
            field: field.into(),
            reason: reason.into(),
        }
    }
}

/// Checks a template by itself: its parameters, and that each is used.
pub fn validate_template(template: &Template) -> Result<(), FieldError> {
    let mut names = BTreeSet::new();
    for parameter in &template.parameters {
        let field = format!("parameters.{}", parameter.name);
        if !names.insert(parameter.name.as_str()) {
            return Err(FieldError::new(field, "is declared twice"));
        }
        if let Some(default) = &parameter.default {
            check_parameter(parameter, default)?;
        }
    }
    let mut used = BTreeSet::new();
    collect_references(&template.spec, &mut used);
    for name in &used {
        if !names.contains(name.as_str()) {
            let reason = format!("uses ${{{name}}}, which is not declared");
            return Err(FieldError::new("spec", reason));
        }
    }
    match names.iter().find(|name| !used.contains(**name)) {
        Some(unused) => Err(FieldError::new(
            format!("parameters.{unused}"),
            "is declared but not used in spec",
        )),
        None => Ok(()),
    }
}

/// Fills a template in for a tenant and checks the result.
pub fn expand(template: &Template, tenant: &Tenant) -> Result<TenantSpec, FieldError> {
    for name in tenant.parameters.keys() {
        if !template.parameters.iter().any(|p| p.name == *name) {
            let reason = format!("template {} has no such parameter", template.name);
            return Err(FieldError::new(format!("parameters.{name}"), reason));
        }
    }
    let mut values = Map::new();
    for parameter in &template.parameters {
        let given = tenant.parameters.get(&parameter.name);
        let Some(value) = given.or(parameter.default.as_ref()) else {
            let field = format!("parameters.{}", parameter.name);
            return Err(FieldError::new(field, "is required"));
        };
        check_parameter(parameter, value)?;
        values.insert(parameter.name.clone(), value.clone());
    }
    let filled = substitute(&template.spec, &values);
    let spec: TenantSpec = from_value(&filled).map_err(|error| FieldError {
        field: format!("spec.{}", error.field),
        reason: error.reason,
    })?;
    validate_spec(&spec)?;
    Ok(spec)
}

fn check_parameter(parameter: &Parameter, value: &Value) -> Result<(), FieldError> {
    let fail = |reason: String| {
        let field = format!("parameters.{}", parameter.name);
        Err(FieldError::new(field, reason))
    };
    match parameter.type_ {
        ParameterType::String => {
            let Some(text) = value.as_str() else {
                return fail(format!("must be a string, not {value}"));
            };
            let choices = &parameter.choices;
            if !choices.is_empty() && !choices.iter().any(|choice| choice == text) {
                return fail(format!("must be one of {}", choices.join(", ")));
            }
        }
        ParameterType::Integer => {
            let Some(number) = value.as_i64() else {
                return fail(format!("must be an integer, not {value}"));
            };
            if parameter.minimum.is_some_and(|minimum| number < minimum) {
                return fail(format!(
                    "{number} is below {}",
                    parameter.minimum.unwrap_or(0)
                ));
            }
            if parameter.maximum.is_some_and(|maximum| number > maximum) {
                return fail(format!(
                    "{number} is above {}",
                    parameter.maximum.unwrap_or(0)
                ));
            }
        }
        ParameterType::Boolean => {
            if !value.is_boolean() {
                return fail(format!("must be true or false, not {value}"));
            }
        }
    }
    Ok(())
}

fn validate_spec(spec: &TenantSpec) -> Result<(), FieldError> {
    let positive = [
        ("spec.deadline_ms", spec.deadline_ms),
        ("spec.max_in_flight", u64::from(spec.max_in_flight)),
        ("spec.max_body_bytes", spec.max_body_bytes),
        ("spec.max_tokens", u64::from(spec.max_tokens)),
        ("spec.once_window_seconds", spec.once_window_seconds),
    ];
    for (field, value) in positive {
        if value == 0 {
            return Err(FieldError::new(field, "must be above 0"));
        }
    }
    if spec.pool.is_empty() {
        return Err(FieldError::new("spec.pool", "must name a pool of engines"));
    }
    if spec.kind == EngineKind::Model && spec.model.is_empty() {
        return Err(FieldError::new("spec.model", "is required for kind model"));
    }
    if spec.queue_ms >= spec.deadline_ms {
        return Err(FieldError::new(
            "spec.queue_ms",
            "must be below deadline_ms",
        ));
    }
    for rule in &spec.never_repeat {
        if rule.method.is_none() && rule.path_prefix.is_none() && rule.header.is_none() {
            let reason = "a rule needs a method, a path_prefix or a header";
            return Err(FieldError::new("spec.never_repeat", reason));
        }
    }
    validate_training(spec)
}

fn validate_training(spec: &TenantSpec) -> Result<(), FieldError> {
    let Some(training) = &spec.training else {
        return Ok(());
    };
    if spec.kind != EngineKind::Model {
        return Err(FieldError::new("spec.training", "needs kind model"));
    }
    if training.group_size == 0 || training.samples_per_step == 0 {
        let reason = "group_size and samples_per_step must be above 0";
        return Err(FieldError::new("spec.training", reason));
    }
    if training.samples_per_step % training.group_size != 0 {
        let field = "spec.training.samples_per_step";
        return Err(FieldError::new(field, "must be a multiple of group_size"));
    }
    Ok(())
}

/// Name inside `${name}`, if the whole string is one reference.
fn reference(text: &str) -> Option<&str> {
    text.strip_prefix("${")?.strip_suffix('}')
}

fn collect_references(value: &Value, into: &mut BTreeSet<String>) {
    match value {
        Value::String(text) => into.extend(reference(text).map(str::to_string)),
        Value::Array(items) => items.iter().for_each(|item| collect_references(item, into)),
        Value::Object(map) => map.values().for_each(|item| collect_references(item, into)),
        _ => {}
    }
}

fn substitute(value: &Value, values: &Map<String, Value>) -> Value {
    match value {
        Value::String(text) => match reference(text).and_then(|name| values.get(name)) {
            Some(filled) => filled.clone(),
            None => value.clone(),
        },
        Value::Array(items) => items.iter().map(|item| substitute(item, values)).collect(),
        Value::Object(map) => map
            .iter()
            .map(|(key, item)| (key.clone(), substitute(item, values)))
            .collect::<Map<_, _>>()
            .into(),
        _ => value.clone(),
    }
}
