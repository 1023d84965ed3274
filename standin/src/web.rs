//! What the stand-ins' servers share.

use {
    bytes::Bytes,
    dogwoodreach::http::{Limits, answer},
    http_body_util::Full,
    hyper::{Response, http::request::Parts},
    std::{collections::BTreeMap, time::Duration},
};

/// An answer.
pub type Reply = Response<Full<Bytes>>;

/// Wide limits: the stand-ins are not what is tested.
pub const LIMITS: Limits =
    Limits { body: 64 << 20, connections: 8192, patience: Duration::from_secs(60) };

/// A JSON answer.
pub fn json<T: serde::Serialize>(value: &T) -> Reply {
    match serde_json::to_vec(value) {
        Ok(body) => answer(200, body),
        Err(e) => answer(500, e.to_string()),
    }
}

/// The parameters after the question mark; none of ours need unescaping.
pub fn query(head: &Parts) -> BTreeMap<Box<str>, Box<str>> {
    let query = head.uri.query().unwrap_or("");
    query.split('&').filter_map(|p| p.split_once('=')).map(|(k, v)| (k.into(), v.into())).collect()
}

/// A header as text.
pub fn header<'a>(head: &'a Parts, name: &str) -> &'a str {
    head.headers.get(name).and_then(|v| v.to_str().ok()).unwrap_or("")
}
