//! Whether a dependency answers, and how fast: the lines that are logged when it is lost, slow, and
//! as it was again.

use {
    crate::time::Time,
    std::{collections::VecDeque, time::Duration},
};

/// So many calls on end without an answer mean that it is lost.
pub const LOST: u32 = 3;

/// What the last calls of one dependency say of it.
#[derive(Clone, Debug, Default)]
pub struct Contact {
    failed: u32,
    since: Time,
    lost: bool,
}

/// A change that is worth a line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum News {
    /// No answer since then.
    Lost(Time),
    /// It answers again, after so long.
    Back(Duration),
}

impl Contact {
    /// Takes in a call: whether it had an answer.
    pub fn called(&mut self, answered: bool, now: Time) -> Option<News> {
        if answered {
            let was = std::mem::take(self);
            return was.lost.then(|| News::Back(now - was.since));
        }
        if self.failed == 0 {
            self.since = now;
        }
        self.failed += 1;
        if self.lost || self.failed < LOST {
            return None;
        }
        self.lost = true;
        Some(News::Lost(self.since))
    }
}

/// So many last answers are looked at.
pub const ANSWERS: usize = 9;
/// Their median is slow from here on, and quick again below the second: the store answers in 4 ms,
/// and a burst of our own makes it 10 or 20.
pub const SLOW: (Duration, Duration) = (Duration::from_millis(50), Duration::from_millis(25));

/// How fast a dependency answers.
///
/// Guards against a cause that nobody sees: a slow store refuses nothing and loses nothing, and each
/// job that comes is late by as much twice.
#[derive(Clone, Debug, Default)]
pub struct Speed {
    last: VecDeque<Duration>,
    slow: bool,
}

/// A change of the speed that is worth a line, with the median of the last answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Tempo {
    /// Answers take long.
    Slow(Duration),
    /// They don't any more.
    Quick(Duration),
}

impl Speed {
    /// Takes in how long an answer took.
    pub fn answered(&mut self, time: Duration) -> Option<Tempo> {
        if self.last.len() == ANSWERS {
            self.last.pop_front();
        }
        self.last.push_back(time);
        if self.last.len() < ANSWERS {
            return None;
        }
        let mut sorted: Vec<Duration> = self.last.iter().copied().collect();
        sorted.sort_unstable();
        let median = sorted[ANSWERS / 2];
        let slow = if self.slow { median >= SLOW.1 } else { median >= SLOW.0 };
        if std::mem::replace(&mut self.slow, slow) == slow {
            return None;
        }
        Some(if slow { Tempo::Slow(median) } else { Tempo::Quick(median) })
    }
}
