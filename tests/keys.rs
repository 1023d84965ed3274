//! What callers that repeat a request with a key are told, without processes: whatever the order of
//! the calls between members, no state is told after a later one.

mod entries;

use {
    arbtest::arbitrary::{Result, Unstructured},
    dogwoodreach::{
        Kind, Ran,
        event::{Call, Outcome, Ticket},
        http::Failure,
    },
    entries::{Net, bound},
    std::{cell::Cell, collections::BTreeSet, time::Duration},
};

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn is_end(call: &Call) -> bool {
    matches!(call, Call::ClaimEnd(_))
}

/// What the caller got: the body of the answer, or the label of the refusal.
fn told(net: &Net, ticket: Ticket) -> Option<String> {
    Some(match net.answers.get(&ticket)? {
        Ok(answer) => String::from_utf8_lossy(&answer.body).into_owned(),
        Err(e) => e.kind().answer().label.into(),
    })
}

/// Runs a first request with a key through member 1; member 0 owns the key.
fn first(net: &mut Net) -> Ticket {
    let first = net.ask(1, "cover");
    net.deliver_all(|_| false);
    assert_eq!((net.running.len(), told(net, first)), (1, None));
    first
}

// A broker's cover is bound and the broker told so; the same request through another member, sent
// after that, was answered "409 key_running", as it reached the key's owner before the notice of the
// first one's end did.
#[test]
fn a_repeat_after_the_answer_gets_the_answer() {
    let mut net = Net::new(3);
    let first = first(&mut net);
    net.end(bound());
    assert_eq!(told(&net, first).as_deref(), Some("bound"));
    let repeat = net.ask(2, "cover");
    net.deliver_all(is_end);
    assert_eq!(told(&net, repeat).as_deref(), Some("bound"));
    net.deliver_all(|_| false);
    assert_eq!(net.ran.len(), 1);
}

// The same through the key's owner itself.
#[test]
fn a_repeat_at_the_owner_gets_the_answer() {
    let mut net = Net::new(3);
    first(&mut net);
    net.end(bound());
    let repeat = net.ask(0, "cover");
    net.deliver_all(is_end);
    assert_eq!(told(&net, repeat).as_deref(), Some("bound"));
}

// The notice of the end is lost, and the key passes to another member, which finds the claim
// running in the record.
#[test]
fn a_repeat_after_the_key_has_passed_on_gets_the_answer() {
    let mut net = Net::new(3);
    first(&mut net);
    net.end(bound());
    let at = net.messages.iter().position(|m| is_end(&m.call)).expect("a notice");
    net.deliver(at, true);
    net.own(2, &[0, 1, 2]);
    net.advance(ms(20));
    let repeat = net.ask(0, "cover");
    net.deliver_all(is_end);
    assert_eq!(told(&net, repeat).as_deref(), Some("bound"));
}

// The former owner of the key stood still while another took over and was told the end; it wakes,
// its claim still running, and is asked by a member that has not heard of the takeover either.
#[test]
fn a_former_owner_does_not_tell_that_a_request_is_running() {
    let mut net = Net::new(4);
    first(&mut net);
    net.own(3, &[1, 3]);
    net.advance(ms(20));
    net.end(bound());
    for _ in 0..30 {
        net.advance(ms(20));
        net.deliver_all(|_| false);
    }
    let repeat = net.ask(2, "cover");
    net.deliver_all(|_| false);
    assert_eq!(told(&net, repeat), None);
    net.tell_owner(3, 2);
    net.advance(ms(120));
    net.deliver_all(|_| false);
    assert_eq!(told(&net, repeat).as_deref(), Some("bound"));
}

// The first request was refused as not run and its caller told to come back. A repeat that comes
// before the notice of the end runs; it was refused as if the first were running.
#[test]
fn a_repeat_of_a_request_that_did_not_run_runs() {
    let mut net = Net::new(3);
    let first = first(&mut net);
    net.end(Outcome::Refused(Kind::QueueFull.into()));
    assert_eq!(told(&net, first).as_deref(), Some("queue_full"));
    let repeat = net.ask(2, "cover");
    net.deliver_all(is_end);
    assert_eq!(told(&net, repeat), None);
    net.deliver_all(|_| false);
    net.advance(ms(120));
    net.deliver_all(|_| false);
    net.end(bound());
    assert_eq!(told(&net, repeat).as_deref(), Some("bound"));
}

#[test]
fn a_repeat_of_a_running_request_is_told_so() {
    let mut net = Net::new(3);
    let first = first(&mut net);
    for via in 0..3 {
        let repeat = net.ask(via, "cover");
        net.deliver_all(|_| false);
        assert_eq!(told(&net, repeat).as_deref(), Some("key_running"));
    }
    assert_eq!(told(&net, first), None);
}

// The member that ran the first request is gone with what it knew: nobody can say how it ended.
#[test]
fn a_repeat_after_the_first_ones_member_died_may_have_run() {
    let mut net = Net::new(3);
    first(&mut net);
    net.dead.push(1);
    let repeat = net.ask(2, "cover");
    net.deliver_all(|_| false);
    let verdict = net.answers.get(&repeat).expect("an answer").as_ref();
    let error = verdict.expect_err("a refusal");
    assert_eq!((error.kind(), error.kind().answer().ran), (Kind::KeyRunning, Ran::Unknown));
}

/// Two keys under random orders of events; `over` has the keys of which some caller heard an end.
struct World {
    net: Net,
    /// The ticket and key of each request, and whether the key's end was told before it was sent.
    asks: Vec<(Ticket, usize, bool)>,
    over: BTreeSet<usize>,
    owner: usize,
    untold: Vec<usize>,
    /// Whether a query for an end was lost, so that nobody can know.
    lost_probe: bool,
}

impl World {
    fn step(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        let members = self.net.cores.len();
        match u.int_in_range(0..=19)? {
            0..=3 => {
                let (via, key) = (u.choose_index(members)?, u.choose_index(2)?);
                let late = self.over.contains(&key);
                self.asks.push((self.net.ask(via, &format!("key-{key}")), key, late));
            }
            4..=5 if !self.net.running.is_empty() => {
                let outcome = match u.int_in_range(0..=5)? {
                    0..=2 => bound(),
                    3 => Outcome::Failed(Failure::Broken),
                    _ => Outcome::Refused(Kind::QueueFull.into()),
                };
                self.net.end(outcome);
            }
            6 => self.net.advance(ms(u.int_in_range(20..=700)?)),
            7 if self.untold.is_empty() => {
                self.owner = u.choose_index(members)?;
                self.untold = (0..members).collect();
                self.net.own(self.owner, &[]);
            }
            7..=9 if !self.untold.is_empty() => {
                let at = self.untold.remove(u.choose_index(self.untold.len())?);
                self.net.tell_owner(self.owner, at);
            }
            _ if !self.net.messages.is_empty() => {
                let at = u.choose_index(self.net.messages.len())?;
                let lose = u.ratio(1, 10)?;
                let probe = matches!(self.net.messages[at].call, Call::ClaimProbe(_));
                self.lost_probe |= lose && probe;
                self.net.deliver(at, lose);
            }
            _ => {}
        }
        Ok(())
    }

    /// Checks what callers were told. `AtMostOnce`: no key ran twice. `NotOver`: who asked after a
    /// caller had heard how a key's request ended does not hear that it is running.
    fn check(&mut self) {
        for (ticket, key, late) in &self.asks {
            let Some(label) = told(&self.net, *ticket) else { continue };
            assert!(!late || label != "key_running" || self.lost_probe, "NotOver: key {key}");
            if matches!(&*label, "bound" | "broken" | "key_unknown") {
                self.over.insert(*key);
            }
        }
        for key in 0..2 {
            let of_key = |id| self.asks.iter().any(|(t, k, _)| (*t, *k) == (id, key));
            let ran = self.net.ran.iter().filter(|r| of_key(r.0 as u64)).count();
            assert!(ran <= 1, "AtMostOnce: key {key} ran {ran} times");
        }
    }

    /// How many late callers were told each of these.
    fn count(&self, label: &str) -> u32 {
        let late = self.asks.iter().filter(|(_, _, late)| *late);
        late.filter(|(t, ..)| told(&self.net, *t).as_deref() == Some(label)).map(|_| 1).sum()
    }
}

// Calls between members arrive in any order, late or not at all, and the key's owner changes, of
// which members hear at different times.
#[test]
fn no_state_is_told_after_a_later_one() {
    let seen: [Cell<u32>; 3] = Default::default();
    for seed in 0..40_u64 {
        let mixed = (seed + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 32;
        arbtest::arbtest(|u| {
            let mut world = World {
                net: Net::new(4),
                asks: vec![],
                over: BTreeSet::new(),
                owner: 0,
                untold: vec![],
                lost_probe: false,
            };
            while !u.is_empty() {
                world.step(u)?;
                world.check();
            }
            for (total, label) in seen.iter().zip(["bound", "key_unknown", "outcome_unknown"]) {
                total.set(total.get() + world.count(label));
            }
            Ok(())
        })
        .seed(mixed << 32 | 1200);
    }
    let seen = seen.map(|n| n.get());
    println!("late callers told: bound, key_unknown, outcome_unknown {seen:?}");
    assert!(seen[0] > 1000 && seen[1] > 300, "hardly any late caller was answered: {seen:?}");
}
