//! The operators' text: read, checked and compared.
//!
//! A text is an INI file of sections like `[pool NAME]`. It is taken whole or refused whole, with
//! every fault's line, cause and remedy, so that what is in force never is half of what was meant.
//! Reading takes time in proportion to the text's length.

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
