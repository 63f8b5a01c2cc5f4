//! An engine sends a second answer after a whole one, and the second one's id is spoiled.

use std::collections::BTreeSet;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use super::{configuration, Route};
use crate::client::{batch_job, read, request, submit};
use crate::engine::{answer_body, whole_text, Engine, EngineSettings, Habit};
use crate::processes::{wait_for, Deployment};
use crate::record::Record;
use crate::store::Store;
use crate::Outcome;

const ROUTES: [Route<'_>; 2] = [
    Route {
        name: "look",
        prefix: "/look/",
        kind: "safe",
        service: "app",
    },
    Route {
        name: "jobs",
        prefix: "/jobs/",
        kind: "rollout",
        service: "models",
    },
];
const EVENTS: u64 = 8;
const CALLERS: usize = 8;
/// How long engines send second answers.
const TROUBLE_TIME: Duration = Duration::from_secs(2);
/// One answer in 34 has a second one: a share of 0.03.
const EVERY: u64 = 34;

pub fn play(record: &Record, trouble: bool) -> Outcome {
    let store = Store::default();
    store.put("config", "main", configuration(1, &ROUTES));
    let start = |id: &str, service, model, slots, events, millis| {
        let settings = EngineSettings {
            id,
            service,
            model,
            slots,
            events,
            event_time: Duration::from_millis(millis),
        };
        Engine::start(&store, record, &settings)
    };
    // One of three engines of each service sends second answers: a share of 0.33.
    let apps: Vec<Engine> = (0..3)
        .map(|index| start(&format!("app-{index}"), "app", "", 6, 0, 5))
        .collect();
    let models: Vec<Engine> = (0..3)
        .map(|index| start(&format!("model-{index}"), "models", "m", 16, EVENTS, 4))
        .collect();
    let deployment = Deployment::start(&store, 2, 3, record);
    if !deployment.wait_until_up() {
        return Outcome::CouldNotRun("the deployment did not come up".into());
    }
    let fronts: Vec<_> = deployment
        .gateways
        .iter()
        .map(|gateway| gateway.front)
        .collect();
    let is_served = wait_for(Duration::from_secs(10), || {
        let answer = request(fronts[0], "/look/x", "warm-up", &[], b"x");
        answer.is_some_and(|answer| answer.status == 200)
    });
    if !is_served {
        return Outcome::CouldNotRun("no lookup is served".into());
    }
    if trouble {
        apps[0].set_habit(Habit::SecondAnswer(EVERY));
        models[0].set_habit(Habit::SecondAnswer(EVERY));
    }
    let wrong = Arc::new(Mutex::new(Vec::new()));
    let until = Instant::now() + TROUBLE_TIME;
    let callers = (0..CALLERS).map(|caller| {
        let (record, wrong) = (record.clone(), wrong.clone());
        let front = fronts[0];
        std::thread::spawn(move || {
            let mut sent = 0;
            while Instant::now() < until {
                sent += 1;
                let id = format!("lookup-{caller}-{sent}");
                let answer = request(front, "/look/x", &id, &[], b"x");
                let status = answer.as_ref().map(|answer| answer.status);
                record.line(format!("client sent {id}: {status:?}"));
                let Some(answer) = answer.filter(|answer| answer.status == 200) else {
                    continue;
                };
                let body = String::from_utf8_lossy(&answer.body).into_owned();
                if body != answer_body(&id) {
                    let line = format!("client of {id} gets 200 with the body {body:?}");
                    record.line(&line);
                    wrong.lock().expect("lock").push(line);
                }
            }
            sent
        })
    });
    let callers: Vec<_> = callers.collect();
    let mut jobs = 0;
    let mut items = 0;
    while Instant::now() < until {
        jobs += 1;
        let job = format!("job{jobs}");
        let (ids, body) = batch_job(&job, "/jobs/", 224);
        if submit(record, fronts[1], &job, "/jobs/", &body) != Some(202) {
            continue;
        }
        let mut results = Vec::new();
        wait_for(Duration::from_secs(10), || {
            results.extend(read(fronts[1], &job, results.len()).unwrap_or_default());
            results.len() == ids.len()
        });
        items += results.len();
        for result in &results {
            let (id, text) = (result.get("id").text(), result.get("text").text());
            if result.get("state").text() == "completed" && text != whole_text(id, EVENTS) {
                let line = format!("item {id} is completed with the text {text:?}");
                record.line(&line);
                wrong.lock().expect("lock").push(line);
            }
        }
    }
    let lookups: u32 = callers
        .into_iter()
        .map(|caller| caller.join().unwrap_or(0))
        .sum();
    let wrong = wrong.lock().expect("lock").clone();
    let count = |prefix: &str| wrong.iter().filter(|line| line.starts_with(prefix)).count();
    let kinds: BTreeSet<&str> = wrong
        .iter()
        .filter_map(|line| line.split(' ').next())
        .collect();
    record.line(format!(
        "{lookups} lookups, {items} results; wrong: {} of {kinds:?}",
        wrong.len()
    ));
    if wrong.is_empty() {
        return Outcome::Held;
    }
    Outcome::Broken(format!(
        "{} of {lookups} lookups got another request's answer, {} of {items} items another text",
        count("client"),
        count("item")
    ))
}
