//! The troubles of a run, drawn from its seed.

use super::SoakOptions;
use std::fmt;
use std::time::Duration;

/// How long a daemon stands still, in milliseconds.
const FREEZE_MILLIS: std::ops::Range<u64> = 300..3000;
/// How long an instance is out of order, in milliseconds.
const INSTANCE_TROUBLE_MILLIS: std::ops::Range<u64> = 1000..6500;
/// Of this many runs with failures, one has a candidate isolated.
const ISOLATED_CANDIDATE_ODDS: u32 = 2;
/// Draws the isolated candidates from a sequence of their own, so that the other troubles of a seed stay as they were.
const ISOLATED_CANDIDATE_STREAM: u64 = 0x0139;
/// Tenants whose keys may change.
pub(super) const TENANTS: usize = 2;

/// How many processes and clients a run has.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Size {
    /// Three controllers, three poolers, 24 clients.
    Small,
    /// Five controllers, 150 poolers, 300 clients.
    Full,
}

impl Size {
    /// Processes of the control plane.
    pub fn controllers(self) -> usize {
        match self {
            Size::Small => 3,
            Size::Full => 5,
        }
    }

    /// Processes of the data plane.
    pub fn poolers(self) -> usize {
        match self {
            Size::Small => 3,
            Size::Full => 150,
        }
    }

    /// Clients.
    pub fn clients(self) -> usize {
        match self {
            Size::Small => 24,
            Size::Full => 300,
        }
    }

    /// Troubles for each second of the run.
    fn troubles_per_second(self) -> f64 {
        match self {
            Size::Small => 0.8,
            Size::Full => 8.0,
        }
    }

    /// How far apart the restarts of a series are, which takes in all poolers or all controllers, in milliseconds.
    fn series_gap_millis(self) -> std::ops::Range<u64> {
        match self {
            Size::Small => 100..1600,
            Size::Full => 5..100,
        }
    }
}

/// Which troubles may come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TroubleKinds {
    /// Only ordinary operation: signals, restarts and changes, so that LOST is judged throughout.
    Planned,
    /// Failures too.
    All,
}

/// Something that happens to the system.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Trouble {
    /// SIGTERM to a pooler, which starts again after its end; a second SIGTERM if it ends already.
    RestartPooler(usize),
    /// The same for a controller.
    RestartController(usize),
    /// SIGHUP to a pooler.
    ReloadPooler(usize),
    /// SIGHUP to a controller.
    ReloadController(usize),
    /// SIGKILL to a pooler, which starts again.
    KillPooler(usize),
    /// The same for a controller.
    KillController(usize),
    /// A pooler stands still.
    FreezePooler(usize, Duration),
    /// A controller stands still.
    FreezeController(usize, Duration),
    /// The operator changes a route.
    ChangeConfiguration,
    /// The operator changes a tenant's key.
    RotateKey(usize),
    /// The primary ends, and starts again with its log.
    CrashPrimary(Duration),
    /// The same, and the instance that is promoted in its place is isolated until another one is to be promoted.
    IsolateCandidate(Duration),
    /// Instances refuse statements that prepare a connection.
    RefuseSetup(Duration),
    /// Instances' answers get lost.
    DropAnswers(Duration),
}

impl Trouble {
    /// Whether it is ordinary operation, during which no request may be lost.
    pub(super) fn is_planned(&self) -> bool {
        matches!(
            self,
            Trouble::RestartPooler(_)
                | Trouble::RestartController(_)
                | Trouble::ReloadPooler(_)
                | Trouble::ReloadController(_)
                | Trouble::ChangeConfiguration
                | Trouble::RotateKey(_)
        )
    }

    /// How long it lasts.
    pub(super) fn duration(&self) -> Duration {
        match self {
            Trouble::FreezePooler(_, time)
            | Trouble::FreezeController(_, time)
            | Trouble::CrashPrimary(time)
            | Trouble::IsolateCandidate(time)
            | Trouble::RefuseSetup(time)
            | Trouble::DropAnswers(time) => *time,
            Trouble::RestartPooler(_)
            | Trouble::RestartController(_)
            | Trouble::ReloadPooler(_)
            | Trouble::ReloadController(_)
            | Trouble::KillPooler(_)
            | Trouble::KillController(_)
            | Trouble::ChangeConfiguration
            | Trouble::RotateKey(_) => Duration::ZERO,
        }
    }
}

/// A trouble and when it begins, since the first.
#[derive(Debug, Clone, Copy)]
pub(super) struct PlannedTrouble {
    pub(super) at: Duration,
    pub(super) trouble: Trouble,
}

impl fmt::Display for PlannedTrouble {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        write!(formatter, "{:7.3} s {:?}", self.at.as_secs_f64(), self.trouble)
    }
}

/// The troubles of a seed, in order. About a third come in series over all poolers or controllers.
pub(super) fn draw(seed: u64, options: &SoakOptions) -> Vec<PlannedTrouble> {
    let mut draw = Draw { rng: fastrand::Rng::with_seed(seed), size: options.size, kinds: options.kinds };
    let length = options.length.as_millis() as u64;
    let count = (options.length.as_secs_f64() * options.size.troubles_per_second()) as usize;
    let mut troubles = Vec::new();
    while troubles.len() < count {
        let at = Duration::from_millis(draw.rng.u64(0..length));
        match draw.rng.u8(0..12) {
            0..3 => draw.add_series(&mut troubles, at, draw.size.poolers(), Trouble::RestartPooler),
            3 => draw.add_series(&mut troubles, at, draw.size.controllers(), Trouble::RestartController),
            _ => troubles.push(PlannedTrouble { at, trouble: draw.trouble() }),
        }
    }
    troubles.extend(draw_isolated_candidate(seed, options));
    troubles.sort_by_key(|planned| planned.at);
    troubles
}

/// In the first half of a run, so that a second promotion falls into it.
fn draw_isolated_candidate(seed: u64, options: &SoakOptions) -> Option<PlannedTrouble> {
    let mut rng = fastrand::Rng::with_seed(seed ^ ISOLATED_CANDIDATE_STREAM);
    if options.kinds == TroubleKinds::Planned || rng.u32(0..ISOLATED_CANDIDATE_ODDS) != 0 {
        return None;
    }
    let at = Duration::from_millis(rng.u64(0..options.length.as_millis() as u64 / 2));
    let crash = Duration::from_millis(rng.u64(INSTANCE_TROUBLE_MILLIS));
    Some(PlannedTrouble { at, trouble: Trouble::IsolateCandidate(crash) })
}

struct Draw {
    rng: fastrand::Rng,
    size: Size,
    kinds: TroubleKinds,
}

impl Draw {
    fn add_series(
        &mut self,
        troubles: &mut Vec<PlannedTrouble>,
        first: Duration,
        count: usize,
        trouble: impl Fn(usize) -> Trouble,
    ) {
        let gap = Duration::from_millis(self.rng.u64(self.size.series_gap_millis()));
        troubles.extend((0..count).map(|number| {
            let at = first + gap * number as u32;
            PlannedTrouble { at, trouble: trouble(number) }
        }));
    }

    fn trouble(&mut self) -> Trouble {
        if self.kinds == TroubleKinds::Planned || self.rng.bool() { self.planned() } else { self.failure() }
    }

    fn planned(&mut self) -> Trouble {
        let (pooler, controller) = self.daemons();
        match self.rng.u8(0..10) {
            0..4 => Trouble::RestartPooler(pooler),
            4 => Trouble::RestartController(controller),
            5 => Trouble::ReloadPooler(pooler),
            6 => Trouble::ReloadController(controller),
            7 => Trouble::RotateKey(self.rng.usize(0..TENANTS)),
            _ => Trouble::ChangeConfiguration,
        }
    }

    fn failure(&mut self) -> Trouble {
        let (pooler, controller) = self.daemons();
        let freeze = Duration::from_millis(self.rng.u64(FREEZE_MILLIS));
        let instance_trouble = Duration::from_millis(self.rng.u64(INSTANCE_TROUBLE_MILLIS));
        match self.rng.u8(0..8) {
            0 => Trouble::KillPooler(pooler),
            1 => Trouble::KillController(controller),
            2 => Trouble::FreezePooler(pooler, freeze),
            3 => Trouble::FreezeController(controller, freeze),
            4 => Trouble::CrashPrimary(instance_trouble),
            5 | 6 => Trouble::RefuseSetup(instance_trouble),
            _ => Trouble::DropAnswers(instance_trouble),
        }
    }

    fn daemons(&mut self) -> (usize, usize) {
        (self.rng.usize(0..self.size.poolers()), self.rng.usize(0..self.size.controllers()))
    }
}
