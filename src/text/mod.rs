//! The operators' text: parsed, checked and compared.
//!
//! A text is an INI file of sections like `[pool NAME]`. It is accepted or refused as a whole, with
//! the line, cause and remedy of every fault, so that a text is never in force in part. Parsing
//! takes time proportional to the text's length.

mod check;
mod diff;
mod keys;
mod moved;
mod places;
mod plan;
mod read;

pub(crate) use self::keys::duration;
pub use {
    self::{
        diff::diff,
        plan::{Job, JobKind, Plan, Pool, Service, Team},
    },
    crate::ini::{
        Fault, MAX_FAULTS, MAX_NAME_BYTES, MAX_RECORD_BYTES, MAX_TEXT_BYTES, MAX_VALUE_BYTES,
    },
};
