//! Parses actions.

use super::{Action, InstanceTarget, PartitionScope, PlatformState, Target};
use crate::scenario::{ScenarioError, Words};

impl Action {
    /// Parses an action's name and arguments, which are the next words of the line.
    pub fn parse(words: &mut Words) -> Result<Self, ScenarioError> {
        let name = words.require("an action")?;
        Ok(match name.text {
            "kill" => Action::Kill(Target::parse(words)?),
            "power-loss" => Action::PowerLoss(Target::parse(words)?),
            "crash-restart" => Action::CrashRestart(Target::parse(words)?),
            "remove" => Action::Remove(Target::parse(words)?),
            "add" => Action::Add(Target::parse(words)?),
            "wipe-disk" => Action::WipeDisk(Target::parse(words)?),
            "start-all" => Action::StartAll,
            "freeze" => Action::Freeze(Target::parse(words)?),
            "unfreeze-all" => Action::UnfreezeAll,
            "drain" => Action::Drain(Target::parse(words)?),
            "drain-restart" => Action::DrainRestart(Target::parse(words)?),
            "rolling-restart" => {
                Action::RollingRestart { target: Target::parse(words)?, interval: words.require_seconds()? }
            }
            "partition" => Action::Partition { target: Target::parse(words)?, scope: PartitionScope::parse(words)? },
            "drop-link" => Action::DropLink { from: Target::parse(words)?, to: Target::parse(words)? },
            "heal" => Action::Heal,
            "client-latency" => Action::SetClientLatency(words.require_milliseconds()?),
            "stop-clients" => Action::StopClients,
            "change-config" => Action::ChangeConfig,
            "change-config-repeatedly" => Action::ChangeConfigRepeatedly { count: words.require_number()? },
            "send-invalid-configs" => Action::SendInvalidConfigs,
            "race-config-changes" => Action::RaceConfigChanges,
            "rotate-key" => Action::RotateKey,
            "rate-limit" => Action::SetRateLimit { per_second: parse_limit(words)? },
            "crash-instance" => Action::CrashInstance(InstanceTarget::parse(words)?),
            "isolate-instance" => Action::IsolateInstance(InstanceTarget::parse(words)?),
            "isolate-candidates" => Action::IsolateCandidates,
            "recover-instances" => Action::RecoverInstances,
            "drain-instance" => Action::DrainInstance(InstanceTarget::parse(words)?),
            "deregister-replica" => Action::DeregisterReplica,
            "stop-replication" => Action::StopReplication,
            "resume-replication" => Action::ResumeReplication,
            "drop-answers" => Action::DropAnswers,
            "deliver-answers" => Action::DeliverAnswers,
            "refuse-setup" => Action::RefuseSetup,
            "accept-setup" => Action::AcceptSetup,
            "platform" => Action::SetPlatform(PlatformState::parse(words)?),
            "measure-traffic" => Action::MeasureTraffic,
            other => return Err(name.error(format!("unknown action \"{other}\""))),
        })
    }
}

impl Target {
    fn parse(words: &mut Words) -> Result<Self, ScenarioError> {
        let word = words.require("a target")?;
        let unknown = || word.error(format!("unknown target \"{}\"", word.text));
        Ok(match word.text {
            "leader" => Target::Leader,
            "follower" => Target::Follower,
            "followers" => Target::Followers,
            "controllers" => Target::Controllers,
            "poolers" => Target::Poolers,
            text => {
                if let Some(number) = text.strip_prefix("controller") {
                    Target::Controller(number.parse().map_err(|_| unknown())?)
                } else {
                    let number = text.strip_prefix("pooler").ok_or_else(unknown)?;
                    Target::Pooler(number.parse().map_err(|_| unknown())?)
                }
            }
        })
    }
}

impl InstanceTarget {
    fn parse(words: &mut Words) -> Result<Self, ScenarioError> {
        let word = words.require("\"primary\" or \"replica\"")?;
        match word.text {
            "primary" => Ok(InstanceTarget::Primary),
            "replica" => Ok(InstanceTarget::Replica),
            _ => Err(word.error("\"primary\" or \"replica\" expected")),
        }
    }
}

impl PartitionScope {
    fn parse(words: &mut Words) -> Result<Self, ScenarioError> {
        let Some(word) = words.next_word() else { return Ok(PartitionScope::AllDaemons) };
        match word.text {
            "outbound-only" => Ok(PartitionScope::OutboundOnly),
            "controllers-only" => Ok(PartitionScope::ControllersOnly),
            _ => Err(word.error("\"outbound-only\" or \"controllers-only\" expected")),
        }
    }
}

impl PlatformState {
    fn parse(words: &mut Words) -> Result<Self, ScenarioError> {
        let word = words.require("\"up\", \"down\" or \"mute\"")?;
        match word.text {
            "up" => Ok(PlatformState::Up),
            "down" => Ok(PlatformState::Down),
            "mute" => Ok(PlatformState::Mute),
            _ => Err(word.error("\"up\", \"down\" or \"mute\" expected")),
        }
    }
}

fn parse_limit(words: &mut Words) -> Result<Option<u32>, ScenarioError> {
    let word = words.require("a number or \"none\"")?;
    match word.text {
        "none" => Ok(None),
        _ => word.parse("a number or \"none\"").map(Some),
    }
}
