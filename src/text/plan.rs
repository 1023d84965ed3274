//! The content of a parsed text: pools, teams, services and jobs.

use {
    crate::{
        ids::{JobId, PoolId, ServiceId, TeamId},
        units::Size,
    },
    std::{collections::BTreeMap, time::Duration},
};

/// A parsed and checked text: every name that it refers to is declared in it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Plan {
    /// The pools of workers.
    pub pools: BTreeMap<PoolId, Pool>,
    /// The teams.
    pub teams: BTreeMap<TeamId, Team>,
    /// The services that callers request.
    pub services: BTreeMap<ServiceId, Service>,
    /// The jobs; a job and a service never share a name.
    pub jobs: BTreeMap<JobId, Job>,
}

/// A pool of identical workers, under its name in the platform's list of VMs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Pool {
    /// The size of one worker.
    pub size: Size,
    /// How many workers the pool has.
    pub workers: u32,
    /// How many requests a worker runs at once.
    pub slots: u32,
    /// How many connections a worker accepts.
    pub connections: u32,
}

/// A team, which owns services and jobs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Team {
    /// Its share of a pool, relative to the weights of other teams.
    pub weight: u32,
    /// The maximum that its tasks may use at once; none means no limit.
    pub quota: Option<Size>,
}

/// A service, called by requests and served by the workers of its pool.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Service {
    /// The team that owns it.
    pub team: TeamId,
    /// The pool whose workers serve it.
    pub pool: PoolId,
    /// How long a request may take, including the wait in the queue.
    pub deadline: Duration,
    /// How long a request is expected to run.
    pub run: Duration,
    /// The services and jobs that it depends on.
    pub after: Vec<Box<str>>,
}

/// How the tasks of a job run together.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub enum JobKind {
    /// Tasks that run without end; each is replaced when it ends.
    #[display("replicas")]
    Replicas,
    /// Tasks that end and are independent of each other.
    #[display("batch")]
    Batch,
    /// Tasks that run all at the same time or not at all.
    #[display("gang")]
    Gang,
}

/// A job: a number of identical tasks.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Job {
    /// How its tasks run together.
    pub kind: JobKind,
    /// The team that owns it.
    pub team: TeamId,
    /// The pool whose workers run it.
    pub pool: PoolId,
    /// How many tasks it has.
    pub tasks: u32,
    /// The size of one task.
    pub size: Size,
    /// How long a task is declared to run; zero means without end, as for replicas.
    pub run: Duration,
    /// The time by which the job must have ended, counted from the text's acceptance.
    pub deadline: Option<Duration>,
    /// Its priority among the jobs of its team; higher starts first.
    pub priority: u32,
    /// Whether it may preempt other work to start at once.
    pub urgent: bool,
    /// The services and jobs that it depends on.
    pub after: Vec<Box<str>>,
}
