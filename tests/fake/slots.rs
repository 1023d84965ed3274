//! Simulates the slots of a service and the arrivals of requests in virtual time.

use {
    super::{Agenda, exp, ms},
    dogwoodreach::{
        Error, Time,
        decide::{
            admit::Gate,
            fair::{Item, Queue},
        },
        ids::RequestId,
    },
    std::{collections::VecDeque, time::Duration},
};

/// A request and its actual run time `real`, which may differ from the expected one.
#[derive(Clone)]
pub struct Ask {
    pub item: Item,
    pub real: Duration,
}

/// A request of a caller that is alone in its team; the request runs as long as expected.
pub fn ask(caller: &str, born: Time, left: Duration, run: Duration) -> Ask {
    let (caller, team) = (caller.into(), caller.into());
    let item = Item { id: RequestId(0), caller, team, born, deadline: born + left, run };
    Ask { item, real: run }
}

/// Poisson arrivals of one caller at `rate` per second from 0 to `until`, with exponentially
/// distributed run times of mean `run` in milliseconds.
pub fn stream(seed: u64, caller: &str, rate: f64, until: Time, left: u64, run: u64) -> Vec<Ask> {
    let mut rng = fastrand::Rng::with_seed(seed);
    let (mut now, mut asks) = (Time::ZERO, Vec::new());
    loop {
        now = now + exp(&mut rng, Duration::from_secs_f64(1.0 / rate));
        if now > until {
            return asks;
        }
        let real = exp(&mut rng, ms(run));
        asks.push(Ask { real, ..ask(caller, now, ms(left), ms(run)) });
    }
}

/// The end of a request as its caller sees it.
#[derive(Debug)]
pub enum Fate {
    Answered { wait: Duration, end: Time },
    Refused(Error),
    Expired(Duration),
}

pub struct Outcome {
    pub item: Item,
    pub fate: Fate,
}

impl Outcome {
    /// Whether the complete answer arrived by the deadline.
    pub fn good(&self) -> bool {
        matches!(self.fate, Fate::Answered { end, .. } if end <= self.item.deadline)
    }

    /// The time that a request waited before it ran; `None` if it did not run.
    pub fn wait(&self) -> Option<Duration> {
        if let Fate::Answered { wait, .. } = self.fate { Some(wait) } else { None }
    }
}

/// How requests are admitted and ordered.
pub enum Door {
    /// First come, first served, with no bound on the queue.
    Plain(VecDeque<Item>),
    Fair(Queue),
    Gate(Box<Gate>, Queue),
}

impl Door {
    fn push(&mut self, item: Item, now: Time) -> Result<(), Error> {
        match self {
            Door::Plain(queue) => queue.push_back(item),
            Door::Fair(queue) => queue.push(item, now)?,
            Door::Gate(gate, queue) => gate.admit(queue, item, now)?,
        }
        Ok(())
    }

    fn pop(&mut self, now: Time) -> Option<Item> {
        match self {
            Door::Plain(queue) => queue.pop_front(),
            Door::Fair(queue) => queue.pop(now),
            Door::Gate(gate, queue) => gate.pop(queue, now),
        }
    }

    fn queue(&mut self) -> Option<&mut Queue> {
        match self {
            Door::Plain(_) => None,
            Door::Fair(queue) | Door::Gate(_, queue) => Some(queue),
        }
    }
}

/// Simulates the arrivals with `slots` slots until all requests have ended.
pub fn play(asks: impl IntoIterator<Item = Ask>, slots: u32, mut door: Door) -> Vec<Outcome> {
    let (mut events, mut run_times, mut outcomes) = (Agenda::new(), Vec::new(), Vec::new());
    for ask in asks {
        let id = RequestId(run_times.len() as u128);
        run_times.push(ask.real);
        events.add(ask.item.born, (Item { id, ..ask.item }, None));
    }
    let mut free = slots;
    while let Some((now, (item, started))) = events.next() {
        if let Some(start) = started {
            free += 1;
            let wait = now.since(item.born) - now.since(start);
            if let Some(queue) = door.queue() {
                queue.done(&item, now.since(start));
            }
            outcomes.push(Outcome { item, fate: Fate::Answered { wait, end: now } });
        } else if let Err(e) = door.push(item.clone(), now) {
            outcomes.push(Outcome { item, fate: Fate::Refused(e) });
        }
        for item in door.queue().map(|q| q.expire(now)).unwrap_or_default() {
            let wait = now.since(item.born);
            outcomes.push(Outcome { item, fate: Fate::Expired(wait) });
        }
        while free > 0
            && let Some(item) = door.pop(now)
        {
            free -= 1;
            events.add(now + run_times[item.id.0 as usize], (item, Some(now)));
        }
    }
    outcomes
}
