//! The state that the threads of a member on a site share: the clock, the settings, and the latest
//! known configuration, maintenance waves and table.

use {
    crate::{
        cancel_log::{AcknowledgedCancel, CancelLog},
        clock::{self, Clock},
        decide::call_queue::CallQueue,
        duties::Duties,
        ids::Incarnation,
        metrics::Metrics,
        ports::{Codec, Item, Rev, SiteSettings, Wave},
        prefix_watch::WatchUpdate,
        relay::StoreRoutes,
        service_clients::ServiceClients,
        shard::record::ShardNo,
        table_view::TableView,
        time::{Time, millis},
        work::QueueConfig,
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        sync::{
            Arc, Mutex,
            atomic::{AtomicBool, AtomicU64, Ordering},
        },
        time::Duration,
    },
    tokio::sync::watch,
};

/// Maximum time since the store's last answer for a member that reports itself ready.
const MAX_STORE_SILENCE: Duration = Duration::from_millis(1500);

/// Divisor of the configuration's maximum age that gives the safety margin. The margin covers the
/// transit time of a request and clocks that differ.
const CONFIG_MARGIN_DIVISOR: u32 = 20;

/// A version of the configuration and the revision of its item in the store.
#[derive(Clone, Debug)]
pub(crate) struct Config {
    /// The item's revision.
    pub rev: Rev,
    /// The queues and the other contents.
    pub queues: Arc<QueueConfig>,
}

/// The maintenance waves that operators have ordered, by the key of their item, each with the
/// item's revision.
pub(crate) type Waves = BTreeMap<Box<str>, (Rev, Wave)>;

/// The state that the threads of a member share.
pub(crate) struct SharedState {
    /// The formats and addresses of the services that the member calls.
    pub codec: &'static Codec,
    /// The id of this process.
    pub me: Incarnation,
    /// The Unix time, in milliseconds, at [`Time::ZERO`].
    pub start_unix_ms: u64,
    /// The member's metrics.
    pub metrics: Arc<Metrics>,
    /// The settings.
    pub site: watch::Sender<Arc<SiteSettings>>,
    /// The configuration, once it has been read.
    pub config: watch::Sender<Option<Config>>,
    /// The ordered maintenance waves.
    pub waves: watch::Sender<Waves>,
    /// The latest snapshot of the member table.
    pub view: watch::Sender<Arc<TableView>>,
    /// Whether this member is stopping.
    pub stop: watch::Sender<bool>,
    /// The tasks and threads that this member can't do without.
    pub duties: Duties,
    /// Chooses whether calls to the store go direct or through other members.
    pub store_routes: Arc<StoreRoutes>,
    /// The advice calls that this member has in flight, for itself and for other members.
    pub advice_queue: Mutex<CallQueue>,
    /// The cancels that this member has lately acknowledged.
    cancel_log: Mutex<CancelLog>,
    clock: Clock,
    /// Time of the store's last answer; [`Time::ZERO`] if it never has answered.
    last_answer: AtomicU64,
    /// The highest revision of the configuration that is known to have been replaced.
    outdated_rev: AtomicU64,
    /// Last time at which the configuration known here was certainly the store's latest.
    confirmed_at: AtomicU64,
    /// Last time at which a member was found to be gone from the table.
    member_gone_at: AtomicU64,
    /// Whether this member has a row in the table.
    registered: AtomicBool,
    /// Whether this member was recently too slow for its shards.
    pub slow: watch::Sender<bool>,
    /// Whether this member may give up the shards that it owns.
    pub may_give_up: watch::Sender<bool>,
    /// Time of the last change of the configuration known here.
    configured_at: AtomicU64,
}

/// Returns the Unix time, in milliseconds.
pub(crate) fn unix_ms() -> u64 {
    millis(clock::unix_time())
}

impl SharedState {
    /// Creates the state at the start of the member.
    pub fn new(
        codec: &'static Codec,
        site: SiteSettings,
        me: Incarnation,
        metrics: Arc<Metrics>,
    ) -> Self {
        SharedState {
            codec,
            me,
            start_unix_ms: unix_ms(),
            metrics,
            duties: Duties::default(),
            site: watch::Sender::new(Arc::new(site)),
            config: watch::Sender::new(None),
            waves: watch::Sender::default(),
            view: watch::Sender::new(Arc::default()),
            stop: watch::Sender::new(false),
            slow: watch::Sender::new(false),
            may_give_up: watch::Sender::new(false),
            store_routes: Arc::default(),
            advice_queue: Mutex::default(),
            cancel_log: Mutex::default(),
            clock: Clock::start(),
            last_answer: AtomicU64::new(0),
            outdated_rev: AtomicU64::new(0),
            confirmed_at: AtomicU64::new(0),
            member_gone_at: AtomicU64::new(0),
            registered: AtomicBool::new(false),
            configured_at: AtomicU64::new(0),
        }
    }

    /// Returns the present time.
    pub fn now(&self) -> Time {
        self.clock.now()
    }

    /// Returns the time at which [`boot_time`](clock::boot_time) was `at`.
    pub fn time_of(&self, at: Duration) -> Time {
        self.now() - (clock::boot_time() - at)
    }

    /// Creates clients for the calling thread that call all services directly, without a relay.
    pub fn direct_clients(self: &Arc<Self>) -> ServiceClients {
        let common = self.clone();
        let note_answer = move || common.last_answer.store(common.now().0, Ordering::Relaxed);
        ServiceClients::new(
            self.codec,
            self.site.subscribe(),
            self.metrics.clone(),
            Arc::new(note_answer),
        )
    }

    /// Returns the time of the store's last answer; `None` if it never has answered.
    pub fn last_answer(&self) -> Option<Time> {
        Some(Time(self.last_answer.load(Ordering::Relaxed))).filter(|t| *t > Time::ZERO)
    }

    /// Time of the last change of the configuration known here.
    pub fn configured_at(&self) -> Time {
        Time(self.configured_at.load(Ordering::Relaxed))
    }

    /// Records that the store has a newer configuration than the one of this revision.
    pub fn note_newer_config(&self, rev: Rev) {
        self.outdated_rev.fetch_max(rev, Ordering::Relaxed);
    }

    /// Returns whether the store is known to have a newer configuration than the one known here.
    pub fn config_outdated(&self) -> bool {
        self.config.borrow().as_ref().is_some_and(|c| self.is_outdated(c))
    }

    /// Returns whether the store is known to have a newer configuration than this one.
    pub fn is_outdated(&self, config: &Config) -> bool {
        config.rev <= self.outdated_rev.load(Ordering::Relaxed)
    }

    /// Records that the configuration known here was the store's latest at this time.
    pub fn record_confirmed(&self, at: Time) {
        self.confirmed_at.fetch_max(at.0, Ordering::Relaxed);
    }

    /// Returns the last time at which the configuration known here was certainly the store's
    /// latest.
    pub fn confirmed_at(&self) -> Time {
        Time(self.confirmed_at.load(Ordering::Relaxed))
    }

    /// Returns whether the configuration known here was confirmed recently enough to answer by it.
    ///
    /// Guards against a member that answers by a configuration that was replaced seconds ago,
    /// because no change reaches it or the newer one is still on its way.
    pub fn is_current(&self) -> bool {
        let bound = self.site.borrow().bounds.config_lag;
        self.now() - self.confirmed_at() <= bound - bound / CONFIG_MARGIN_DIVISOR
    }

    /// Returns whether this member is stopping.
    pub fn is_stopping(&self) -> bool {
        *self.stop.borrow()
    }

    /// Waits until this member is told to stop.
    pub async fn wait_for_stop(&self) {
        let mut stop = self.stop.subscribe();
        // A closed channel also means that this member is told to stop.
        let _ = stop.wait_for(|s| *s).await;
    }

    /// Records a cancel, before its caller gets the answer.
    pub fn record_cancel(&self, cancel: AcknowledgedCancel) {
        self.cancel_log.lock().expect("no holder panics").record(cancel, self.now());
    }

    /// Returns the cancels in these shards that this member has acknowledged in the last `age`; `None` if
    /// it can't name them all.
    pub fn last_cancels(
        &self,
        shards: &[ShardNo],
        age: Duration,
    ) -> Option<Vec<AcknowledgedCancel>> {
        self.cancel_log.lock().expect("no holder panics").last(shards, age, self.now())
    }

    /// Records that a member is gone from the table.
    pub fn record_member_gone(&self) {
        self.member_gone_at.store(self.now().0, Ordering::Relaxed);
    }

    /// Returns the last time at which a member was found to be gone from the table.
    pub fn member_gone_at(&self) -> Time {
        Time(self.member_gone_at.load(Ordering::Relaxed))
    }

    /// Records whether this member has a row in the table.
    pub fn set_registered(&self, registered: bool) {
        self.registered.store(registered, Ordering::Relaxed);
    }

    /// Returns whether the store has answered this member recently. Every member calls the store at
    /// least twice a second.
    pub fn reaches_store(&self) -> bool {
        self.last_answer().is_some_and(|at| self.now() - at <= MAX_STORE_SILENCE)
    }

    /// Returns whether this member can serve callers.
    pub fn is_ready(&self) -> bool {
        let in_touch = self.reaches_store();
        let registered = self.registered.load(Ordering::Relaxed);
        let configured = self.config.borrow().is_some() && self.is_current();
        in_touch && registered && configured && !self.is_stopping()
    }

    /// Applies the maintenance waves among the operators' items.
    ///
    /// They arrive with the watch of the configuration, so that a site without waves needs no
    /// further calls.
    pub fn apply_waves(&self, seen: &WatchUpdate) {
        let prefix = self.codec.wave_prefix;
        let mut waves = self.waves.borrow().clone();
        let (WatchUpdate::Snapshot(items, _) | WatchUpdate::Changes(items, _)) = seen;
        let items = || items.iter().filter(|i| i.key.starts_with(prefix));
        if matches!(seen, WatchUpdate::Snapshot(..)) {
            let present: BTreeSet<_> = items().map(|i| &i.key).collect();
            waves.retain(|key, _| present.contains(key));
        }
        for item in items() {
            let Some(value) = &item.value else {
                waves.remove(&item.key);
                continue;
            };
            match (self.codec.decode_wave)(value) {
                Ok(wave) => drop(waves.insert(item.key.clone(), (item.rev, wave))),
                Err(e) => log::error!(target: "upkeep", "A maintenance wave can't be parsed: {e}."),
            }
        }
        self.waves.send_if_modified(|known| {
            let changed = *known != waves;
            *known = waves;
            changed
        });
    }

    /// Logs how many customers the configuration has, and what of their entries is not in force.
    fn log_customers(&self) {
        let known = self.config.borrow();
        let Some(customers) = known.as_ref().and_then(|k| k.queues.customers.as_ref()) else {
            return;
        };
        log::info!(target: "config", did = "customers", customers = customers.iter().count(), keys = customers.key_count(); "Configuration names customers.");
        for problem in customers.problems() {
            log::error!(target: "config", did = "customer_problem", problem:% = problem; "Part of the configuration of customers is not in force.");
        }
    }

    /// Applies the item of the configuration.
    ///
    /// Never goes back to an earlier revision or a lower version. Guards against an item read on
    /// behalf of a caller, which may be older than what the watch has delivered meanwhile.
    pub fn apply_config(&self, item: &Item) {
        let known = self.config.borrow().clone();
        let Some(value) = &item.value else { return };
        if known.as_ref().is_some_and(|k| k.rev >= item.rev) {
            return;
        }
        let queues = match (self.codec.decode_config)(value) {
            Ok(queues) => queues,
            Err(e) => {
                log::error!(target: "config", "The configuration can't be parsed: {e}.");
                return;
            }
        };
        let version = queues.version;
        let taken = self.config.send_if_modified(|now| {
            if now.as_ref().is_some_and(|k| k.rev >= item.rev) {
                return false;
            }
            let kept = now.as_ref().filter(|k| k.queues.version >= queues.version);
            let queues = kept.map_or(queues, |k| QueueConfig::clone(&k.queues));
            let queues = Arc::new(QueueConfig { revision: item.rev, ..queues });
            *now = Some(Config { rev: item.rev, queues });
            true
        });
        if taken {
            log::info!(target: "config", rev = item.rev, version, before = known.map_or(0, |k| k.rev); "Configuration is in force.");
            self.configured_at.store(self.now().0, Ordering::Relaxed);
            self.log_customers();
        }
    }
}
