//! What this daemon tells operators of itself.

use super::Controller;
use std::collections::BTreeMap;
use std::time::Instant;

impl Controller {
    pub fn status(&self, now: Instant) -> serde_json::Value {
        let instances: Vec<_> = self
            .registry
            .all()
            .map(|i| {
                serde_json::json!({"id": i.id, "service": i.service, "address": i.address, "zone": i.zone,
                    "role": if i.primary { "primary" } else { "replica" },
                    "status": if i.gone { "gone" } else if i.draining { "draining" } else { "ready" },
                    "silent-ms": self.registry.silence(now, &i.id).map(|s| s.as_millis() as u64)})
            })
            .collect();
        let epochs: BTreeMap<_, _> = self
            .control_state
            .epochs
            .iter()
            .map(|(s, e)| {
                (
                    s.clone(),
                    serde_json::json!({"epoch": e.epoch, "primary": e.primary, "term": e.term, "closed": e.closed}),
                )
            })
            .collect();
        let leader = self.raft.leader();
        serde_json::json!({
            "node": self.descriptor.name,
            "role": format!("{:?}", self.raft.role()).to_lowercase(),
            "term": self.raft.term(),
            "leader": leader.map(|l| l.ip.to_string()),
            "leader-control": leader.and_then(|l| self.control_of(l.ip)).map(|a| a.to_string()),
            "in-contact": self.has_quorum_contact(now),
            "contact-age-ms": self.raft.last_quorum_contact().map(|at| now.duration_since(at).as_millis() as u64),
            "commit": self.raft.commit_index(),
            "last": self.raft.last_index(),
            "voters": self.raft.voters().iter().map(|v| v.ip.to_string()).collect::<Vec<_>>(),
            "config-revision": self.control_state.revision(),
            "daemons-seen": self.relay.partial_view.descriptors().iter().map(|c| c.name.clone()).collect::<Vec<_>>(),
            "instances": instances,
            "primaries": epochs,
            "drains": self.control_state.draining_instances.len(),
            "shares": self.control_state.pooler_shares,
            "leadership": self.leadership.describe(now),
            "candidate-timeout-ms": self.raft.candidate_timeout().as_millis() as u64,
        })
    }
}
