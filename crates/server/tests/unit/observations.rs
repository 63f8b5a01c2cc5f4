//! Sharing of engine observations can be disabled by a setting.

use super::ObservationSharing;
use crate::metrics::Metrics;
use crate::settings::ServerSettings;
use peatgrade_fleet::EngineDirectory;
use peatgrade_ports::{EngineRecord, Instance};
use peatgrade_schema::replication::EngineObservation;
use peatgrade_types::Time;
use rstest::rstest;

const NOW: Time = Time(100_000_000);

fn settings(share: &str) -> ServerSettings {
    let text = format!(
        r#"
        name = "gateway-1"
        zone = "a"
        peer_address = "10.0.0.1:7700"
        store_address = "10.0.0.9:8000"
        {share}
        "#
    );
    toml::from_str(&text).expect("valid settings")
}

/// Returns a directory with two engines, of which "lost" has a local failure.
fn directory() -> EngineDirectory {
    let mut directory = EngineDirectory::default();
    let records = ["lost", "told"].map(|name| EngineRecord {
        instance: Instance(name.into()),
        ..EngineRecord::default()
    });
    directory.replace(NOW, records.to_vec());
    let lost = directory.get_mut(&Instance("lost".into()));
    lost.expect("listed").stats.record_failure(NOW);
    directory
}

#[rstest]
#[case::default("", 1)]
#[case::disabled("share_observations = false", 0)]
fn sharing_can_be_disabled(#[case] setting: &str, #[case] expected: usize) {
    let mut sharing = ObservationSharing::new(&settings(setting));
    let (metrics, mut directory) = (Metrics::new(), directory());
    assert_eq!(sharing.collect(NOW, &directory).len(), expected);
    assert_eq!(sharing.take_outgoing(NOW, &metrics).len(), expected);
    let message = EngineObservation {
        engine: "told".into(),
        source: "leader".into(),
        failures: 1,
        ..EngineObservation::default()
    };
    let taken = sharing.receive(NOW, &[message], &mut directory, &metrics);
    assert_eq!(taken.accepted.len(), expected);
    assert_eq!(taken.health_changes.len(), expected);
}
