//! Conversion between store objects and the messages that carry them between processes.

use peatgrade_authentication::{KeyDigest, Tenant, Tenants};
use peatgrade_ports::{
    Configuration, EngineRecord, Instance, Limits, ObjectKind, Route, RouteKind, Service,
    StartedAt, StoreObject, Target,
};
use peatgrade_schema::replication::mod_MirroredObject::OneOfbody;
use peatgrade_schema::replication::{
    MirroredConfiguration, MirroredEngine, MirroredKindName, MirroredModel, MirroredObject,
    MirroredRoute, MirroredRouteKind, MirroredService, MirroredTarget, MirroredTenant,
};
use peatgrade_types::Duration;

/// The name of a kind on the wire; none if the kind is not mirrored.
pub(crate) fn kind_name(kind: ObjectKind) -> Option<MirroredKindName> {
    match kind {
        ObjectKind::Configuration => Some(MirroredKindName::CONFIGURATION),
        ObjectKind::Engines => Some(MirroredKindName::ENGINES),
        ObjectKind::Versions => Some(MirroredKindName::VERSIONS),
        _ => None,
    }
}

pub(crate) fn kind_from_name(name: MirroredKindName) -> ObjectKind {
    match name {
        MirroredKindName::CONFIGURATION => ObjectKind::Configuration,
        MirroredKindName::ENGINES => ObjectKind::Engines,
        MirroredKindName::VERSIONS => ObjectKind::Versions,
    }
}

/// Encodes an object; none if its kind is not mirrored or it could not be parsed. The
/// machine that read an unparsable object has logged it.
pub(crate) fn encode_object(name: &str, object: &StoreObject) -> Option<MirroredObject> {
    let body = match object {
        StoreObject::Configuration(configuration) => {
            OneOfbody::configuration(encode_configuration(configuration))
        }
        StoreObject::Engine(record) => OneOfbody::engine(encode_engine(record)),
        StoreObject::Version { model, version } => OneOfbody::version(MirroredModel {
            name: model.clone(),
            version: *version,
        }),
        _ => return None,
    };
    Some(MirroredObject {
        name: name.to_string(),
        body,
    })
}

/// A message that reports an object as deleted.
pub(crate) fn encode_deletion(name: &str) -> MirroredObject {
    MirroredObject {
        name: name.to_string(),
        body: OneOfbody::None,
    }
}

/// The name of an object and its new state; none if it was deleted.
pub(crate) fn decode_object(message: MirroredObject) -> (String, Option<StoreObject>) {
    let object = match message.body {
        OneOfbody::configuration(configuration) => Some(StoreObject::Configuration(Box::new(
            decode_configuration(configuration),
        ))),
        OneOfbody::engine(engine) => Some(StoreObject::Engine(decode_engine(
            message.name.clone(),
            engine,
        ))),
        OneOfbody::version(version) => Some(StoreObject::Version {
            model: version.name,
            version: version.version,
        }),
        OneOfbody::None => None,
    };
    (message.name, object)
}

fn encode_engine(record: &EngineRecord) -> MirroredEngine {
    let models = record.models.iter();
    MirroredEngine {
        started: record.started.map_or(0, |started| started.0),
        service: record.service.clone(),
        address: record.address.clone(),
        zone: record.zone.clone(),
        slots: u64::from(record.slots),
        draining: record.draining,
        models: models
            .map(|(name, version)| MirroredModel {
                name: name.clone(),
                version: *version,
            })
            .collect(),
    }
}

fn decode_engine(instance: String, engine: MirroredEngine) -> EngineRecord {
    let models = engine.models.into_iter();
    EngineRecord {
        instance: Instance(instance),
        started: Some(engine.started).filter(|at| *at > 0).map(StartedAt),
        service: engine.service,
        address: engine.address,
        zone: engine.zone,
        slots: saturating_u32(engine.slots),
        draining: engine.draining,
        models: models.map(|model| (model.name, model.version)).collect(),
    }
}

fn encode_configuration(configuration: &Configuration) -> MirroredConfiguration {
    let limits = &configuration.limits;
    MirroredConfiguration {
        version: configuration.version,
        routes: configuration.routes.iter().map(encode_route).collect(),
        services: configuration
            .services
            .values()
            .map(encode_service)
            .collect(),
        head_bytes: limits.max_header_bytes as u64,
        body_bytes: limits.max_body_bytes as u64,
        head_time: limits.header_timeout.0,
        idle_time: limits.idle_timeout.0,
        tenants: configuration.tenants.iter().map(encode_tenant).collect(),
    }
}

fn decode_configuration(message: MirroredConfiguration) -> Configuration {
    let routes: Vec<Route> = message.routes.into_iter().map(decode_route).collect();
    let services = message.services.into_iter().map(decode_service);
    Configuration {
        version: message.version,
        routes: routes.into(),
        services: services.map(|s| (s.name.clone(), s)).collect(),
        limits: Limits {
            max_header_bytes: message.head_bytes as usize,
            max_body_bytes: message.body_bytes as usize,
            header_timeout: Duration(message.head_time),
            idle_timeout: Duration(message.idle_time),
        },
        tenants: decode_tenants(message.tenants),
    }
}

fn encode_tenant(tenant: &Tenant) -> MirroredTenant {
    MirroredTenant {
        name: tenant.name.clone(),
        key_digests: tenant.keys.iter().map(|key| key.to_bytes()).collect(),
        has_priority: tenant.priority.is_some(),
        priority: tenant.priority.map_or(0, u64::from),
    }
}

/// Skips validation: the sender has validated the set of tenants.
fn decode_tenants(messages: Vec<MirroredTenant>) -> Tenants {
    let tenants = messages.into_iter().map(|message| Tenant {
        name: message.name,
        keys: message
            .key_digests
            .iter()
            .filter_map(|digest| KeyDigest::from_bytes(digest))
            .collect(),
        priority: message
            .has_priority
            .then(|| saturating_u32(message.priority)),
    });
    Tenants::from_validated(tenants.collect())
}

fn encode_route(route: &Route) -> MirroredRoute {
    let targets = route.targets.iter().map(|target| MirroredTarget {
        service: target.service.clone(),
        weight: u64::from(target.weight),
    });
    MirroredRoute {
        name: route.name.clone(),
        host: route.host.clone(),
        prefix: route.prefix.clone(),
        kind: match route.kind {
            RouteKind::Safe => MirroredRouteKind::SAFE,
            RouteKind::Unsafe => MirroredRouteKind::UNSAFE,
            RouteKind::Streaming => MirroredRouteKind::STREAMING,
            RouteKind::Batch => MirroredRouteKind::BATCH,
        },
        timeout: route.timeout.0,
        target_latency: route.target_latency.0,
        priority: u64::from(route.priority),
        targets: targets.collect(),
        max_attempts: u64::from(route.max_attempts),
        resumable: route.resumable,
        max_queue: route.max_queue.0,
        result_deadline: route.result_deadline.0,
        single_version: route.single_version,
        public: route.public,
    }
}

fn decode_route(message: MirroredRoute) -> Route {
    let targets = message.targets.into_iter().map(|target| Target {
        service: target.service,
        weight: saturating_u32(target.weight),
    });
    Route {
        name: message.name,
        host: message.host,
        prefix: message.prefix,
        kind: match message.kind {
            MirroredRouteKind::SAFE => RouteKind::Safe,
            MirroredRouteKind::UNSAFE => RouteKind::Unsafe,
            MirroredRouteKind::STREAMING => RouteKind::Streaming,
            MirroredRouteKind::BATCH => RouteKind::Batch,
        },
        timeout: Duration(message.timeout),
        target_latency: Duration(message.target_latency),
        priority: saturating_u32(message.priority),
        targets: targets.collect(),
        max_attempts: saturating_u32(message.max_attempts),
        resumable: message.resumable,
        max_queue: Duration(message.max_queue),
        result_deadline: Duration(message.result_deadline),
        single_version: message.single_version,
        public: message.public,
    }
}

fn encode_service(service: &Service) -> MirroredService {
    MirroredService {
        name: service.name.clone(),
        health_path: service.health_path.clone(),
        max_connections: u64::from(service.max_connections),
        slots: u64::from(service.slots),
        memory_tokens: service.memory_tokens,
        models: service.models.clone(),
    }
}

fn decode_service(message: MirroredService) -> Service {
    Service {
        name: message.name,
        health_path: message.health_path,
        max_connections: saturating_u32(message.max_connections),
        slots: saturating_u32(message.slots),
        memory_tokens: message.memory_tokens,
        models: message.models,
    }
}

/// Converts a wire integer back to the 32 bits that it had before encoding.
fn saturating_u32(value: u64) -> u32 {
    u32::try_from(value).unwrap_or(u32::MAX)
}
