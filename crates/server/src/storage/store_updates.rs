//! Updates from the object store.

use peatgrade_ports::{
    Configuration, ObjectKind, RetirementStage, StoreEvent, StoreObject, StoreUpdate,
};
use peatgrade_schema::replication::Member;
use peatgrade_types::{Duration, Time};

use super::process::StorageProcess;
use super::registration::member_from_registration;
use super::retirement::Retirement;
use crate::clock::steady_now;

impl StorageProcess {
    pub(super) fn on_update(&mut self, update: StoreUpdate) {
        self.last_store_update = steady_now();
        if self.member_watches.get() {
            self.publisher.apply(&update);
        }
        if self.is_newer(&update) {
            self.apply_update(update);
            self.engine_count.set(self.directory.len());
        }
    }

    pub(super) fn apply_update(&mut self, update: StoreUpdate) {
        match update {
            StoreUpdate::Listed {
                kind,
                at,
                objects,
                complete,
                ..
            } => self.on_listed(kind, at, objects, complete),
            StoreUpdate::Changed {
                kind, at, events, ..
            } => self.on_changed(kind, at, events),
        }
    }

    fn on_listed(
        &mut self,
        kind: ObjectKind,
        at: Time,
        objects: Vec<(String, StoreObject)>,
        complete: bool,
    ) {
        for (_, object) in &objects {
            self.unreadable_entries.record(&self.metrics, kind, object);
        }
        if kind == ObjectKind::Engines {
            let records = objects.into_iter().filter_map(|(_, object)| match object {
                StoreObject::Engine(record) => Some(record),
                _ => None,
            });
            let heartbeat = Duration::from_millis(self.settings.engine_heartbeat_ms);
            let (now, records) = (steady_now(), records.collect());
            if complete {
                self.directory.relist(now, at, records, heartbeat);
            } else {
                self.directory.merge_list(at, records);
            }
            self.engines_listed = true;
            return log::info!(
                "belief=engines count={} lapsed={} complete={complete}",
                self.directory.len(),
                self.directory.lapsed_count()
            );
        }
        if kind == ObjectKind::Retirements && complete {
            self.retirements.clear();
        }
        for (name, object) in objects {
            self.apply_object(kind, &name, object);
        }
        self.record_confirmed(kind, at);
        self.update_retiring_members();
    }

    fn on_changed(&mut self, kind: ObjectKind, at: Time, events: Vec<StoreEvent>) {
        for event in events {
            if let Some(object) = &event.object {
                self.unreadable_entries.record(&self.metrics, kind, object);
            }
            if kind == ObjectKind::Engines {
                if let Some(instance) = self.directory.apply(steady_now(), event) {
                    log::info!("belief=engine-gone instance={instance}");
                }
                continue;
            }
            match event.object {
                Some(object) => self.apply_object(kind, &event.name, object),
                None if kind == ObjectKind::Retirements => {
                    self.retirements.remove(&event.name);
                }
                None => {}
            }
        }
        self.record_confirmed(kind, at);
        self.update_retiring_members();
    }

    /// Records that the store held the known objects of a kind at `at`.
    fn record_confirmed(&mut self, kind: ObjectKind, at: Time) {
        match kind {
            ObjectKind::Engines => self.directory.confirmed_at = at,
            ObjectKind::Configuration => self.configuration_freshness.record_confirmed(at),
            _ => {}
        }
    }

    fn apply_object(&mut self, kind: ObjectKind, name: &str, object: StoreObject) {
        match object {
            StoreObject::Configuration(configuration) => self.apply_configuration(*configuration),
            StoreObject::Version { model, version } => self.apply_version(model, version),
            StoreObject::Retirement {
                node,
                revision,
                stage,
                ..
            } => {
                log::info!("belief=retirement machine={node} stage={stage:?}");
                let retirement = Retirement::new(revision, stage);
                self.retirements.insert(node, retirement);
            }
            StoreObject::Internal { fields, .. } if kind == ObjectKind::Replicas => {
                if let Some(member) = member_from_registration(name, &fields) {
                    self.apply_registration(member);
                }
            }
            _ => {}
        }
    }

    fn apply_configuration(&mut self, configuration: Configuration) {
        if configuration.version > self.configuration.version {
            log::info!(
                "belief=configuration version={} routes={}",
                configuration.version,
                configuration.routes.len()
            );
            let services = configuration.services.keys();
            self.directory.set_services(services);
            self.configuration = configuration;
        }
    }

    fn apply_version(&mut self, model: String, version: u64) {
        let newest = self.versions.entry(model.clone()).or_insert(0);
        if version > *newest {
            *newest = version;
            log::info!("belief=version model={model} version={version}");
            if let Some(coordinator) = &mut self.coordinator {
                coordinator.set_newest_version(&model, version);
            }
        }
    }

    fn apply_registration(&mut self, member: Member) {
        let name = member.name.clone();
        if self
            .membership_planner
            .record_registration(steady_now(), member)
        {
            log::info!("belief=machine name={name} told_by=store");
        }
    }

    pub(super) fn update_retiring_members(&mut self) {
        let names: Vec<String> = self.retirements.keys().cloned().collect();
        let drained = self
            .retirements
            .iter()
            .filter(|(_, retirement)| retirement.reported_stage == RetirementStage::Completed);
        let released: Vec<String> = drained.map(|(name, _)| name.clone()).collect();
        self.membership_planner.set_retiring(&names);
        self.membership_planner.set_released(&released);
    }
}
