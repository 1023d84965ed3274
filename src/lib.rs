//! dogwoodreach, a cluster scheduler for unlike workloads.
//!
//! The types and the deciding code stand here; the binary only reads its command line.

pub mod attempts;
pub mod bucket;
mod callers;
pub mod claims;
pub mod cli;
pub mod commands;
pub mod commit;
pub mod config;
pub mod core;
pub mod decide;
mod endpoints;
mod error;
pub mod event;
pub mod gangs;
pub mod http;
pub mod ids;
mod ini;
pub mod jobs;
pub mod kv;
pub mod ledger;
pub mod member;
#[rustfmt::skip]
#[allow(missing_docs, clippy::all)] // generated
#[path = "gen/messages.rs"]
pub mod messages;
pub mod metrics;
pub mod operators;
pub mod ownership;
mod peers;
mod platform;
pub mod racks;
mod ranges;
pub mod requests;
pub mod roll;
mod rpc;
#[rustfmt::skip]
#[allow(missing_docs, dead_code, clippy::all, clippy::unwrap_used)] // generated
#[path = "gen/settings.rs"]
mod schema;
pub mod settings;
pub mod tasks;
pub mod text;
pub mod time;
pub mod units;

pub use crate::{
    error::{Answer, Error, Kind, Ran},
    time::Time,
};
