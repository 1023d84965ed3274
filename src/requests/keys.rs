//! The claims on keys of non-idempotent requests, as the member that holds the requests keeps them.
//!
//! A request is dispatched only once its claim is granted. An ask that was refused because the bucket
//! changed hands, or whose answer was lost, may have been committed all the same: its end, "not run",
//! is told until it is kept, and the request asks anew under another id. So an old grant can never be
//! taken for the new one's.

use {
    crate::{
        error::{Error, Kind, Ran},
        event::{Answer, Ask, Ticket, Verdict},
        ids::{Key, RequestId},
        messages::{ClaimEnd, ClaimFate, ClaimReply},
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

/// The largest answer that is kept with a key, in bytes.
///
/// A repeat of a bound cover or a paid grant needs its confirmation, which is short; the bucket's
/// record has to stay far below the key-value service's megabyte.
const KEPT: usize = 2048;
/// The pause before an unanswered word of a claim's end is sent again.
pub(crate) const AGAIN: Duration = Duration::from_millis(500);
/// Marks the ids of asks that are made anew, which must differ from all ids of requests.
pub(crate) const ANEW: u128 = 1 << 63;
/// Marks the ticket of a claim's end that this member tells itself.
pub(crate) const OWN_END: Ticket = 1 << 63;

/// A request's claim.
pub(crate) struct Claim {
    /// The key.
    pub key: Key,
    /// The id that the claim was last asked under.
    pub ask: RequestId,
}

/// What is kept of claims beside their requests.
#[derive(Default)]
pub(crate) struct Keys {
    /// The ends that are not known to be kept, and when to tell them again.
    pub(crate) ends: BTreeMap<(Key, RequestId), (ClaimEnd, Time)>,
    pub(crate) told: FxHashMap<Ticket, (Key, RequestId)>,
    pub(crate) own: Ticket,
    /// The requests by the ids of asks that were made anew.
    pub(crate) asks: FxHashMap<RequestId, RequestId>,
    pub(crate) anew: u128,
    /// When requests whose claim was asked for have to be answered, granted or not.
    pub(crate) limits: BTreeSet<(Time, RequestId)>,
}

impl Keys {
    /// Whether no end has to be told.
    pub fn is_empty(&self) -> bool {
        self.ends.is_empty()
    }

    /// Whether an earlier ask of this member's for a key may stand as its claim.
    pub fn doubtful(&self, key: &Key) -> bool {
        self.ends.keys().any(|(k, _)| k == key)
    }
}

/// How a claimed request ended, for the key's owner.
pub(crate) fn end(claim: Claim, verdict: &Verdict) -> ClaimEnd {
    let (fate, status, answer) = match verdict {
        Ok(a) => {
            let body = std::str::from_utf8(&a.body).ok().filter(|b| b.len() <= KEPT);
            let text = body.map(|b| format!("{}\n{b}", a.kind).into());
            (ClaimFate::Answered, Some(u32::from(a.status)), text)
        }
        Err(e) if e.kind().answer().ran == Ran::No => (ClaimFate::NotRun, None, None),
        Err(_) => (ClaimFate::Unknown, None, None),
    };
    ClaimEnd { key: claim.key, request: claim.ask, fate, status, answer }
}

/// The answer kept with a key.
pub(crate) fn kept(reply: ClaimReply) -> Verdict {
    let (Some(status), Some(text)) = (reply.status, reply.answer) else {
        return Err(Error::new(
            Kind::KeyUnknown,
            "it was answered, and the answer was too long to keep",
        ));
    };
    let (kind, body) = text.split_once('\n').unwrap_or(("", &text));
    let status = u16::try_from(status).unwrap_or(200);
    Ok(Answer { status, kind: kind.into(), body: body.to_owned().into() })
}

/// A digest by which another request with the same key is told apart.
pub(crate) fn digest(ask: &Ask) -> String {
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
