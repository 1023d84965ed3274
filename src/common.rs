//! What the duties of a member on a site share: the clock, the settings, the configuration and the
//! table as they are known now.

use {
    crate::{
        clock,
        decide::desk::Desk,
        ids::Incarnation,
        metrics::Metrics,
        ports::{Forms, Item, Rev, Site, Wave},
        relay::Ways,
        store::Outside,
        table::View,
        time::{Time, millis},
        watch::Seen,
        work::Queues,
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        sync::{
            Arc, Mutex,
            atomic::{AtomicBool, AtomicU64, Ordering},
        },
        time::{Duration, Instant},
    },
    tokio::sync::watch,
};

/// How long the store may be silent before this member isn't ready.
const CONTACT: Duration = Duration::from_millis(1500);

/// The part of the time that the configuration may be behind which is left for the way of a request,
/// and for clocks that differ.
const SPARE: u32 = 20;

/// A version of the configuration, and the revision of its item in the store.
#[derive(Clone, Debug)]
pub(crate) struct Config {
    /// The item's revision.
    pub rev: Rev,
    /// What it says.
    pub queues: Arc<Queues>,
}

/// The waves of upkeep that are ordered, each with the revision and the key of its item.
pub(crate) type Waves = BTreeMap<Box<str>, (Rev, Wave)>;

/// What the duties share.
pub(crate) struct Common {
    /// How the outside is spoken to.
    pub forms: &'static Forms,
    /// This process.
    pub me: Incarnation,
    /// The Unix time, in milliseconds, at [`Time::ZERO`].
    pub unix: u64,
    /// The member's metrics.
    pub metrics: Arc<Metrics>,
    /// The settings.
    pub site: watch::Sender<Arc<Site>>,
    /// The configuration, once one is known.
    pub config: watch::Sender<Option<Config>>,
    /// The waves of upkeep that are ordered.
    pub waves: watch::Sender<Waves>,
    /// The table.
    pub view: watch::Sender<Arc<View>>,
    /// Whether this member is stopping.
    pub stop: watch::Sender<bool>,
    /// The ways to the store.
    pub ways: Arc<Ways>,
    /// The calls for advice that this member has out, for all who ask it.
    pub desk: Mutex<Desk>,
    start: Instant,
    contact: AtomicU64,
    overtaken: AtomicU64,
    confirmed: AtomicU64,
    registered: AtomicBool,
    configured: AtomicU64,
}

/// The Unix time, in milliseconds.
pub(crate) fn unix() -> u64 {
    millis(clock::unix())
}

impl Common {
    /// What is known at the start.
    pub fn new(forms: &'static Forms, site: Site, me: Incarnation, metrics: Arc<Metrics>) -> Self {
        Common {
            forms,
            me,
            unix: unix(),
            metrics,
            site: watch::Sender::new(Arc::new(site)),
            config: watch::Sender::new(None),
            waves: watch::Sender::default(),
            view: watch::Sender::new(Arc::default()),
            stop: watch::Sender::new(false),
            ways: Arc::default(),
            desk: Mutex::default(),
            start: Instant::now(),
            contact: AtomicU64::new(0),
            overtaken: AtomicU64::new(0),
            confirmed: AtomicU64::new(0),
            registered: AtomicBool::new(false),
            configured: AtomicU64::new(0),
        }
    }

    /// The present time.
    pub fn now(&self) -> Time {
        Time::ZERO + self.start.elapsed()
    }

    /// A client of the outside, for the thread that asks for it; it speaks to all directly.
    pub fn outside(self: &Arc<Self>) -> Outside {
        let common = self.clone();
        let heard = move || common.contact.store(common.now().0, Ordering::Relaxed);
        Outside::new(self.forms, self.site.subscribe(), self.metrics.clone(), Arc::new(heard))
    }

    /// When the store last answered.
    pub fn contact(&self) -> Option<Time> {
        Some(Time(self.contact.load(Ordering::Relaxed))).filter(|t| *t > Time::ZERO)
    }

    /// When the last change of the configuration was taken in.
    pub fn configured(&self) -> Time {
        Time(self.configured.load(Ordering::Relaxed))
    }

    /// Notes that the store has a newer configuration than the one of this revision.
    pub fn overtake(&self, rev: Rev) {
        self.overtaken.fetch_max(rev, Ordering::Relaxed);
    }

    /// Whether the store is known to have a newer configuration than the one known here.
    pub fn is_overtaken(&self) -> bool {
        self.config.borrow().as_ref().is_some_and(|c| self.overtakes(c))
    }

    /// Whether the store is known to have a newer configuration than this one.
    pub fn overtakes(&self, config: &Config) -> bool {
        config.rev <= self.overtaken.load(Ordering::Relaxed)
    }

    /// Notes that the configuration known here was the store's at a time.
    pub fn confirm(&self, at: Time) {
        self.confirmed.fetch_max(at.0, Ordering::Relaxed);
    }

    /// When the configuration known here was last certainly the store's.
    pub fn confirmed(&self) -> Time {
        Time(self.confirmed.load(Ordering::Relaxed))
    }

    /// Whether the configuration known here is no older than any may be that is in force.
    ///
    /// Guards against a member that answers by one that was replaced seconds ago: it hears of nothing,
    /// or the newer one is still on its way.
    pub fn is_current(&self) -> bool {
        let bound = self.site.borrow().bounds.config;
        self.now() - self.confirmed() <= bound - bound / SPARE
    }

    /// Whether this member is stopping.
    pub fn stopping(&self) -> bool {
        *self.stop.borrow()
    }

    /// Waits until this member is told to stop.
    pub async fn stopped(&self) {
        let mut stop = self.stop.subscribe();
        // An end of the sender means the same.
        let _ = stop.wait_for(|s| *s).await;
    }

    /// Notes whether this member's row stands in the table.
    pub fn register(&self, registered: bool) {
        self.registered.store(registered, Ordering::Relaxed);
    }

    /// Whether the store answers this member; each asks it twice a second at least.
    pub fn in_touch(&self) -> bool {
        self.contact().is_some_and(|at| self.now() - at <= CONTACT)
    }

    /// Whether callers can be served here.
    pub fn ready(&self) -> bool {
        let heard = self.in_touch();
        let registered = self.registered.load(Ordering::Relaxed);
        let configured = self.config.borrow().is_some() && self.is_current();
        heard && registered && configured && !self.stopping()
    }

    /// Takes in what was seen of the waves among all that the operators have written.
    ///
    /// It comes with the watch of the configuration, so that a site without waves pays for no call.
    pub fn take_waves(&self, seen: &Seen) {
        let prefix = self.forms.waves;
        let mut waves = self.waves.borrow().clone();
        let (Seen::All(items, _) | Seen::Changes(items, _)) = seen;
        let items = || items.iter().filter(|i| i.key.starts_with(prefix));
        if matches!(seen, Seen::All(..)) {
            let there: BTreeSet<_> = items().map(|i| &i.key).collect();
            waves.retain(|key, _| there.contains(key));
        }
        for item in items() {
            let Some(value) = &item.value else {
                waves.remove(&item.key);
                continue;
            };
            match (self.forms.wave)(value) {
                Ok(wave) => drop(waves.insert(item.key.clone(), (item.rev, wave))),
                Err(e) => log::error!(target: "upkeep", "A wave can't be read: {e}."),
            }
        }
        self.waves.send_if_modified(|known| {
            let changed = *known != waves;
            *known = waves;
            changed
        });
    }

    /// Takes in the configuration's item.
    ///
    /// Nothing goes back: neither to an earlier change nor to a lower version. Guards against a
    /// caller's answer, which may carry an older item than the watch has brought by then.
    pub fn take_config(&self, item: &Item) {
        let known = self.config.borrow().clone();
        let Some(value) = &item.value else { return };
        if known.as_ref().is_some_and(|k| k.rev >= item.rev) {
            return;
        }
        let queues = match (self.forms.queues)(value) {
            Ok(queues) => queues,
            Err(e) => {
                log::error!(target: "config", "The configuration can't be read: {e}.");
                return;
            }
        };
        let version = queues.version;
        let taken = self.config.send_if_modified(|now| {
            if now.as_ref().is_some_and(|k| k.rev >= item.rev) {
                return false;
            }
            let kept = now.as_ref().filter(|k| k.queues.version >= queues.version);
            let queues = kept.map_or_else(|| Arc::new(queues), |k| k.queues.clone());
            *now = Some(Config { rev: item.rev, queues });
            true
        });
        if taken {
            log::info!(target: "config", rev = item.rev, version, before = known.map_or(0, |k| k.rev); "Configuration is in force.");
            self.configured.store(self.now().0, Ordering::Relaxed);
        }
    }
}
