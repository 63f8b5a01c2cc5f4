//! Stand-ins of the platform's store, engines and clients, and the cases that use them.
//!
//! `review-2 CASE FOLDER` plays a case, from the repository's root. It writes `record.txt` to
//! FOLDER and exits with 1 if the rule was broken, 0 if it held and 2 if the case couldn't run.

mod cases;
mod engine;
mod http;
mod json;
mod processes;
mod record;
mod store;

use std::path::Path;

/// How a case ended.
pub enum Outcome {
    Held,
    Broken,
    CouldNotRun,
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let (Some(case), Some(folder)) = (arguments.get(1), arguments.get(2)) else {
        eprintln!("usage: review-2 CASE FOLDER");
        std::process::exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let Ok(record) = record::Record::create(&Path::new(folder).join("record.txt")) else {
        eprintln!("no record can be written to {folder}");
        std::process::exit(2);
    };
    record.line(&format!("case {case}, disruption: {trouble}"));
    let (outcome, reason) = cases::play(case, &record, trouble);
    record.line(&format!("end: {reason}"));
    println!("{reason}");
    std::process::exit(match outcome {
        Outcome::Held => 0,
        Outcome::Broken => 1,
        Outcome::CouldNotRun => 2,
    });
}
