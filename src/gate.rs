//! Authentication of control calls and operators' calls by the secret of the settings.

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
    /// Creates a gate that admits callers that show `secret`.
    pub fn new(secret: &str, metrics: Arc<Metrics>) -> Self {
        Gate { secret: secret.into(), metrics }
    }

    /// Compares `shown` with the secret, in the same time for all values of the same length.
    pub fn matches(&self, shown: &[u8]) -> bool {
        self.secret.as_bytes().ct_eq(shown).into()
    }

    /// The secret to be sent to a peer.
    pub fn show(&self) -> &str {
        &self.secret
    }

    /// The metrics in which refused calls are counted.
    pub fn metrics(&self) -> &Arc<Metrics> {
        &self.metrics
    }

    /// Counts a refused call.
    pub fn refused(&self) {
        self.metrics.count_refusal(Kind::Unauthorized);
    }
}
