//! Which sources the running program was built from, in log and metrics.

use prometheus::{IntGaugeVec, Opts};

/// Identifies the program.
#[derive(Clone, Copy, Debug)]
pub struct BuildInfo {
    /// Version number.
    pub version: &'static str,
    /// Commit, or `unknown`.
    pub revision: &'static str,
    /// Digest of the sources.
    pub sources: &'static str,
}

impl BuildInfo {
    pub(crate) fn log(&self) {
        log::info!(
            "step=program version={} revision={} sources={} machine={}",
            self.version,
            self.revision,
            self.sources,
            std::env::consts::ARCH
        );
    }

    /// A gauge that is always 1; the labels tell the program.
    pub(crate) fn gauge(&self) -> IntGaugeVec {
        let opts = Opts::new("peatgrade_build_info", "The running program");
        let labels = ["version", "revision", "sources"];
        let gauge = IntGaugeVec::new(opts, &labels).expect("fixed name and labels");
        let values = [self.version, self.revision, self.sources];
        gauge.with_label_values(&values).set(1);
        gauge
    }
}
