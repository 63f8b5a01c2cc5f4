//! `processes`: what gateway and storage processes say of themselves.
//!
//! Each is asked for its metrics; a process that does not answer has a row of
//! its own, since that is what an operator looks for.

use peatgrade_runtime::block_on;
use peatgrade_types::http::HttpRequest;
use serde_json::json;
use std::collections::BTreeMap;
use std::process::ExitCode;

use super::{Output, EXIT_ERROR};
use crate::fetch::fetch;

const STATE_METRIC: &str = "peatgrade_state{name=\"";

/// State of one process by name; none if it did not answer.
pub type State = BTreeMap<String, f64>;

/// The states that a metrics text holds.
pub fn read_state(text: &str) -> State {
    let rows = text.lines().filter_map(|line| {
        let (name, value) = line.strip_prefix(STATE_METRIC)?.split_once("\"}")?;
        Some((name.to_string(), value.trim().parse().ok()?))
    });
    rows.collect()
}

/// One line for a process: its role first, then what matters in that role.
pub fn line(address: &str, state: Option<&State>) -> String {
    let Some(state) = state else {
        return format!("{address:<22} does not answer");
    };
    let figure = |name: &str| state.get(name).copied().unwrap_or(0.0);
    let megabytes = figure("resident_bytes") / 1e6;
    let common = format!(
        "configuration {:<6} engines {:<5} list age {:>6.1} s  memory {megabytes:>5.1} MB",
        figure("configuration_version"),
        figure("engines"),
        figure("engine_list_age_ms") / 1e3,
    );
    if state.contains_key("ready") {
        let ready = if figure("ready") > 0.0 {
            "ready"
        } else {
            "NOT READY"
        };
        let in_flight = figure("requests_in_flight");
        return format!("{address:<22} gateway  {ready:<9} in flight {in_flight:<5} {common}");
    }
    let role = match (figure("leads") > 0.0, figure("members") > 0.0) {
        (true, _) => "leads",
        (false, true) => "follows",
        (false, false) => "spare",
    };
    let mut text = format!(
        "{address:<22} storage  {role:<9} term {:<4} members {}/{}  jobs {:<4} open items {:<5} \
         runs {:<4} loads {:<3} log {:.1} MB  {common}",
        figure("term"),
        figure("members"),
        figure("members_wanted"),
        figure("jobs"),
        figure("open_items"),
        figure("item_runs"),
        figure("weight_loads"),
        figure("log_bytes") / 1e6,
    );
    if figure("leads") > 0.0 && figure("members") < figure("members_wanted") {
        text += "  COPIES MISSING";
    }
    text
}

/// What an operator has to know first: a group that the next lost disk would stop, and why.
pub fn warning(states: &[(&str, Option<&State>)]) -> Option<String> {
    let (address, leader) = states.iter().find_map(|(address, state)| {
        let state = (*state)?;
        let leads = state.get("works_as_leader").copied() == Some(1.0);
        (leads && state.get("tolerated_losses").copied() == Some(0.0)).then_some((address, state))
    })?;
    let figure = |name: &str| leader.get(name).copied().unwrap_or(0.0);
    let mut text = format!(
        "THE GROUP TOLERATES NO LOST DISK: leader {address}, members {} of {}",
        figure("members"),
        figure("members_wanted")
    );
    let silent = states.iter().filter(|(_, state)| state.is_none()).count();
    if silent > 0 {
        text += &format!(", {silent} processes do not answer");
    }
    if figure("retirements_open") > 0.0 {
        text += &format!(
            ", {} retirements wait for a spare",
            figure("retirements_open")
        );
    }
    Some(text)
}

/// Asks each process and prints what it says.
pub fn show(addresses: &[String], output: Output) -> Result<ExitCode, String> {
    let mut states = Vec::new();
    for address in addresses {
        let request = HttpRequest::new("GET", "/metrics", "");
        let answer = block_on(fetch(address, request)).map_err(|error| error.to_string())?;
        let state = answer
            .ok()
            .filter(|(status, _)| *status == 200)
            .map(|(_, body)| read_state(&String::from_utf8_lossy(&body)));
        states.push((address.as_str(), state));
    }
    let known: Vec<(&str, Option<&State>)> = states.iter().map(|(a, s)| (*a, s.as_ref())).collect();
    match output {
        Output::Text => {
            if let Some(warning) = warning(&known) {
                println!("{warning}");
            }
            for (address, state) in &known {
                println!("{}", line(address, *state));
            }
        }
        Output::Json => {
            let documents = known
                .iter()
                .map(|(address, state)| json!({ "address": address, "state": state }));
            println!("{}", json!(documents.collect::<Vec<_>>()));
        }
    }
    Ok(if known.iter().any(|(_, state)| state.is_none()) {
        ExitCode::from(EXIT_ERROR)
    } else {
        ExitCode::SUCCESS
    })
}
