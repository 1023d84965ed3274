//! Decides by a call's API key whose call it is.

use {
    super::{CallerRequest, JobApi},
    crate::{
        error::{Error, Kind},
        ids::CustomerId,
        shared_state::Config,
        work::Queue,
    },
};

impl JobApi {
    /// Returns the customer that makes a call by this configuration; `None` if the queue is public or
    /// the deployment has no customers.
    ///
    /// Errs with [`Kind::Unauthorized`] if the call has no key, a malformed one, or one that the
    /// configuration doesn't hold. As the configuration known here may lack a new key, the call errs
    /// with [`Kind::Stale`] instead if this configuration may have been replaced too long ago.
    pub(super) fn authorize(
        &self,
        request: &CallerRequest,
        queue: &Queue,
        config: &Config,
    ) -> Result<Option<CustomerId>, Error> {
        let Some(customers) = config.queues.customers.as_ref().filter(|_| !queue.public) else {
            return Ok(None);
        };
        let found = request.key.clone().and_then(|key| {
            let unknown = || Error::new(Kind::Unauthorized, format!("no customer has key {key}"));
            customers.by_key(&key).cloned().ok_or_else(unknown)
        });
        match found {
            Ok(customer) => Ok(Some(customer)),
            Err(refusal) => self.check_newest(config).and(Err(refusal)),
        }
    }

    /// Returns an error if a newer configuration is known to exist, or if this one may have been
    /// replaced too long ago.
    fn check_newest(&self, config: &Config) -> Result<(), Error> {
        if self.common.is_outdated(config) {
            return Err(super::outdated());
        }
        self.check_current()
    }
}
