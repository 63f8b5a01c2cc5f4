//! Applies updates of the object store to the gateway's configuration and engine directory.

use peatgrade_mirror::ServiceFilter;
use peatgrade_ports::{
    Configuration, Limits, ObjectKind, RouteKind, StoreEvent, StoreObject, StoreUpdate,
};
use peatgrade_runtime::ServerLimits;
use peatgrade_types::{Duration, Time};
use std::collections::BTreeSet;

use super::GatewayProcess;
use crate::clock::steady_now;

impl GatewayProcess {
    pub(super) fn apply_store_update(&mut self, update: StoreUpdate) {
        let now = steady_now();
        match update {
            StoreUpdate::Listed {
                kind,
                at,
                objects,
                complete,
                ..
            } => match kind {
                ObjectKind::Engines => {
                    for (_, object) in &objects {
                        self.unreadable_entries.record(&self.metrics, kind, object);
                    }
                    let records = objects.into_iter().filter_map(|(_, object)| match object {
                        StoreObject::Engine(record) => Some(record),
                        _ => None,
                    });
                    let heartbeat = Duration::from_millis(self.settings.engine_heartbeat_ms);
                    let synced_filter = self.subscriber.synced_filter();
                    let records = records.filter(|record| synced_filter.includes(&record.service));
                    let directory = &mut self.gateway.directory;
                    if complete {
                        directory.relist(now, at, records.collect(), heartbeat);
                    } else {
                        directory.merge_list(at, records.collect());
                    }
                    self.engines_listed |= self.subscriber.is_synced();
                    log::info!(
                        "belief=engines count={} lapsed={} complete={complete}",
                        directory.len(),
                        directory.lapsed_count()
                    );
                }
                _ => objects
                    .into_iter()
                    .for_each(|(_, object)| self.apply_configuration(object)),
            },
            StoreUpdate::Changed {
                kind, at, events, ..
            } => match kind {
                ObjectKind::Engines => self.apply_engine_events(at, events),
                _ => events
                    .into_iter()
                    .filter_map(|event| event.object)
                    .for_each(|object| self.apply_configuration(object)),
            },
        }
        let is_ready = self.is_ready();
        if is_ready != self.was_ready {
            log::info!("belief=ready value={is_ready} at_us={}", now.0);
            self.was_ready = is_ready;
        }
    }

    fn apply_engine_events(&mut self, at: Time, events: Vec<StoreEvent>) {
        for mut event in events {
            let synced_filter = self.subscriber.synced_filter();
            // An engine that moved to a service outside the filter counts as deleted.
            event.object = event.object.filter(|object| match object {
                StoreObject::Engine(record) => synced_filter.includes(&record.service),
                _ => true,
            });
            if let Some(StoreObject::Engine(record)) = &event.object {
                log::info!(
                    "belief=engine instance={} address={} draining={} started={:?}",
                    record.instance,
                    record.address,
                    record.draining,
                    record.started
                );
            }
            if let Some(object) = &event.object {
                let kind = ObjectKind::Engines;
                self.unreadable_entries.record(&self.metrics, kind, object);
            }
            if let Some(instance) = self.gateway.directory.apply(steady_now(), event) {
                log::info!("belief=engine-gone instance={instance}");
            }
        }
        self.gateway.directory.confirmed_at = at;
    }

    fn apply_configuration(&mut self, object: StoreObject) {
        match object {
            StoreObject::Configuration(configuration) => {
                let (version, routes) = (configuration.version, configuration.routes.len());
                let limits = server_limits(&configuration.limits);
                let required = required_services(&configuration);
                if self.gateway.apply_configuration(*configuration) {
                    self.subscriber.set_filter(required);
                    self.server.limits.set(limits);
                    log::info!("belief=configuration version={version} routes={routes}");
                }
            }
            StoreObject::Unreadable { .. } => {
                let kind = ObjectKind::Configuration;
                self.unreadable_entries.record(&self.metrics, kind, &object);
            }
            _ => {}
        }
    }
}

/// Services whose engines this gateway may send requests to. Services used only by batch
/// routes are excluded, because the leader sends batch items. Services without a route are
/// included, so that their engines are known when a route is changed to point to them.
fn required_services(configuration: &Configuration) -> ServiceFilter {
    let services_of_kind = |is_batch: bool| {
        let routes = configuration.routes.iter();
        let routes = routes.filter(move |route| (route.kind == RouteKind::Batch) == is_batch);
        let targets = routes.flat_map(|route| &route.targets);
        targets
            .map(|target| &target.service)
            .collect::<BTreeSet<_>>()
    };
    let (single, batch) = (services_of_kind(false), services_of_kind(true));
    let services = configuration.services.keys();
    let required = services.filter(|service| single.contains(service) || !batch.contains(service));
    ServiceFilter::Services(required.chain(single.iter().copied()).cloned().collect())
}

fn server_limits(limits: &Limits) -> ServerLimits {
    ServerLimits {
        max_head_bytes: limits.max_header_bytes,
        max_body_bytes: limits.max_body_bytes,
        head_timeout: std::time::Duration::from_micros(limits.header_timeout.0),
        idle_timeout: std::time::Duration::from_micros(limits.idle_timeout.0),
    }
}
