//! The decisions, without network or clock: the present time is an argument throughout.

pub mod admit;
pub mod choose;
pub mod eject;
pub mod fair;
mod flow;
pub mod retry;
pub mod shift;
