//! What a scenario can let happen.
//!
//! ```text
//! TARGET: leader | follower | followers | controllers | poolers | controllerN | poolerN
//! INSTANCE: primary | replica
//!
//! kill TARGET                      processes end at once; what they wrote reaches the disk
//! power-loss TARGET                as kill, and writes that were not synced are lost, but for a part
//! crash-restart TARGET             kill, and start at once
//! remove TARGET                    as power-loss, for good until `add`
//! add TARGET                       a removed or spare machine starts
//! wipe-disk TARGET                 power-loss, and the disk is empty afterwards
//! start-all                        everything that is down starts, except removed machines
//! freeze TARGET                    processes stand still; what they receive waits
//! unfreeze-all                     frozen processes go on
//! drain TARGET                     poolers shut down gracefully
//! drain-restart TARGET             poolers shut down gracefully and start again
//! rolling-restart TARGET SECONDS   drain-restart of one pooler after another, this far apart
//! partition TARGET [outbound-only | controllers-only]
//!                                  no messages between the targets and other daemons; or none from the
//!                                  targets; or none between the targets and controllers
//! drop-link TARGET TARGET          no messages from the first to the second
//! heal                             all links work again
//! client-latency MILLISECONDS      one-way latency between clients and poolers
//! stop-clients                     clients begin no more operations
//! change-config                    the operator changes the configuration, and repeats until it is acknowledged
//! change-config-repeatedly COUNT   changes in quick succession
//! send-invalid-configs             the operator sends configurations that must be refused
//! race-config-changes              two operators change the same revision at once
//! rotate-key                       a tenant gets a new API key
//! rate-limit NUMBER | none         operations a second allowed to each tenant
//! crash-instance INSTANCE          the instance ends, and its connections close
//! isolate-instance INSTANCE        the instance neither receives nor sends; its connections stay open
//! isolate-candidates               each instance that the platform accepts to promote is isolated from then until it
//!                                  accepts another
//! recover-instances                instances that are down or isolated work again
//! drain-instance INSTANCE          a new replica starts; the instance drains and ends 8 s later
//! deregister-replica               a new replica starts; another deregisters without draining and ends 9 s later
//! stop-replication                 replicas receive no more commits
//! resume-replication               replicas receive commits again
//! drop-answers                     a sixth of the instances' answers to clients' statements are lost
//! deliver-answers                  answers are lost no more
//! refuse-setup                     instances refuse every other statement that prepares a connection
//! accept-setup                     they refuse none
//! platform up | down | mute        whether the platform's API can be reached; mute: it acts, and no answer arrives
//! measure-traffic                  begins to count what daemons send to each other
//! ```

mod parser;

use std::time::Duration;

/// Daemons that an action applies to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Target {
    /// The leader of the newest term, if there is one.
    Leader,
    /// The first controller that does not lead.
    Follower,
    /// All controllers that do not lead.
    Followers,
    /// All controllers.
    Controllers,
    /// All poolers.
    Poolers,
    /// A controller, by number from 0.
    Controller(usize),
    /// A pooler, by number from 0.
    Pooler(usize),
}

/// A database instance that an action applies to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum InstanceTarget {
    /// The primary of the newest term.
    Primary,
    /// The first replica that is up.
    Replica,
}

/// Which links a partition cuts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PartitionScope {
    /// Both ways between the target and every other daemon.
    AllDaemons,
    /// From the target to every other daemon.
    OutboundOnly,
    /// Both ways between the target and the other controllers; poolers, instances and operators still reach it.
    ControllersOnly,
}

/// How the platform takes calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PlatformState {
    /// It acts and answers.
    Up,
    /// It cannot be reached.
    Down,
    /// It acts, and its answers are lost.
    Mute,
}

/// An action of a scenario. The module's text describes each.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// `kill`
    Kill(Target),
    /// `power-loss`
    PowerLoss(Target),
    /// `crash-restart`
    CrashRestart(Target),
    /// `remove`
    Remove(Target),
    /// `add`
    Add(Target),
    /// `wipe-disk`
    WipeDisk(Target),
    /// `start-all`
    StartAll,
    /// `freeze`
    Freeze(Target),
    /// `unfreeze-all`
    UnfreezeAll,
    /// `drain`
    Drain(Target),
    /// `drain-restart`
    DrainRestart(Target),
    /// `rolling-restart`
    RollingRestart {
        /// The poolers.
        target: Target,
        /// From one pooler's shutdown to the next one's.
        interval: Duration,
    },
    /// `partition`
    Partition {
        /// The daemons cut off.
        target: Target,
        /// From whom.
        scope: PartitionScope,
    },
    /// `drop-link`
    DropLink {
        /// The sender.
        from: Target,
        /// The receiver.
        to: Target,
    },
    /// `heal`
    Heal,
    /// `client-latency`
    SetClientLatency(Duration),
    /// `stop-clients`
    StopClients,
    /// `change-config`
    ChangeConfig,
    /// `change-config-repeatedly`
    ChangeConfigRepeatedly {
        /// Number of changes.
        count: u32,
    },
    /// `send-invalid-configs`
    SendInvalidConfigs,
    /// `race-config-changes`
    RaceConfigChanges,
    /// `rotate-key`
    RotateKey,
    /// `rate-limit`
    SetRateLimit {
        /// Operations a second for each tenant; none for no limit.
        per_second: Option<u32>,
    },
    /// `crash-instance`
    CrashInstance(InstanceTarget),
    /// `isolate-instance`
    IsolateInstance(InstanceTarget),
    /// `isolate-candidates`
    IsolateCandidates,
    /// `recover-instances`
    RecoverInstances,
    /// `drain-instance`
    DrainInstance(InstanceTarget),
    /// `deregister-replica`
    DeregisterReplica,
    /// `stop-replication`
    StopReplication,
    /// `resume-replication`
    ResumeReplication,
    /// `drop-answers`
    DropAnswers,
    /// `deliver-answers`
    DeliverAnswers,
    /// `refuse-setup`
    RefuseSetup,
    /// `accept-setup`
    AcceptSetup,
    /// `platform`
    SetPlatform(PlatformState),
    /// `measure-traffic`
    MeasureTraffic,
}

impl Action {
    /// Whether the action is ordinary operation. Anything else excuses lost requests for a while.
    pub fn is_planned_operation(&self) -> bool {
        matches!(
            self,
            Action::MeasureTraffic
                | Action::ChangeConfig
                | Action::ChangeConfigRepeatedly { .. }
                | Action::SendInvalidConfigs
                | Action::RaceConfigChanges
                | Action::RotateKey
                | Action::SetRateLimit { .. }
                | Action::Add(_)
                | Action::Drain(_)
                | Action::DrainRestart(_)
                | Action::RollingRestart { .. }
                | Action::SetClientLatency(_)
                | Action::StopClients
                | Action::DrainInstance(_)
                | Action::DeregisterReplica
        )
    }
}
