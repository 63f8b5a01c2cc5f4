//! Plays a case of this review: `review-stand-in CASE FOLDER`, in the repository's root.
//!
//! Exit code 1: the rule was broken. 0: it held. 2: the case could not run. With `TROUBLE=0` the
//! same happens without the disruption.

mod cases;
mod client;
mod engine;
mod http;
mod json;
mod processes;
mod record;
mod store;

use std::path::Path;

use record::Record;

/// How a case ended.
pub enum Outcome {
    Held,
    Broken(String),
    CouldNotRun(String),
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let (Some(case), Some(folder)) = (arguments.get(1), arguments.get(2)) else {
        eprintln!("usage: review-stand-in CASE FOLDER");
        std::process::exit(2);
    };
    let record = Record::create(&Path::new(folder).join("record.txt"));
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    record.line(format!("case {case}, with the disruption: {trouble}"));
    let outcome = match case.as_str() {
        "lost-disks" => cases::lost_disks::play(&record, trouble),
        "route-gone" => cases::route_gone::play(&record, trouble),
        "large-jobs" => cases::large_jobs::play(&record, trouble),
        "second-answer" => cases::second_answer::play(&record, trouble),
        "old-limit" => cases::old_limit::play(&record, trouble),
        "cut-event" => cases::cut_event::play(&record, trouble),
        _ => Outcome::CouldNotRun("no such case".into()),
    };
    let (code, text) = match outcome {
        Outcome::Held => (0, "the rule held".to_string()),
        Outcome::Broken(how) => (1, format!("BROKEN: {how}")),
        Outcome::CouldNotRun(why) => (2, format!("could not run: {why}")),
    };
    record.line(&text);
    println!("{text}");
    std::process::exit(code);
}
