//! dogwoodreach, a cluster scheduler for unlike workloads.
//!
//! The types and the deciding code stand here; the binary only reads its command line.

pub mod cli;
pub mod decide;
mod error;
#[rustfmt::skip]
#[allow(missing_docs, clippy::all)] // generated
#[path = "gen/messages.rs"]
pub mod messages;
pub mod ids;
mod ini;
#[rustfmt::skip]
#[allow(missing_docs, dead_code, clippy::all, clippy::unwrap_used)] // generated
#[path = "gen/settings.rs"]
mod schema;
pub mod settings;
pub mod text;
pub mod time;
pub mod units;

pub use crate::{
    error::{Answer, Error, Kind, Ran},
    time::Time,
};
