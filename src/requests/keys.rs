//! The claims on keys of non-idempotent requests, as kept by the member that holds the requests.
//!
//! A request is dispatched only once its claim is granted. An ask that was refused because the bucket
//! changed owners, or whose answer was lost, may still have been committed: its end, "not run", is
//! sent until it is acknowledged, and the request asks again under another id. So a grant of the old
//! ask can never be mistaken for one of the new ask.

use {
    crate::{
        error::{Error, Kind, Ran},
        event::{Answer, ClientRequest, Ticket, Verdict},
        ids::{Key, RequestId},
        messages::{ClaimEnd, ClaimFate},
        time::Time,
    },
    rustc_hash::FxHashMap,
    std::{
        collections::{BTreeMap, BTreeSet},
        fmt::Write,
        time::Duration,
    },
    xxhash_rust::xxh3::Xxh3Default,
};

/// The largest answer that is stored with a key, in bytes.
///
/// A repeat of a bound cover or a paid grant needs its confirmation, which is short; the bucket's
/// record has to stay far below the key-value service's megabyte.
const ANSWER_MAX: usize = 2048;
/// The pause before an unacknowledged end of a claim is sent again.
pub(crate) const END_RETRY: Duration = Duration::from_millis(500);
/// Marks the ids of repeated asks, which must differ from all ids of requests.
pub(crate) const REASK_MARK: u128 = 1 << 63;
/// Marks the ticket of a claim's end that this member sends to itself as the bucket's owner.
pub(crate) const OWN_END_MARK: Ticket = 1 << 63;

/// A request's claim.
pub(crate) struct Claim {
    /// The key.
    pub key: Key,
    /// The id under which the claim was last asked for.
    pub ask: RequestId,
}

/// The state of claims that is kept apart from their requests.
#[derive(Default)]
pub(crate) struct Keys {
    /// The ends that are not acknowledged, and when to send them again.
    pub(crate) ends: BTreeMap<(Key, RequestId), (ClaimEnd, Time)>,
    pub(crate) ack_tickets: FxHashMap<Ticket, (Key, RequestId)>,
    pub(crate) last_own_ticket: Ticket,
    /// The requests by the ids of their repeated asks.
    pub(crate) asks: FxHashMap<RequestId, RequestId>,
    pub(crate) ask_count: u128,
    /// The deadlines of requests whose claim was asked for, granted or not.
    pub(crate) deadlines: BTreeSet<(Time, RequestId)>,
}

impl Keys {
    /// Whether no end has to be sent.
    pub fn is_empty(&self) -> bool {
        self.ends.is_empty()
    }
}

/// The end of a claimed request, to be sent to the key's owner.
pub(crate) fn end(claim: Claim, verdict: &Verdict) -> ClaimEnd {
    let (fate, status, answer) = match verdict {
        Ok(a) => {
            let body = std::str::from_utf8(&a.body).ok().filter(|b| b.len() <= ANSWER_MAX);
            let text = body.map(|b| format!("{}\n{b}", a.content_type).into());
            (ClaimFate::Answered, Some(u32::from(a.status)), text)
        }
        Err(e) if e.kind().answer().ran == Ran::No => (ClaimFate::NotRun, None, None),
        Err(_) => (ClaimFate::Unknown, None, None),
    };
    ClaimEnd { key: claim.key, request: claim.ask, fate, status, answer }
}

/// The answer stored with a key.
pub(crate) fn stored_answer(status: Option<u32>, answer: Option<Box<str>>) -> Verdict {
    let (Some(status), Some(text)) = (status, answer) else {
        return Err(Error::new(
            Kind::KeyUnknown,
            "it was answered, and the answer was too long to keep",
        ));
    };
    let (kind, body) = text.split_once('\n').unwrap_or(("", &text));
    let status = u16::try_from(status).unwrap_or(200);
    Ok(Answer { status, content_type: kind.into(), body: body.to_owned().into() })
}

/// A digest that distinguishes different requests with the same key.
pub(crate) fn digest(ask: &ClientRequest) -> String {
    let mut h = Xxh3Default::new();
    for part in
        [ask.service.as_str().as_bytes(), ask.load.method.as_bytes(), ask.load.path.as_bytes()]
    {
        h.update(&(part.len() as u64).to_le_bytes());
        h.update(part);
    }
    h.update(&ask.load.body);
    let mut text = String::new();
    let _ = write!(text, "{:032x}", h.digest128());
    text
}
