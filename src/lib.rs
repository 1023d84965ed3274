//! dogwoodreach, a cluster scheduler for unlike workloads.
//!
//! This crate holds all types and the scheduling code; the binary only parses its command line.
//! Start with these modules:
//!
//! - [`text`]: the operators' text, parsed into a [`text::Plan`].
//! - [`core`]: the state of one member; [`event`] defines its inputs and outputs.
//! - [`ownership`], [`racks`], [`jobs`], [`requests`], [`config`]: the parts of that state.
//! - [`decide`]: the scheduling decisions, without network or clock.
//! - [`member`]: the threads of a member, one for each duty.
//! - [`site`]: a member on a site whose store and workers are reached through [`ports`]. [`member_table`]
//!   records which member owns each [`shard`]; [`service_clients`] has the clients of external services.
//!
//! All scheduling code takes the present [`Time`] as an argument, so that tests can control it:
//!
//! ```
//! use dogwoodreach::{
//!     Kind, Time,
//!     decide::{admit::Gate, fair::{Item, Queue}},
//!     ids::{CallerId, RequestId, TeamId},
//! };
//! use std::time::Duration;
//!
//! let mut gate = Gate::new(fastrand::Rng::with_seed(1));
//! let mut queue = Queue::new(1, Duration::from_secs(1));
//! let ask = |id, due| Item {
//!     id: RequestId(id),
//!     caller: CallerId::from("broker"),
//!     team: TeamId::from("underwriting"),
//!     arrived_at: Time::ZERO,
//!     deadline: Time::from_millis(due),
//!     run_time: Duration::from_millis(150),
//! };
//!
//! // The first request is admitted; one that could not end by its deadline is refused at once.
//! assert!(gate.admit(&mut queue, ask(1, 2000), Time::ZERO).is_ok());
//! let late = gate.admit(&mut queue, ask(2, 100), Time::ZERO).unwrap_err();
//! assert_eq!(late.kind(), Kind::Late);
//! assert_eq!(gate.pop(&mut queue, Time::ZERO).map(|i| i.id), Some(RequestId(1)));
//! ```

pub mod attempts;
pub mod bucket;
mod callers;
pub mod cancel_log;
mod cancel_search;
pub mod claims;
pub mod cli;
pub mod client_stream;
mod clock;
pub mod commands;
pub mod commit;
pub mod config;
pub mod connections;
pub mod core;
pub mod customers;
pub mod decide;
pub mod duties;
pub mod effect;
mod endpoints;
mod error;
pub mod event;
pub mod gangs;
mod gate;
pub mod http;
pub mod ids;
mod ini;
mod job_api;
pub mod jobs;
pub mod kv;
pub mod layout;
pub mod ledger;
pub mod logs;
pub mod member;
mod member_rpc;
mod membership;
pub mod server;
pub mod service_health;
mod shard_page;
mod shard_runner;
mod shard_writes;
mod shared_state;
mod wave_driver;
pub mod worker_list;
#[rustfmt::skip]
#[allow(missing_docs, clippy::all)] // generated
#[path = "gen/messages.rs"]
pub mod messages;
pub mod metrics;
pub mod operators;
mod owned_shards;
pub mod ownership;
mod peers;
pub mod ports;
pub mod racks;
mod ranges;
mod relay;
pub mod requests;
mod rpc;
pub mod rpc_clients;
mod table_sync;
pub mod table_view;
mod table_writes;
pub mod vm_cache;
#[rustfmt::skip]
#[allow(missing_docs, dead_code, clippy::all, clippy::unwrap_used)] // generated
#[path = "gen/settings.rs"]
mod schema;
mod kv_session;
pub mod member_table;
mod prefix_watch;
pub mod service_clients;
pub mod settings;
pub mod shard;
pub mod show_shards;
pub mod site;
pub mod tasks;
pub mod text;
pub mod time;
pub mod trace;
pub mod units;
pub mod upkeep;
pub mod usage_exchange;
pub mod work;

pub use crate::{
    error::{Answer, Error, Kind, Ran},
    time::Time,
};
