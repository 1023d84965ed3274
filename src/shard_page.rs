//! The page `/shards` of a member: the shards that it owns, as JSON for operators.

use {
    crate::{
        http::answer, shard::view::MemberView, shard_runner::ShardInput, shared_state::SharedState,
        time::Time,
    },
    async_channel::Sender,
    bytes::Bytes,
    http_body_util::Full,
    hyper::{
        Response,
        header::{CONTENT_TYPE, HeaderValue},
    },
    std::{sync::Arc, time::Duration},
    tokio::{
        sync::{Mutex, oneshot},
        time::timeout,
    },
};

/// The path of the page.
pub(crate) const PATH: &str = "/shards";
/// Time for which a page is served again.
///
/// A view costs the owner a pass over its workers and waiting steps; requests in quick succession
/// must not take processor time from scheduling.
const PAGE_TTL: Duration = Duration::from_millis(500);
/// Time-out of the shards' answer.
const VIEW_TIMEOUT: Duration = Duration::from_secs(2);

/// Serves the page.
pub(crate) struct ShardPage {
    common: Arc<SharedState>,
    /// Sends inputs to the shards that this member owns.
    shard_inputs: Sender<ShardInput>,
    /// The last page and its time. Requests that arrive meanwhile wait for the same page.
    last: Mutex<Option<(Time, Bytes)>>,
}

impl ShardPage {
    /// Creates the page; `shard_inputs` leads to the shards that this member owns.
    pub fn new(common: Arc<SharedState>, shard_inputs: Sender<ShardInput>) -> Self {
        ShardPage { common, shard_inputs, last: Mutex::default() }
    }

    /// Serves a request for the page.
    pub async fn serve(&self) -> Response<Full<Bytes>> {
        let mut last = self.last.lock().await;
        let now = self.common.now();
        let body = match last.as_ref().filter(|(at, _)| now - *at < PAGE_TTL) {
            Some((_, body)) => body.clone(),
            None => match self.render().await {
                Ok(body) => {
                    *last = Some((self.common.now(), body.clone()));
                    body
                }
                Err(why) => {
                    log::warn!(target: "site", did = "no_view", why; "Shards can't be shown.");
                    return answer(503, format!("{why}\n"));
                }
            },
        };
        let mut page = answer(200, body);
        page.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        page
    }

    async fn render(&self) -> Result<Bytes, &'static str> {
        let (reply, receiver) = oneshot::channel();
        let full = "the shards' queue of inputs is full";
        self.shard_inputs.try_send(ShardInput::View(reply)).map_err(|_| full)?;
        let shards = timeout(VIEW_TIMEOUT, receiver).await;
        let shards = shards.map_err(|_| "the shards gave no answer in time")?;
        let view = MemberView {
            member: self.common.me,
            node: self.common.site.borrow().node.clone(),
            shard_count: self.common.view.borrow().shard_count(),
            shards: shards.map_err(|_| "the member is stopping")?,
        };
        Ok(serde_json::to_vec(&view).map_err(|_| "the view can't be written as JSON")?.into())
    }
}
