//! The decisions, without network or clock: the present time is an argument throughout.

pub mod admit;
pub mod ahead;
pub mod cancel;
pub mod choose;
pub mod eject;
pub mod estimate;
mod evidence;
pub mod fair;
pub mod fit;
mod flow;
pub mod gang;
pub mod lanes;
pub mod order;
pub mod pace;
pub mod place;
pub mod quota;
pub mod rank;
pub mod relay;
pub mod retry;
pub mod shift;
pub mod sound;
mod standing;
pub mod suspect;
pub mod urgent;
mod waiting;
