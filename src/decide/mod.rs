//! The decisions, without network or clock: the present time is an argument throughout.

pub mod cancel;
pub mod estimate;
mod evidence;
pub mod order;
pub mod quota;
mod standing;
pub mod suspect;
pub mod urgent;
mod waiting;
