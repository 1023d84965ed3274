//! Who may make control calls and operators' calls: whoever shows the secret of the settings.

use {
    crate::{error::Kind, metrics::Metrics},
    std::sync::Arc,
    subtle::ConstantTimeEq,
};

/// The secret that peers and operators must show.
#[derive(Clone)]
pub(crate) struct Gate {
    secret: Arc<str>,
    metrics: Arc<Metrics>,
}

impl Gate {
    /// A gate that admits who shows `secret`.
    pub fn new(secret: &str, metrics: Arc<Metrics>) -> Self {
        Gate { secret: secret.into(), metrics }
    }

    /// Whether `shown` is the secret; takes as long for each guess of the same length.
    pub fn matches(&self, shown: &[u8]) -> bool {
        self.secret.as_bytes().ct_eq(shown).into()
    }

    /// The secret, to be shown to a peer.
    pub fn show(&self) -> &str {
        &self.secret
    }

    /// Counts a refusal.
    pub fn refused(&self) {
        self.metrics.refused(Kind::Unauthorized);
    }
}
