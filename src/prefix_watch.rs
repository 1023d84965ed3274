//! Watches the items of a prefix in the store: reads all of them once, then their changes.
//!
//! The store forgets old changes, watches fail, and a watch may miss a change, so a prefix may have
//! to be read again. Large prefixes that many members watch must not be read again after each fault:
//! the reads of all members at once would keep an overloaded store from recovering.

use {
    crate::{
        clock::boot_time,
        ports::{Fault, Item, Rev, StoreCall, StoreReply},
        service_clients::{ServiceClients, WATCH_MARGIN},
    },
    std::{mem, time::Duration},
    tokio::time::{Instant, sleep},
};

/// Interval at which a watch that resumes from a revision reads the whole prefix again, in case it
/// has missed a change.
const REREAD_INTERVAL: Duration = Duration::from_secs(5);
/// Pause after a change, for a watch whose changes also reach this member by direct notices.
///
/// Each change ends a watch call, so that 20 jobs a second cost 20 watch calls a second. The pause delays
/// only jobs and cancels of which another member's notice was lost.
const CHANGE_PAUSE: Duration = Duration::from_millis(400);
/// Interval like [`REREAD_INTERVAL`], for prefixes that hundreds of members watch.
const SHARED_REREAD_INTERVAL: Duration = Duration::from_secs(30);
/// Minimum fraction of its wait after which an empty watch reply does not count as cut short.
const FULL_WAIT_FRACTION: f64 = 0.9;
/// Shortest and longest pause after a fault, in milliseconds.
const BACKOFF_RANGE_MS: (u64, u64) = (20, 300);

/// Exponential backoff between retries: each pause is drawn from the upper half of a range that
/// doubles with each fault, up to a bound.
///
/// Without the random part, all members would retry at the same moment after an outage of the store,
/// and be refused together again and again.
#[derive(Default)]
pub(crate) struct Backoff {
    faults: u32,
}

impl Backoff {
    /// Waits after a fault; the pause grows with each consecutive fault.
    pub async fn wait(&mut self) {
        let most = (BACKOFF_RANGE_MS.0 << self.faults.min(4)).min(BACKOFF_RANGE_MS.1);
        self.faults += 1;
        sleep(Duration::from_millis(fastrand::u64(most / 2..=most))).await;
    }

    /// Starts again with the shortest pause, after a call has succeeded.
    pub fn reset(&mut self) {
        self.faults = 0;
    }
}

/// An update that a watch delivers.
pub(crate) enum WatchUpdate {
    /// All items of the prefix, and the revision at which the read began.
    Snapshot(Vec<Item>, Rev),
    /// The items changed since the previous update, and the revision up to which they include all
    /// changes.
    Changes(Vec<Item>, Rev),
}

/// A watch of the items of a prefix.
pub(crate) struct PrefixWatch {
    services: ServiceClients,
    prefix: Box<str>,
    max_wait: Duration,
    /// The revision after which changes are requested; `None` if the whole prefix is read next.
    after_rev: Option<Rev>,
    /// Interval at which the whole prefix is read again; `None` if it is read after each fault
    /// instead.
    reread_interval: Option<Duration>,
    /// Pause after a change.
    change_pause: Duration,
    /// Whether to pause before the next watch call.
    pause_next: bool,
    /// Time of the last read of the whole prefix.
    last_read: Instant,
    /// Whether each change is followed by a watch call that doesn't wait, to learn whether more
    /// changes follow.
    rechecks_changes: bool,
    /// Whether the next watch call doesn't wait.
    skip_wait: bool,
    /// Whether decisions depend on the age of what is known: nothing is taken as seen that a reply may
    /// not cover, and a call that fails is followed by one that doesn't wait.
    bounds_age: bool,
    /// The time up to which all changes have been seen, by [`boot_time`].
    complete_at: Option<Duration>,
    backoff: Backoff,
}

impl PrefixWatch {
    /// Creates a watch that reads the whole prefix first, and again after each fault.
    pub fn from_snapshot(services: ServiceClients, prefix: &str, max_wait: Duration) -> Self {
        let backoff = Backoff::default();
        let (prefix, last_read) = (prefix.into(), Instant::now());
        let (after_rev, reread_interval, change_pause, pause_next) =
            (None, None, Duration::ZERO, false);
        let (rechecks_changes, skip_wait, bounds_age, complete_at) = (true, false, false, None);
        PrefixWatch {
            services,
            prefix,
            max_wait,
            after_rev,
            reread_interval,
            change_pause,
            pause_next,
            last_read,
            rechecks_changes,
            skip_wait,
            bounds_age,
            complete_at,
            backoff,
        }
    }

    /// Creates a watch that starts at a revision at which the prefix was read, for decisions that
    /// depend on the age of what is known.
    ///
    /// It resumes after faults, as long as the store remembers the changes, because the prefix may be
    /// too large to be read again for each broken connection. It pauses after each change (see
    /// [`CHANGE_PAUSE`]).
    pub fn from_revision(
        services: ServiceClients,
        prefix: &str,
        wait: Duration,
        after: Rev,
    ) -> Self {
        let (after_rev, reread_interval, change_pause) =
            (Some(after), Some(REREAD_INTERVAL), CHANGE_PAUSE);
        PrefixWatch {
            after_rev,
            reread_interval,
            change_pause,
            rechecks_changes: false,
            bounds_age: true,
            ..PrefixWatch::from_snapshot(services, prefix, wait)
        }
    }

    /// Creates a watch, for a prefix that hundreds of members watch, that reads the whole prefix first
    /// and resumes after faults.
    ///
    /// If each fault of a watch caused a read of the whole table, by all members at once, these reads
    /// would make further watches fail and the store could not recover.
    pub fn from_shared_prefix(services: ServiceClients, prefix: &str, wait: Duration) -> Self {
        PrefixWatch {
            reread_interval: Some(SHARED_REREAD_INTERVAL),
            rechecks_changes: false,
            ..PrefixWatch::from_snapshot(services, prefix, wait)
        }
    }

    /// Reads the whole prefix, and a revision from which on no change is missed.
    ///
    /// The store may read the items before the revision that the reply carries. A change between the
    /// two would be in neither the items nor the later changes, so the revision is read before, by a
    /// call that returns no items.
    async fn read_prefix(&mut self) -> Result<(Vec<Item>, Rev), Fault> {
        let rev = self.services.revision(&self.prefix).await?;
        let sent = boot_time();
        let (items, _) = self.services.read_prefix(&self.prefix, false).await?;
        self.complete_at = Some(sent);
        Ok((items, rev))
    }

    /// Returns the time up to which all changes have been seen, by [`boot_time`]; `None` before the
    /// prefix was first read.
    pub fn complete_at(&self) -> Option<Duration> {
        self.complete_at
    }

    /// Waits for the next update; retries reads and watches that fail.
    pub async fn next(&mut self) -> WatchUpdate {
        loop {
            if let Some(update) = self.poll().await {
                return update;
            }
        }
    }

    /// Makes the next [`Self::poll`] read the whole prefix again.
    pub fn restart(&mut self) {
        self.after_rev = None;
    }

    /// Makes one read of the prefix or one watch call; `None` if it fails or brings no change.
    pub async fn poll(&mut self) -> Option<WatchUpdate> {
        let Some(after) = self.after_rev else { return self.first_read().await };
        if mem::take(&mut self.pause_next) {
            sleep(self.change_pause).await;
        }
        if self.reread_interval.is_some_and(|interval| self.last_read.elapsed() >= interval) {
            self.last_read = Instant::now();
            if let Ok((items, rev)) = self.read_prefix().await {
                self.after_rev = Some(rev.max(after));
                return Some(WatchUpdate::Snapshot(items, rev));
            }
            self.skip_wait = self.bounds_age;
        }
        // A suspended machine has not waited.
        let (sent, begin) = (boot_time(), Instant::now());
        let wait = if mem::take(&mut self.skip_wait) { Duration::ZERO } else { self.max_wait };
        let call = StoreCall::Watch { prefix: self.prefix.clone(), after, wait };
        match self.services.call_store(&call, wait + WATCH_MARGIN).await {
            Ok(StoreReply::Events(items, rev)) => {
                // A watch may miss a change whose revision its reply includes.
                let newest = items.iter().map(|i| i.rev).max().unwrap_or(after);
                self.after_rev = Some(after.max(if self.bounds_age { newest } else { rev }));
                // An empty reply at the end of the wait shows that nothing has changed meanwhile,
                // unless the reply itself was delayed.
                let waited = wait.mul_f64(FULL_WAIT_FRACTION);
                let full = items.is_empty() && begin.elapsed() >= waited && !self.bounds_age;
                self.complete_at = Some(if full { sent + waited } else { sent });
                if !items.is_empty() {
                    self.backoff.reset();
                    self.pause_next = !self.change_pause.is_zero();
                    self.skip_wait = self.rechecks_changes;
                    return Some(WatchUpdate::Changes(items, rev));
                }
                if begin.elapsed() < wait / 4 {
                    // Without a pause, watches that are cut short would be repeated in a busy loop.
                    self.backoff.wait().await;
                }
            }
            Ok(StoreReply::Forgotten) => self.after_rev = None,
            _ => {
                self.backoff.wait().await;
                self.after_rev = self.after_rev.filter(|_| self.reread_interval.is_some());
                self.skip_wait = self.bounds_age;
            }
        }
        None
    }

    /// Reads the whole prefix and continues with watch calls from there.
    async fn first_read(&mut self) -> Option<WatchUpdate> {
        let Ok((items, rev)) = self.read_prefix().await else {
            self.backoff.wait().await;
            return None;
        };
        self.after_rev = Some(rev);
        self.backoff.reset();
        Some(WatchUpdate::Snapshot(items, rev))
    }
}
