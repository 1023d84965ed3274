//! The duties of a member: tasks and threads that it can't do without.
//!
//! A member whose owner task has ended but whose lease is renewed would keep its shards for itself,
//! and nothing in them would start. A panic of a duty therefore ends the member, and others take its
//! shards over.

use {
    crate::error::{Error, Kind},
    std::{future::Future, sync::Arc, thread},
    tokio::sync::watch,
};

/// Watches the duties of a member.
#[derive(Clone, Debug, Default)]
pub struct Duties {
    failed: Arc<watch::Sender<Option<&'static str>>>,
}

/// Records a panic that unwinds through it.
struct PanicGuard {
    duties: Duties,
    name: &'static str,
}

impl Duties {
    /// Runs a duty. A panic in it is recorded, for [`Duties::failure`].
    pub async fn run<T>(self, name: &'static str, duty: impl Future<Output = T>) -> T {
        let _guard = PanicGuard { duties: self, name };
        duty.await
    }

    /// Waits until a duty has panicked; returns an error that names it.
    pub async fn failure(&self) -> Error {
        let mut failed = self.failed.subscribe();
        let name = failed.wait_for(Option::is_some).await.ok().and_then(|name| *name);
        Error::new(Kind::Panicked, name.unwrap_or("unknown"))
    }
}

impl Drop for PanicGuard {
    fn drop(&mut self) {
        if thread::panicking() {
            let duty = self.name;
            log::error!(target: "site", did = "panicked", duty; "A task of this member has panicked; the member ends.");
            self.duties.failed.send_replace(Some(duty));
        }
    }
}
