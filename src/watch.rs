//! Follows the items of a prefix: a range once, then what changes.

use {
    crate::{
        ports::{Fault, Item, Rev, StoreCall, StoreReply},
        store::{MARGIN, Outside},
    },
    std::{mem, time::Duration},
    tokio::time::{Instant, sleep},
};

/// How often what goes on from a range is read whole all the same, in case that a change was missed.
const AGAIN: Duration = Duration::from_secs(5);
/// The pause between two watches of what is told besides.
///
/// Each change ends a watch, and each is paid for: an inbox is followed in case that a member's word
/// to the owner was lost, so that a job that only the watch brings may come this much later. 20 jobs
/// a second were 20 answered watches a second.
const REST: Duration = Duration::from_millis(400);
/// The same for what hundreds of members follow.
const SELDOM: Duration = Duration::from_secs(30);
/// How much of its time a watch has waited at the store at the least, if it was not cut short.
const PUNCTUAL: f64 = 0.9;
/// The first and the longest pause after a fault, in milliseconds.
const PAUSE: (u64, u64) = (20, 300);

/// Pauses between repeats: twice as long each time, up to a bound, at random within the upper half.
///
/// Without the chance all members would come back to a store that was down at the same moment, and
/// be refused together, again and again.
#[derive(Default)]
pub(crate) struct Pause {
    faults: u32,
}

impl Pause {
    /// Waits after one more fault.
    pub async fn wait(&mut self) {
        let most = (PAUSE.0 << self.faults.min(4)).min(PAUSE.1);
        self.faults += 1;
        sleep(Duration::from_millis(fastrand::u64(most / 2..=most))).await;
    }

    /// A call has succeeded.
    pub fn good(&mut self) {
        self.faults = 0;
    }
}

/// What was seen of a prefix.
pub(crate) enum Seen {
    /// All its items, and the revision at which the reading began.
    All(Vec<Item>, Rev),
    /// What has changed since.
    Changes(Vec<Item>, Rev),
}

/// A watch of a prefix.
pub(crate) struct Follow {
    outside: Outside,
    prefix: Box<str>,
    wait: Duration,
    after: Option<Rev>,
    /// How often all is read again, where it goes on after a fault from where it was.
    again: Option<Duration>,
    /// How long it pauses after a change.
    gap: Duration,
    /// Whether it pauses before the next watch.
    rests: bool,
    /// When the range was read last.
    read: Instant,
    /// Whether a watch that doesn't wait follows each change, so that it is known to be the last.
    confirms: bool,
    /// Whether the next watch doesn't wait.
    prompt: bool,
    /// As of when what was seen is all that there is.
    current: Option<Instant>,
    pause: Pause,
}

impl Follow {
    /// A watch that begins with a range, and again with one after each fault.
    pub fn whole(outside: Outside, prefix: &str, wait: Duration) -> Self {
        let pause = Pause::default();
        let (prefix, read) = (prefix.into(), Instant::now());
        let (after, again, gap, rests) = (None, None, Duration::ZERO, false);
        let (confirms, prompt, current) = (true, false, None);
        Follow {
            outside,
            prefix,
            wait,
            after,
            again,
            gap,
            rests,
            read,
            confirms,
            prompt,
            current,
            pause,
        }
    }

    /// A watch that goes on from a range that was read, also after faults, as long as the store
    /// remembers; what it follows may be too much to be read again for each cut connection. It pauses
    /// after each change ([`REST`]).
    pub fn from(outside: Outside, prefix: &str, wait: Duration, after: Rev) -> Self {
        let (after, again, gap) = (Some(after), Some(AGAIN), REST);
        Follow { after, again, gap, confirms: false, ..Follow::whole(outside, prefix, wait) }
    }

    /// A watch that begins with a range and goes on after faults, of what hundreds of members follow.
    ///
    /// Guards against a store that can't recover: each fault of a watch would cost it a range as
    /// large as the whole table, from all members at once, and these cost others their watches.
    pub fn steady(outside: Outside, prefix: &str, wait: Duration) -> Self {
        Follow { again: Some(SELDOM), confirms: false, ..Follow::whole(outside, prefix, wait) }
    }

    /// Reads the range, and a revision from which on nothing is missed.
    ///
    /// Guards against a change that falls between the reading of the items and that of the revision
    /// that the answer carries: it would be in neither, and nobody would hear of it. So the revision
    /// is that of an answer before, which has no items.
    async fn range(&mut self) -> Result<(Vec<Item>, Rev), Fault> {
        let rev = self.outside.revision(&self.prefix).await?;
        let asked = Instant::now();
        let (items, _) = self.outside.all(&self.prefix, false).await?;
        self.current = Some(asked);
        Ok((items, rev))
    }

    /// As of when what was seen is all that there is; nothing before the first range.
    pub fn current(&self) -> Option<Instant> {
        self.current
    }

    /// Waits for what is new; repeats what fails.
    pub async fn next(&mut self) -> Seen {
        loop {
            if let Some(seen) = self.turn().await {
                return seen;
            }
        }
    }

    /// Begins again with a range.
    pub fn afresh(&mut self) {
        self.after = None;
    }

    /// Reads the range or watches once; nothing where that fails or brings nothing new.
    pub async fn turn(&mut self) -> Option<Seen> {
        let Some(after) = self.after else { return self.begin().await };
        if mem::take(&mut self.rests) {
            sleep(self.gap).await;
        }
        if self.again.is_some_and(|again| self.read.elapsed() >= again) {
            self.read = Instant::now();
            if let Ok((items, rev)) = self.outside.all(&self.prefix, false).await {
                return Some(Seen::All(items, rev));
            }
        }
        let asked = Instant::now();
        let wait = if mem::take(&mut self.prompt) { Duration::ZERO } else { self.wait };
        let call = StoreCall::Watch { prefix: self.prefix.clone(), after, wait };
        match self.outside.store(&call, wait + MARGIN).await {
            Ok(StoreReply::Events(items, rev)) => {
                self.after = Some(rev.max(after));
                // One that brought nothing until its time was over has waited at the store.
                let waited = wait.mul_f64(PUNCTUAL);
                let whole = items.is_empty() && asked.elapsed() >= waited;
                self.current = Some(if whole { asked + waited } else { asked });
                if !items.is_empty() {
                    self.pause.good();
                    self.rests = !self.gap.is_zero();
                    self.prompt = self.confirms;
                    return Some(Seen::Changes(items, rev));
                }
                if asked.elapsed() < wait / 4 {
                    // A watch that was cut short, over and over, would be asked for in a spin.
                    self.pause.wait().await;
                }
            }
            Ok(StoreReply::Forgotten) => self.after = None,
            _ => {
                self.pause.wait().await;
                self.after = self.after.filter(|_| self.again.is_some());
            }
        }
        None
    }

    async fn begin(&mut self) -> Option<Seen> {
        let Ok((items, rev)) = self.range().await else {
            self.pause.wait().await;
            return None;
        };
        self.after = Some(rev);
        self.pause.good();
        Some(Seen::All(items, rev))
    }
}
