//! Whether a dependency answers: the line that is logged when it is lost and when it is back.

use {crate::time::Time, std::time::Duration};

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
