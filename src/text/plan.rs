//! What a text says, once read: pools, teams, services and jobs.

use {
    crate::{
        ids::{JobId, PoolId, ServiceId, TeamId},
        units::Size,
    },
    std::{collections::BTreeMap, time::Duration},
};

/// A whole text, checked: every name that stands in it is declared in it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Plan {
    /// The pools of workers.
    pub pools: BTreeMap<PoolId, Pool>,
    /// The teams.
    pub teams: BTreeMap<TeamId, Team>,
    /// The services that requests call.
    pub services: BTreeMap<ServiceId, Service>,
    /// The jobs; no job has the name of a service.
    pub jobs: BTreeMap<JobId, Job>,
}

/// A pool of alike workers, as the platform's list of VMs names it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Pool {
    /// What one worker has.
    pub size: Size,
    /// How many workers the pool has.
    pub workers: u32,
    /// How many requests a worker runs at once.
    pub slots: u32,
    /// How many connections a worker takes.
    pub connections: u32,
}

/// A team, to which services and jobs belong.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Team {
    /// Its share, relative to the other teams'.
    pub weight: u32,
    /// The most that its tasks may use at once; none: no limit.
    pub quota: Option<Size>,
}

/// A service, called by requests and served by the workers of its pool.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Service {
    /// Whose it is.
    pub team: TeamId,
    /// Whose workers serve it.
    pub pool: PoolId,
    /// How long a request may take, waiting included.
    pub deadline: Duration,
    /// How long a request is expected to run.
    pub run: Duration,
    /// The services and jobs that it depends on.
    pub after: Vec<Box<str>>,
}

/// How the tasks of a job belong together.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub enum JobKind {
    /// Tasks that run for ever, each of them replaced when it ends.
    #[display("replicas")]
    Replicas,
    /// Tasks that end, each of them of use by itself.
    #[display("batch")]
    Batch,
    /// Tasks that run all at once or not at all.
    #[display("gang")]
    Gang,
}

/// A job: so many alike tasks.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Job {
    /// How its tasks belong together.
    pub kind: JobKind,
    /// Whose it is.
    pub team: TeamId,
    /// On whose workers it runs.
    pub pool: PoolId,
    /// How many tasks it has.
    pub tasks: u32,
    /// What one task needs.
    pub size: Size,
    /// How long a task is declared to run; zero: for ever, as replicas do.
    pub run: Duration,
    /// By when it must have ended, counted from the text's acceptance.
    pub deadline: Option<Duration>,
    /// Its place among the jobs of its team; higher goes first.
    pub priority: u32,
    /// Whether it may take the place of other work, to start at once.
    pub urgent: bool,
    /// The services and jobs that it depends on.
    pub after: Vec<Box<str>>,
}
