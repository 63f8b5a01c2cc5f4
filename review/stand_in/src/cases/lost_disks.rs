//! A storage machine that is to be emptied loses its disk and comes back; later another storage
//! machine loses its disk. Never is more than one of three lost at once.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use super::{configuration, Route};
use crate::client::{batch_job, item_body, read, submit};
use crate::engine::{Engine, EngineSettings};
use crate::processes::{Deployment, Process};
use crate::record::Record;
use crate::store::{map, number, Store};
use crate::Outcome;

const JOBS: Route<'_> = Route {
    name: "jobs",
    prefix: "/jobs/",
    kind: "rollout",
    service: "models",
};
const ITEMS: usize = 96;
/// How long the batch job is read after the last loss.
const PATIENCE: Duration = Duration::from_secs(40);
/// From the return of the first machine to the next loss; `catch_up_s` is 5.2.
const PAUSE: Duration = Duration::from_secs(9);
const DOWN: Duration = Duration::from_secs(1);

pub fn play(record: &Record, trouble: bool) -> Outcome {
    let store = Store::default();
    store.put("config", "main", configuration(1, &[JOBS]));
    let engines = (0..3).map(|index| {
        let settings = EngineSettings {
            id: &format!("engine-{index}"),
            service: "models",
            model: "m",
            slots: 16,
            events: 8,
            event_time: Duration::from_millis(400),
        };
        Engine::start(&store, record, &settings)
    });
    let _engines: Vec<Engine> = engines.collect();
    let mut deployment = Deployment::start(&store, 7, 3, record);
    if !deployment.wait_until_up() {
        return Outcome::CouldNotRun("the deployment did not come up".into());
    }
    let gateways = deployment.gateways.iter();
    let fronts: Vec<SocketAddr> = gateways.map(|gateway| gateway.front).collect();
    let Some(leader) = deployment.leader() else {
        return Outcome::CouldNotRun("no leader".into());
    };
    let (emptied, other) = ((leader + 1) % 3, (leader + 2) % 3);
    // The request to empty the machine is the disruption: the disks are lost with and without it.
    if trouble {
        let name = deployment.storage[emptied].name.clone();
        store.put("retirements", &name, map(&[("duration_s", number(9))]));
        record.line(format!(
            "the operator asks that {name} be emptied within 9 s"
        ));
    }
    std::thread::sleep(Duration::from_secs(2));
    lose_disk(record, &mut deployment.storage[emptied]);
    std::thread::sleep(PAUSE);
    let (ids, body) = batch_job("job", "/jobs/", ITEMS);
    if submit(record, fronts[0], "job", "/jobs/", &body) != Some(202) {
        return Outcome::CouldNotRun("the batch job was not accepted".into());
    }
    std::thread::sleep(Duration::from_millis(1_500));
    lose_disk(record, &mut deployment.storage[other]);
    // The batch job is read and the body of its last item is asked for, again after each failure.
    let since = Instant::now();
    let (mut listed, mut bodies) = (0, 0);
    while listed < ITEMS && since.elapsed() < PATIENCE {
        let front = fronts[since.elapsed().as_secs() as usize % fronts.len()];
        let results = read(front, "job", listed).map(|list| list.len());
        listed += results.unwrap_or(0);
        let last = ids.last().map_or("", String::as_str);
        let answer = item_body(front, "job", last);
        bodies += u32::from(answer == Some(200));
        record.line(format!(
            "client reads job at {front}: {results:?} new results, {listed} in all; body of {last}: \
             {answer:?}"
        ));
        std::thread::sleep(Duration::from_secs(1));
    }
    let front = fronts[3];
    let (_, body) = batch_job("next", "/jobs/", 1);
    submit(record, front, "next", "/jobs/", &body);
    if listed < ITEMS && bodies == 0 {
        return Outcome::Broken(format!(
            "one disk of three was lost at a time, and of an accepted batch job {listed} of {ITEMS} \
             items are listed and no body of an unlisted item is given for 40 s"
        ));
    }
    match listed {
        ITEMS => Outcome::Held,
        _ => Outcome::CouldNotRun("not all results came, but bodies did".into()),
    }
}

/// Kills a storage process, empties its disk and starts it again.
fn lose_disk(record: &Record, process: &mut Process) {
    process.kill();
    process.wipe();
    record.line(format!("{} is down and has lost its disk", process.name));
    std::thread::sleep(DOWN);
    process.start();
    record.line(format!("{} is back with an empty disk", process.name));
}
