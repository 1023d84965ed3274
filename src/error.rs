//! The closed list of error kinds, and the response that callers and operators get for each.
//!
//! The response says whether the request ran, so that a caller knows whether a retry is safe.

use {displaydoc::Display, std::fmt, std::time::Duration};

/// Whether the work that an error refers to was run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub enum Ran {
    /// It did not run and will not.
    #[display("no")]
    No,
    /// It may have run.
    #[display("unknown")]
    Unknown,
}

/// What a caller gets for one kind of error.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Answer {
    /// The HTTP status.
    pub status: u16,
    /// Whether the request was run.
    pub ran: Ran,
    /// How long to wait before a retry, unless the error carries a measured time; none if a retry
    /// can't help.
    pub retry_after: Option<Duration>,
    /// The label of the kind in counters and logs.
    pub label: &'static str,
}

/// An error: its kind, the detail of this case, and how long to wait before a retry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Error {
    kind: Kind,
    detail: Box<str>,
    retry_after: Option<Duration>,
}

/// The kinds of error.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
pub enum Kind {
    /// the expected wait passes the deadline
    Late,
    /// the queue of this service is full
    QueueFull,
    /// this caller has more than its share waiting
    OverShare,
    /// the job needs more at once than its customer may have
    OverCap,
    /// a ring between two duties is full
    RingFull,
    /// no endpoint of this service is ready
    NoEndpoint,
    /// the endpoint refused the request before it ran
    EndpointRefused,
    /// the deadline passed in the queue
    Expired,
    /// the retry budget is spent
    RetryBudget,
    /// the key's owner cannot be reached
    KeyUnowned,
    /// the key-value service does not answer, so the key cannot be claimed
    KvDown,
    /// a request with this key is running
    KeyRunning,
    /// a request with this key ran, and its answer is not kept
    KeyUnknown,
    /// this key was used with another request
    KeyMismatch,
    /// this member cannot know the configuration in force
    Stale,
    /// this member is stopping
    Draining,
    /// no such service
    UnknownService,
    /// the body is over the limit
    TooLarge,
    /// the request is not well-formed
    BadRequest,
    /// the request was sent too slowly
    SlowSender,
    /// too many connections
    Connections,
    /// the memory for requests is in use
    Memory,
    /// the key does not match
    Unauthorized,
    /// no answer came before the deadline
    Timeout,
    /// the connection broke before the whole answer came
    Broken,
    /// the text was edited from a version that is no longer in force
    Conflict,
    /// the text has errors
    BadText,
    /// the settings have errors
    BadSettings,
    /// the platform refused or failed the call
    Platform,
    /// a peer refused or failed the call
    Peer,
    /// the call's outcome is unknown
    OutcomeUnknown,
    /// no such job
    NoJob,
    /// this method is not served here
    BadMethod,
    /// a task of this member has panicked
    Panicked,
}

use Kind::*;

impl Kind {
    /// Every kind, for tables and counters.
    pub const ALL: [Kind; 34] = [
        Late,
        QueueFull,
        OverShare,
        OverCap,
        RingFull,
        NoEndpoint,
        EndpointRefused,
        Expired,
        RetryBudget,
        KeyUnowned,
        KvDown,
        KeyRunning,
        KeyUnknown,
        KeyMismatch,
        Stale,
        Draining,
        UnknownService,
        TooLarge,
        BadRequest,
        SlowSender,
        Connections,
        Memory,
        Unauthorized,
        Timeout,
        Broken,
        Conflict,
        BadText,
        BadSettings,
        Platform,
        Peer,
        OutcomeUnknown,
        NoJob,
        BadMethod,
        Panicked,
    ];

    /// The status, retry time and label of this kind.
    pub const fn answer(self) -> Answer {
        let (status, ran, back, label) = match self {
            Late => (503, Ran::No, Some(500), "late"),
            QueueFull => (503, Ran::No, Some(500), "queue_full"),
            OverShare => (429, Ran::No, Some(500), "over_share"),
            OverCap => (429, Ran::No, None, "over_cap"),
            RingFull => (503, Ran::No, Some(200), "ring_full"),
            NoEndpoint => (503, Ran::No, Some(1000), "no_endpoint"),
            EndpointRefused => (503, Ran::No, Some(200), "endpoint_refused"),
            Expired => (503, Ran::No, Some(500), "expired"),
            RetryBudget => (503, Ran::No, Some(1000), "retry_budget"),
            KeyUnowned => (503, Ran::No, Some(1000), "key_unowned"),
            KvDown => (503, Ran::No, Some(2000), "kv_down"),
            KeyRunning => (409, Ran::Unknown, Some(1000), "key_running"),
            KeyUnknown => (409, Ran::Unknown, None, "key_unknown"),
            KeyMismatch => (422, Ran::No, None, "key_mismatch"),
            Stale => (503, Ran::No, Some(1000), "stale"),
            Draining => (503, Ran::No, Some(100), "draining"),
            UnknownService => (404, Ran::No, None, "unknown_service"),
            TooLarge => (413, Ran::No, None, "too_large"),
            BadRequest => (400, Ran::No, None, "bad_request"),
            SlowSender => (408, Ran::No, Some(0), "slow_sender"),
            Connections => (503, Ran::No, Some(1000), "connections"),
            Memory => (503, Ran::No, Some(1000), "memory"),
            Unauthorized => (401, Ran::No, None, "unauthorized"),
            Timeout => (504, Ran::Unknown, None, "timeout"),
            Broken => (502, Ran::Unknown, None, "broken"),
            Conflict => (409, Ran::No, None, "conflict"),
            BadText => (422, Ran::No, None, "bad_text"),
            BadSettings => (400, Ran::No, None, "bad_settings"),
            Platform => (503, Ran::No, Some(2000), "platform"),
            Peer => (503, Ran::No, Some(500), "peer"),
            OutcomeUnknown => (504, Ran::Unknown, None, "outcome_unknown"),
            NoJob => (410, Ran::No, None, "no_job"),
            BadMethod => (405, Ran::No, None, "bad_method"),
            Panicked => (500, Ran::Unknown, None, "panicked"),
        };
        let back = match back {
            Some(ms) => Some(Duration::from_millis(ms)),
            None => None,
        };
        Answer { status, ran, retry_after: back, label }
    }

    /// The kind with this label.
    pub fn from_label(label: &str) -> Option<Kind> {
        Kind::ALL.into_iter().find(|k| k.answer().label == label)
    }
}

impl Error {
    /// An error of this kind, with the detail of this case.
    pub fn new(kind: Kind, detail: impl Into<Box<str>>) -> Self {
        Error { kind, detail: detail.into(), retry_after: kind.answer().retry_after }
    }

    /// The same error with a measured time to wait before a retry.
    pub fn with_retry_after(mut self, retry_after: Duration) -> Self {
        self.retry_after = Some(retry_after);
        self
    }

    /// The kind of this error.
    pub fn kind(&self) -> Kind {
        self.kind
    }

    /// The detail of this case; empty if the kind says everything.
    pub fn detail(&self) -> &str {
        &self.detail
    }

    /// How long to wait before a retry; none if a retry can't help.
    pub fn retry_after(&self) -> Option<Duration> {
        self.retry_after
    }
}

impl From<Kind> for Error {
    fn from(kind: Kind) -> Self {
        Error::new(kind, "")
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &*self.detail {
            "" => self.kind.fmt(f),
            detail => write!(f, "{}: {detail}", self.kind),
        }
    }
}

impl std::error::Error for Error {}
