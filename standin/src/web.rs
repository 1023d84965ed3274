//! Helpers of the stand-ins' HTTP servers.

use {
    bytes::Bytes,
    dogwoodreach::{http::answer, server::Limits},
    http_body_util::Full,
    hyper::{Response, http::request::Parts},
    std::{collections::BTreeMap, time::Duration},
};

/// An HTTP answer.
pub type Reply = Response<Full<Bytes>>;

/// Limits wide enough that the stand-ins never restrict the system under test.
pub const LIMITS: Limits = Limits::new(64 << 20, 8192, Duration::from_secs(60));

/// Serializes a value as a JSON answer.
pub fn json<T: serde::Serialize>(value: &T) -> Reply {
    match serde_json::to_vec(value) {
        Ok(body) => answer(200, body),
        Err(e) => answer(500, e.to_string()),
    }
}

/// The query parameters of a request. The tests use none that need percent-decoding.
pub fn query(head: &Parts) -> BTreeMap<Box<str>, Box<str>> {
    let query = head.uri.query().unwrap_or("");
    query.split('&').filter_map(|p| p.split_once('=')).map(|(k, v)| (k.into(), v.into())).collect()
}

/// Value of a header as text, or "" if it is absent.
pub fn header<'a>(head: &'a Parts, name: &str) -> &'a str {
    head.headers.get(name).and_then(|v| v.to_str().ok()).unwrap_or("")
}
