//! Simulates the slots of a service and the arrivals of requests in virtual time.

use {
    super::{EventQueue, exponential, ms},
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

/// A request and its actual run time `run_time`, which may differ from the expected one.
#[derive(Clone)]
pub struct TimedRequest {
    pub item: Item,
    pub run_time: Duration,
}

/// A request of a caller that is alone in its team; the request runs as long as expected.
pub fn ask(caller: &str, born: Time, left: Duration, run: Duration) -> TimedRequest {
    let (caller, team) = (caller.into(), caller.into());
    let item = Item {
        id: RequestId(0),
        caller,
        team,
        arrived_at: born,
        deadline: born + left,
        run_time: run,
    };
    TimedRequest { item, run_time: run }
}

/// Poisson arrivals of one caller at `rate` per second from 0 to `until`, with exponentially
/// distributed run times of mean `run_time` in milliseconds.
pub fn poisson_arrivals(
    seed: u64,
    caller: &str,
    rate: f64,
    until: Time,
    left: u64,
    run: u64,
) -> Vec<TimedRequest> {
    let mut rng = fastrand::Rng::with_seed(seed);
    let (mut now, mut asks) = (Time::ZERO, Vec::new());
    loop {
        now = now + exponential(&mut rng, Duration::from_secs_f64(1.0 / rate));
        if now > until {
            return asks;
        }
        let real = exponential(&mut rng, ms(run));
        asks.push(TimedRequest { run_time: real, ..ask(caller, now, ms(left), ms(run)) });
    }
}

/// The end of a request as its caller sees it.
#[derive(Debug)]
pub enum Ending {
    Answered { wait: Duration, end: Time },
    Refused(Error),
    Expired(Duration),
}

pub struct Outcome {
    pub item: Item,
    pub ending: Ending,
}

impl Outcome {
    /// Whether the complete answer arrived by the deadline.
    pub fn good(&self) -> bool {
        matches!(self.ending, Ending::Answered { end, .. } if end <= self.item.deadline)
    }

    /// The time that a request waited before it ran; `None` if it did not run.
    pub fn wait(&self) -> Option<Duration> {
        if let Ending::Answered { wait, .. } = self.ending { Some(wait) } else { None }
    }
}

/// How requests are admitted and ordered.
pub enum Admission {
    /// First come, first served, with no bound on the queue.
    Fifo(VecDeque<Item>),
    Fair(Queue),
    Gate(Box<Gate>, Queue),
}

impl Admission {
    fn push(&mut self, item: Item, now: Time) -> Result<(), Error> {
        match self {
            Admission::Fifo(queue) => queue.push_back(item),
            Admission::Fair(queue) => queue.push(item, now)?,
            Admission::Gate(gate, queue) => gate.admit(queue, item, now)?,
        }
        Ok(())
    }

    fn pop(&mut self, now: Time) -> Option<Item> {
        match self {
            Admission::Fifo(queue) => queue.pop_front(),
            Admission::Fair(queue) => queue.pop(now),
            Admission::Gate(gate, queue) => gate.pop(queue, now),
        }
    }

    fn queue(&mut self) -> Option<&mut Queue> {
        match self {
            Admission::Fifo(_) => None,
            Admission::Fair(queue) | Admission::Gate(_, queue) => Some(queue),
        }
    }
}

/// Simulates the arrivals with `slots` slots until all requests have ended.
pub fn simulate(
    asks: impl IntoIterator<Item = TimedRequest>,
    slots: u32,
    mut door: Admission,
) -> Vec<Outcome> {
    let (mut events, mut run_times, mut outcomes) = (EventQueue::new(), Vec::new(), Vec::new());
    for ask in asks {
        let id = RequestId(run_times.len() as u128);
        run_times.push(ask.run_time);
        events.add(ask.item.arrived_at, (Item { id, ..ask.item }, None));
    }
    let mut free = slots;
    while let Some((now, (item, started))) = events.next() {
        if let Some(start) = started {
            free += 1;
            let wait = now.since(item.arrived_at) - now.since(start);
            if let Some(queue) = door.queue() {
                queue.record_end(&item, now.since(start));
            }
            outcomes.push(Outcome { item, ending: Ending::Answered { wait, end: now } });
        } else if let Err(e) = door.push(item.clone(), now) {
            outcomes.push(Outcome { item, ending: Ending::Refused(e) });
        }
        for item in door.queue().map(|q| q.expire(now)).unwrap_or_default() {
            let wait = now.since(item.arrived_at);
            outcomes.push(Outcome { item, ending: Ending::Expired(wait) });
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
