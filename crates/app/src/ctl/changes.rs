//! `apply`, `diff` and `delete`.

use peatgrade_config::RawObject;
use peatgrade_models::deployment::read_documents;
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::path::Path;
use std::process::ExitCode;
use std::time::{Duration, Instant};

use super::client::{Store, Written};
use super::{Output, EXIT_CONFLICT, EXIT_DIFFERS, EXIT_REFUSED};

/// One field that differs: path, stored value, wanted value.
pub(super) type Difference = (String, Value, Value);

/// Fields in which two documents differ.
pub(super) fn differences(stored: &Value, wanted: &Value) -> Vec<Difference> {
    let mut found = Vec::new();
    collect("", stored, wanted, &mut found);
    found
}

fn collect(path: &str, stored: &Value, wanted: &Value, found: &mut Vec<Difference>) {
    if let (Value::Object(left), Value::Object(right)) = (stored, wanted) {
        let mut names: Vec<&String> = left.keys().chain(right.keys()).collect();
        names.sort();
        names.dedup();
        for name in names {
            let inner = if path.is_empty() {
                name.clone()
            } else {
                format!("{path}.{name}")
            };
            let (left, right) = (left.get(name), right.get(name));
            collect(
                &inner,
                left.unwrap_or(&Value::Null),
                right.unwrap_or(&Value::Null),
                found,
            );
        }
        return;
    }
    if stored != wanted {
        found.push((path.to_string(), stored.clone(), wanted.clone()));
    }
}

fn print_differences(found: &[Difference]) {
    for (path, stored, wanted) in found {
        println!("    {path}: {stored} -> {wanted}");
    }
}

fn stored_objects(store: &Store) -> Result<BTreeMap<String, RawObject>, String> {
    let objects = store.list()?.into_iter();
    Ok(objects.map(|object| (object.key.clone(), object)).collect())
}

/// Shows what apply would change.
pub fn diff(store: &Store, folder: &Path, output: Output) -> Result<ExitCode, String> {
    let wanted = read_documents(folder).map_err(|error| error.to_string())?;
    let stored = stored_objects(store)?;
    let mut changes = Vec::new();
    for (key, body) in &wanted {
        let known = stored
            .get(key)
            .map_or(Value::Null, |object| object.body.clone());
        let found = differences(&known, body);
        if found.is_empty() {
            continue;
        }
        if output == Output::Text {
            println!(
                "{key} {}",
                if known.is_null() { "is new" } else { "differs" }
            );
            print_differences(&found);
        }
        let fields: Vec<Value> = found
            .iter()
            .map(|(path, stored, wanted)| json!({ "field": path, "stored": stored, "wanted": wanted }))
            .collect();
        changes.push(json!({ "object": key, "fields": fields }));
    }
    if output == Output::Json {
        println!("{}", json!({ "changes": changes }));
    }
    Ok(if changes.is_empty() {
        ExitCode::SUCCESS
    } else {
        ExitCode::from(EXIT_DIFFERS)
    })
}

/// Creates or changes what the files declare.
pub fn apply(store: &Store, folder: &Path, wait: u64, output: Output) -> Result<ExitCode, String> {
    let wanted = read_documents(folder).map_err(|error| error.to_string())?;
    let stored = stored_objects(store)?;
    let mut results = Vec::new();
    let mut conflict = false;
    for (key, body) in &wanted {
        let known = stored.get(key);
        if known.is_some_and(|object| object.body == *body) {
            results.push(json!({ "object": key, "result": "unchanged" }));
            continue;
        }
        let version = known.map_or(0, |object| object.resource_version);
        match store.put(key, body, version)? {
            Written::Done => results.push(json!({ "object": key, "result": "applied" })),
            Written::Conflict(now) => {
                conflict = true;
                report_conflict(key, body, now.as_ref());
                results.push(json!({ "object": key, "result": "conflict", "current": now }));
            }
        }
    }
    print_results(&results, output);
    if conflict {
        return Ok(ExitCode::from(EXIT_CONFLICT));
    }
    let keys: Vec<&String> = wanted.iter().map(|(key, _)| key).collect();
    wait_for_status(store, &keys, Duration::from_secs(wait))
}

fn print_results(results: &[Value], output: Output) {
    if output == Output::Json {
        println!("{}", json!({ "results": results }));
        return;
    }
    for result in results {
        let text = |field: &str| result[field].as_str().unwrap_or_default().to_string();
        println!("{} {}", text("object"), text("result"));
    }
}

/// Tells who changed the object first, and what is different now.
fn report_conflict(key: &str, wanted: &Value, now: Option<&RawObject>) {
    match now {
        None => eprintln!("{key}: was deleted by someone else"),
        Some(now) => {
            eprintln!(
                "{key}: {} changed it first, to version {}",
                now.author, now.resource_version
            );
            for (path, stored, wanted) in differences(&now.body, wanted) {
                eprintln!("    {path}: is {stored}, you wanted {wanted}");
            }
        }
    }
}

/// Waits until every object's current version is accepted or refused.
fn wait_for_status(store: &Store, keys: &[&String], limit: Duration) -> Result<ExitCode, String> {
    if limit.is_zero() {
        return Ok(ExitCode::SUCCESS);
    }
    let started = Instant::now();
    loop {
        let stored = stored_objects(store)?;
        let mine = keys.iter().filter_map(|key| stored.get(*key));
        let mut pending = 0;
        for object in mine {
            let status = object.status.as_ref();
            let current = status.filter(|s| s.observed_version == object.resource_version);
            match current {
                Some(status) if status.accepted => {}
                Some(status) if status.error.is_some() => {
                    let error = status
                        .error
                        .as_ref()
                        .map(ToString::to_string)
                        .unwrap_or_default();
                    eprintln!("{}: refused: {error}", object.key);
                    return Ok(ExitCode::from(EXIT_REFUSED));
                }
                _ => pending += 1,
            }
        }
        if pending == 0 {
            println!("accepted");
            return Ok(ExitCode::SUCCESS);
        }
        if started.elapsed() >= limit {
            eprintln!(
                "{pending} objects are not settled after {} s",
                limit.as_secs()
            );
            return Ok(ExitCode::from(EXIT_DIFFERS));
        }
        std::thread::sleep(Duration::from_millis(200));
    }
}

/// Deletes an object.
pub fn delete(store: &Store, key: &str, version: Option<u64>) -> Result<ExitCode, String> {
    let Some(object) = store.get(key)? else {
        println!("{key} does not exist");
        return Ok(ExitCode::SUCCESS);
    };
    let version = version.unwrap_or(object.resource_version);
    match store.delete(key, version)? {
        Written::Done => {
            println!("{key} deleted");
            Ok(ExitCode::SUCCESS)
        }
        Written::Conflict(now) => {
            report_conflict(key, &object.body, now.as_ref());
            Ok(ExitCode::from(EXIT_CONFLICT))
        }
    }
}
