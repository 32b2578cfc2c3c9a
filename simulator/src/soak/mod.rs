//! A soak: the real programs on loopback addresses and the real clock, with stand-ins for the database, the platform, the
//! operator and the clients. Troubles are drawn from a seed, come in series and overlap; the judge of the scenarios
//! checks what comes of it.
//!
//! - `plan`: which troubles, and when.
//! - `addresses`, `deployment`, `settings`: the daemons' processes.
//! - `instances`: the database group and the platform's API.
//! - `entry`: which poolers the platform sends new clients to.
//! - `operator`: configurations and keys.
//! - `client`, `operation`, `wire`: clients.
//! - `observations`: what happened, and which rules were broken.

mod addresses;
mod client;
mod deployment;
mod entry;
mod instances;
mod observations;
mod operation;
mod operator;
mod plan;
mod platform;
mod settings;
mod wire;

pub use deployment::DeploymentError;
pub use plan::{Size, TroubleKinds};

use addresses::Addresses;
use deployment::{Deployment, Role};
use entry::Entry;
use instances::InstanceGroup;
use lichenfield_runtime::signals::{self, ProcessSignal, ProcessSignals};
use lichenfield_runtime::{Executor, Shared, shared};
use observations::Observations;
use operator::Operator;
use plan::{PlannedTrouble, Trouble};
use std::path::PathBuf;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Until all poolers are ready after their first start.
const START_TIMEOUT: Duration = Duration::from_secs(30);
/// From the first client to the first trouble.
const CALM_BEFORE: Duration = Duration::from_secs(2);
/// After the last trouble has ended, within this time everything is served again.
const RECOVERY_TIME: Duration = Duration::from_secs(12);
/// Over this time, at the end, it is checked that it is.
const FINAL_CHECK_TIME: Duration = Duration::from_secs(3);
/// Daemons write their logs out within this time.
const LOG_DUMP_TIME: Duration = Duration::from_millis(500);
/// Exit code after SIGTERM or Ctrl-C.
const EXIT_INTERRUPTED: i32 = 2;
/// How often daemons are looked after.
const SUPERVISION_INTERVAL: Duration = Duration::from_millis(10);

/// What to run.
#[derive(Debug, Clone)]
pub struct SoakOptions {
    /// The folder of the daemons' programs.
    pub programs: PathBuf,
    /// How many processes and clients.
    pub size: Size,
    /// Which troubles may come.
    pub kinds: TroubleKinds,
    /// The time over which troubles come.
    pub length: Duration,
}

/// How a run ended.
#[derive(Debug)]
pub struct SoakReport {
    /// Operations that succeeded.
    pub succeeded: usize,
    /// Operations begun.
    pub operations: usize,
    /// Troubles that came.
    pub troubles: usize,
    /// Rules that were broken, in words; empty if all held.
    pub violations: Vec<String>,
    /// The daemons' logs, if a rule was broken.
    pub folder: PathBuf,
}

/// What the parts of a soak share.
pub(crate) struct Soak {
    executor: Executor,
    deployment: Shared<Deployment>,
    observations: Shared<Observations>,
    instances: Rc<InstanceGroup>,
    entry: Rc<Entry>,
    operator: Rc<Operator>,
}

/// Prints what a seed's troubles are.
pub fn describe_plan(seed: u64, options: &SoakOptions) -> Vec<String> {
    plan::draw(seed, options).iter().map(ToString::to_string).collect()
}

/// Runs one seed.
pub fn run(seed: u64, options: &SoakOptions) -> Result<SoakReport, DeploymentError> {
    lichenfield_runtime::run(|executor| run_seed(executor, seed, options.clone()))
}

async fn run_seed(executor: Executor, seed: u64, options: SoakOptions) -> Result<SoakReport, DeploymentError> {
    let troubles = plan::draw(seed, &options);
    let soak = Soak::start(executor, seed, &options).await?;
    soak.start_clients(seed, options.size.clients());
    smol::Timer::after(CALM_BEFORE).await;
    soak.make_trouble(&troubles).await;
    soak.check_recovery().await;
    Ok(soak.finish(troubles.len()).await)
}

/// Ends all daemons when the soak itself is to end.
async fn end_on_signal(deployment: Shared<Deployment>) {
    let handler = move |signal| {
        if signal == ProcessSignal::Terminate {
            deployment.borrow_mut().end(false);
            std::process::exit(EXIT_INTERRUPTED);
        }
    };
    signals::watch(ProcessSignals::register(), handler).await;
}

impl Soak {
    /// Starts everything and waits until all poolers are ready.
    async fn start(executor: Executor, seed: u64, options: &SoakOptions) -> Result<Rc<Soak>, DeploymentError> {
        let addresses = Addresses::find()?;
        let observations = shared(Observations::new());
        let instances = InstanceGroup::start(executor, addresses, Rc::clone(&observations), seed)?;
        let deployment = shared(Deployment::start(addresses, options)?);
        let poolers = (0..options.size.poolers()).map(|number| addresses.readiness(number)).collect();
        let entry = Entry::start(executor, poolers);
        let operator = Rc::new(Operator::new(executor, addresses, Rc::clone(&observations), options.size));
        executor.spawn(Rc::clone(&operator).run_changes()).detach();
        executor.spawn(end_on_signal(Rc::clone(&deployment))).detach();
        let soak = Rc::new(Soak { executor, deployment, observations, instances, entry, operator });
        executor.spawn(Rc::clone(&soak).supervise()).detach();
        let began = Instant::now();
        soak.operator.put_first_configuration().await;
        while !soak.entry.all_ready() {
            if began.elapsed() > START_TIMEOUT {
                return Err(DeploymentError::NotReady);
            }
            smol::Timer::after(SUPERVISION_INTERVAL).await;
        }
        Ok(soak)
    }

    fn start_clients(self: &Rc<Self>, seed: u64, count: usize) {
        for number in 0..count {
            self.executor.spawn(client::run(Rc::clone(self), number, seed)).detach();
        }
    }

    /// Looks after the daemons as the platform does.
    async fn supervise(self: Rc<Self>) {
        loop {
            self.look_after_daemons();
            smol::Timer::after(SUPERVISION_INTERVAL).await;
        }
    }

    fn look_after_daemons(&self) {
        let incidents = self.deployment.borrow_mut().supervise();
        let mut observations = self.observations.borrow_mut();
        incidents.into_iter().for_each(|incident| observations.report(incident));
    }

    async fn make_trouble(self: &Rc<Self>, troubles: &[PlannedTrouble]) {
        let began = Instant::now();
        for planned in troubles {
            smol::Timer::after(planned.at.saturating_sub(began.elapsed())).await;
            self.observations.borrow_mut().note_trouble(&planned.trouble);
            self.begin(planned.trouble);
        }
        let longest = troubles.iter().map(|planned| planned.trouble.duration()).max().unwrap_or_default();
        smol::Timer::after(longest).await;
    }

    /// Begins a trouble; one that lasts ends by itself.
    fn begin(self: &Rc<Self>, trouble: Trouble) {
        let mut deployment = self.deployment.borrow_mut();
        match trouble {
            Trouble::RestartPooler(number) => deployment.terminate(Role::Pooler, number),
            Trouble::RestartController(number) => deployment.terminate(Role::Controller, number),
            Trouble::ReloadPooler(number) => deployment.reload(Role::Pooler, number),
            Trouble::ReloadController(number) => deployment.reload(Role::Controller, number),
            Trouble::KillPooler(number) => deployment.kill(Role::Pooler, number),
            Trouble::KillController(number) => deployment.kill(Role::Controller, number),
            Trouble::FreezePooler(number, time) => self.freeze(&mut deployment, Role::Pooler, number, time),
            Trouble::FreezeController(number, time) => self.freeze(&mut deployment, Role::Controller, number, time),
            Trouble::ChangeConfiguration => self.operator.change_configuration(),
            Trouble::RotateKey(tenant) => self.operator.rotate_key(tenant),
            Trouble::IsolateCandidate(time) => self.instances.isolate_candidate(time),
            Trouble::CrashPrimary(time) => self.instances.crash_primary(time),
            Trouble::RefuseSetup(time) => self.instances.refuse_setup(time),
            Trouble::DropAnswers(time) => self.instances.drop_answers(time),
        }
    }

    fn freeze(self: &Rc<Self>, deployment: &mut Deployment, role: Role, number: usize, time: Duration) {
        deployment.freeze(role, number);
        let soak = Rc::clone(self);
        let thaw = async move {
            smol::Timer::after(time).await;
            soak.deployment.borrow_mut().thaw(role, number);
        };
        self.executor.spawn(thaw).detach();
    }

    /// With everything sound again, everything is served.
    async fn check_recovery(&self) {
        smol::Timer::after(RECOVERY_TIME).await;
        let before = self.observations.borrow().progress();
        smol::Timer::after(FINAL_CHECK_TIME).await;
        self.observations.borrow_mut().check_served_since(before);
    }

    async fn finish(&self, troubles: usize) -> SoakReport {
        self.observations.borrow_mut().check_writes();
        let violations = self.observations.borrow().violations();
        let progress = self.observations.borrow().progress();
        let folder = self.deployment.borrow().folder().to_owned();
        if !violations.is_empty() {
            self.deployment.borrow().dump_logs();
            smol::Timer::after(LOG_DUMP_TIME).await;
        }
        self.deployment.borrow_mut().end(violations.is_empty());
        SoakReport { succeeded: progress.succeeded, operations: progress.operations, troubles, violations, folder }
    }
}
