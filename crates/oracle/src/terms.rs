//! What trainers may expect, from the documents of a deployment.

use peatgrade_models::Deployment;
use std::collections::BTreeMap;

use crate::TrainerTerms;

/// What each trainer of a deployment may expect.
pub fn terms_of(deployment: &Deployment) -> BTreeMap<String, TrainerTerms> {
    let objects = deployment
        .documents
        .iter()
        .enumerate()
        .map(|(number, (key, body))| peatgrade_config::RawObject {
            key: key.clone(),
            resource_version: number as u64 + 1,
            body: body.clone(),
            author: String::new(),
            status: None,
        });
    let objects: Vec<_> = objects.collect();
    let documents = peatgrade_config::reconcile(objects.iter()).documents;
    let specs = documents.values().filter_map(|document| {
        serde_json::from_slice::<peatgrade_schema::documents::TenantSpec>(document).ok()
    });
    let mut terms = BTreeMap::new();
    for spec in specs {
        let Some(training) = spec.training else {
            continue;
        };
        let pool = deployment.pools.iter().find(|pool| pool.name == spec.pool);
        let engine = pool
            .and_then(|pool| pool.engine.clone())
            .unwrap_or_default();
        let known = TrainerTerms {
            staleness_bound: training.staleness_bound,
            samples_per_step: training.samples_per_step as usize,
            shortest_answer: engine.shortest_answer,
            max_tokens: spec.max_tokens,
        };
        terms.insert(training.trainer, known);
    }
    terms
}
