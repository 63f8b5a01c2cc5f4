//! `get`, `describe` and `status`.

use peatgrade_config::RawObject;
use serde_json::json;
use std::process::ExitCode;
use std::time::Duration;

use super::client::Store;
use super::{Output, EXIT_ERROR};

/// What the system says of an object, in a few words.
fn state(object: &RawObject) -> String {
    let Some(status) = &object.status else {
        return "pending".into();
    };
    if status.observed_version != object.resource_version {
        return "pending".into();
    }
    match &status.error {
        None if status.accepted => "accepted".into(),
        None => "spreading".into(),
        Some(error) => {
            let kept = if status.in_force.is_some() {
                ", last good one in force"
            } else {
                ""
            };
            format!("refused: {error}{kept}")
        }
    }
}

fn line(object: &RawObject) -> String {
    format!(
        "{:<32} version {:<5} by {:<12} {}",
        object.key,
        object.resource_version,
        object.author,
        state(object)
    )
}

/// Lists objects.
pub fn get(store: &Store, what: Option<&str>, output: Output) -> Result<ExitCode, String> {
    let wanted = |object: &&RawObject| match what {
        None => true,
        Some(what) => object.key == what || object.key.starts_with(&format!("{what}/")),
    };
    let objects = store.list()?;
    let objects: Vec<&RawObject> = objects.iter().filter(wanted).collect();
    match output {
        Output::Json => println!("{}", json!({ "objects": objects })),
        Output::Text => objects
            .iter()
            .for_each(|object| println!("{}", line(object))),
    }
    Ok(if objects.is_empty() && what.is_some() {
        ExitCode::from(EXIT_ERROR)
    } else {
        ExitCode::SUCCESS
    })
}

/// Shows one object with its status.
pub fn describe(store: &Store, key: &str) -> Result<ExitCode, String> {
    match store.get(key)? {
        Some(object) => {
            let text = serde_json::to_string_pretty(&object).map_err(|error| error.to_string())?;
            println!("{text}");
            println!("{}", line(&object));
            Ok(ExitCode::SUCCESS)
        }
        None => Err(format!("{key} does not exist")),
    }
}

/// Shows whether objects are accepted, once or as it changes.
pub fn status(store: &Store, watch: bool, output: Output) -> Result<ExitCode, String> {
    let mut shown: Vec<String> = Vec::new();
    loop {
        let objects = store.list()?;
        let lines: Vec<String> = objects.iter().map(line).collect();
        match output {
            Output::Json => {
                let states = objects.iter().map(|object| {
                    json!({ "object": object.key, "version": object.resource_version, "state": state(object) })
                });
                println!("{}", json!(states.collect::<Vec<_>>()));
            }
            Output::Text => {
                let news = lines.iter().filter(|line| !shown.contains(line));
                news.for_each(|line| println!("{line}"));
            }
        }
        if !watch {
            return Ok(ExitCode::SUCCESS);
        }
        shown = lines;
        std::thread::sleep(Duration::from_millis(500));
    }
}
