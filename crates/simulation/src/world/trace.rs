//! The hash over every event of a run.

use peatgrade_types::hash_pair;

use super::{SimEvent, World};

impl World {
    /// Mixes an event into the trace.
    pub(super) fn note(&mut self, event: &SimEvent) {
        let (kind, detail): (u64, u64) = match event {
            SimEvent::Tick { node, .. } => (1, *node as u64),
            SimEvent::Peer { node, from, body } => {
                let size =
                    quick_protobuf::MessageWrite::get_size(&peatgrade_schema::peer::Envelope {
                        from: from.node.0,
                        generation: from.generation,
                        body: body.clone(),
                    });
                (2, hash_pair(*node as u64, size as u64))
            }
            SimEvent::Call { node, .. } => (3, *node as u64),
            SimEvent::HttpOut { id, .. } => (4, id.0),
            SimEvent::HttpPart { id, .. } => (5, id.0),
            SimEvent::HttpTimeout { id, .. } => (6, id.0),
            SimEvent::Disk { id, .. } => (7, id.0),
            SimEvent::CancelPlatform { id } => (8, id.0),
            SimEvent::PlatformWake => (9, 0),
            SimEvent::ClientDone { result, .. } => (10, u64::from(result.is_ok())),
            SimEvent::ClientTimeout { .. } => (11, 0),
            SimEvent::PlatformCall { .. } => (12, 0),
            SimEvent::WorkloadWake => (13, 0),
            SimEvent::TrainerWake { trainer } => (14, *trainer as u64),
            SimEvent::PlanStep { index } => (15, *index as u64),
            SimEvent::NodeStart { node } => (16, *node as u64),
            SimEvent::NodeResume { node } => (17, *node as u64),
            SimEvent::DiskLimit { limit, .. } => (18, *limit),
            SimEvent::Observe => (19, 0),
            SimEvent::OperatorChange => (20, 0),
        };
        self.trace = hash_pair(hash_pair(self.trace, self.now.0), hash_pair(kind, detail));
    }
}
