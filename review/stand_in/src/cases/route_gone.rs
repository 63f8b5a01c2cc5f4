//! The store turns the storage machines away while the operator adds a route for batch jobs,
//! and a trainer uses it.

use std::time::{Duration, Instant};

use super::{configuration, Route};
use crate::client::{batch_job, read, submit};
use crate::engine::{whole_text, Engine, EngineSettings};
use crate::processes::{wait_for, Deployment};
use crate::record::Record;
use crate::store::Store;
use crate::Outcome;

/// 3 of 10 machines are turned away.
const GATEWAYS: usize = 7;
const STORAGE: usize = 3;
const REFUSAL: Duration = Duration::from_secs(5);
/// From the acknowledgement of the configuration to the batch job; `config_apply_ms` is 2 s.
const PAUSE: Duration = Duration::from_millis(3_000);
const EVENTS: u64 = 8;
const ITEMS: usize = 8;

const JOBS: Route<'_> = Route {
    name: "jobs",
    prefix: "/jobs/",
    kind: "rollout",
    service: "models",
};
const ADDED: Route<'_> = Route {
    name: "added",
    prefix: "/added/",
    kind: "rollout",
    service: "models",
};

pub fn play(record: &Record, trouble: bool) -> Outcome {
    let store = Store::default();
    store.put("config", "main", configuration(1, &[JOBS]));
    let engines: Vec<Engine> = (0..3)
        .map(|index| {
            let settings = EngineSettings {
                id: &format!("engine-{index}"),
                service: "models",
                model: "m",
                slots: 16,
                events: EVENTS,
                event_time: Duration::from_millis(60),
            };
            Engine::start(&store, record, &settings)
        })
        .collect();
    let deployment = Deployment::start(&store, GATEWAYS, STORAGE, record);
    if !deployment.wait_until_up() {
        return Outcome::CouldNotRun("the deployment did not come up".into());
    }
    let gateways = &deployment.gateways;
    let (ids, body) = batch_job("first", "/jobs/", ITEMS);
    if submit(record, gateways[0].front, "first", "/jobs/", &body) != Some(202) {
        return Outcome::CouldNotRun("the first batch job was not accepted".into());
    }
    let first_done = wait_for(Duration::from_secs(20), || {
        read(gateways[1].front, "first", 0).is_some_and(|list| list.len() == ids.len())
    });
    if !first_done {
        return Outcome::CouldNotRun("the first batch job did not end".into());
    }
    let refused_at = Instant::now();
    if trouble {
        let machines: Vec<String> = deployment.storage.iter().map(|p| p.name.clone()).collect();
        store.set_busy_for(&machines);
        record.line(format!(
            "the store answers {machines:?} with 503 from now on"
        ));
    }
    std::thread::sleep(Duration::from_millis(500));
    store.put("config", "main", configuration(2, &[JOBS, ADDED]));
    record.line("the operator's configuration 2, with the route /added/, is acknowledged");
    std::thread::sleep(PAUSE);
    let (ids, body) = batch_job("second", "/added/", ITEMS);
    let mut accepted = false;
    for attempt in 0..4 {
        let gateway = gateways[2 + attempt].front;
        match submit(record, gateway, "second", "/added/", &body) {
            Some(202) => {
                accepted = true;
                break;
            }
            // A client does not retry after 404; the gateway does not know the route.
            Some(404) => return Outcome::CouldNotRun("a gateway answers 404".into()),
            _ => std::thread::sleep(Duration::from_millis(200)),
        }
    }
    if !accepted {
        return Outcome::CouldNotRun("the batch job was not accepted".into());
    }
    let mut results = Vec::new();
    let started = Instant::now();
    let mut is_refusing = trouble;
    while results.len() < ids.len() && started.elapsed() < Duration::from_secs(30) {
        if is_refusing && refused_at.elapsed() >= REFUSAL {
            store.set_busy_for(&[]);
            is_refusing = false;
            record.line("the store serves all machines again");
        }
        let listed = read(gateways[1].front, "second", results.len()).unwrap_or_default();
        for result in &listed {
            record.line(format!("listed: {result}"));
        }
        results.extend(listed);
        std::thread::sleep(Duration::from_millis(300));
    }
    let runs: u32 = ids
        .iter()
        .map(|id| engines.iter().map(|engine| engine.runs_of(id)).sum::<u32>())
        .sum();
    let terminated = results
        .iter()
        .filter(|result| result.get("state").text() == "terminated");
    let terminated = terminated.count();
    record.line(format!(
        "{} of {ITEMS} results, {terminated} terminated; engines ran items {runs} times",
        results.len()
    ));
    if terminated > 0 {
        return Outcome::Broken(format!(
            "{terminated} of {ITEMS} items are `terminated`, though their route is in force, no \
             engine answered 500 or 422 and max_queue_s (40 s) was not over; {runs} runs"
        ));
    }
    let wrong = results
        .iter()
        .find(|result| result.get("text").text() != whole_text(result.get("id").text(), EVENTS));
    match wrong {
        Some(result) => Outcome::Broken(format!("wrong text: {result}")),
        None if results.len() < ids.len() => Outcome::CouldNotRun("not all results came".into()),
        None => Outcome::Held,
    }
}
