//! All stand-in workers of one process, and the HTTP interface that controls their faults and
//! links.

use {
    crate::{
        link::Link,
        web::{Reply, json, query},
        worker::Worker,
    },
    dogwoodreach::{http::answer, ids::WorkerId},
    hyper::http::request::Parts,
    std::time::Instant,
};

/// The workers, each with the link in front of it.
#[derive(Clone, Default)]
pub struct Fleet {
    workers: Vec<(WorkerId, Worker, Link)>,
}

impl Fleet {
    /// Adds a worker with the link in front of it.
    pub fn add(&mut self, id: WorkerId, worker: Worker, link: Link) {
        self.workers.push((id, worker, link));
    }

    /// Advances all workers to `now`.
    pub fn tick(&self, now: Instant) {
        self.workers.iter().for_each(|(_, w, _)| w.tick(now));
    }

    /// Answers a control call. `/fault` and `/link` set the faults of all workers and links whose
    /// worker id begins with the parameter `worker`; the other paths read what the workers
    /// witnessed.
    pub fn handle(&self, head: &Parts, body: &[u8]) -> Reply {
        let q = query(head);
        let begin = q.get("worker").map_or("", |w| w);
        let mut named = self.workers.iter().filter(|(id, ..)| id.as_str().starts_with(begin));
        let Some(first) = named.next() else { return answer(404, "no such worker") };
        let each = |set: &dyn Fn(&Worker, &Link) -> Reply| {
            let done = set(&first.1, &first.2);
            named.clone().for_each(|(_, w, l)| drop(set(w, l)));
            done
        };
        match head.uri.path() {
            "/fault" => each(&|w, _| w.fault(body)),
            "/link" => each(&|_, l| l.fault(body)),
            "/running" => json(&first.1.witness().tasks()),
            "/last" => json(&first.1.since_last_start(Instant::now())),
            "/witness" => json(&*first.1.witness()),
            "/witness/ran" => json(&first.1.witness().runs()),
            _ => answer(404, "no such call"),
        }
    }
}
