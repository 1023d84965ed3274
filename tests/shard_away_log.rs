//! The log lines about long-running steps that are away.

mod hand;

use {
    dogwoodreach::{
        logs::LINES_PER_SECOND,
        trace::{Line, read},
        work::Step,
    },
    hand::{Harness, job, step},
    log::{LevelFilter, Log, Metadata, Record},
    std::{
        sync::{Mutex, PoisonError},
        time::SystemTime,
    },
};

/// Number of shards whose longest absences a member's log must have room for.
const SHARDS: usize = 5;

/// Keeps the lines about absences, without the budget of a member's log.
struct Lines(Mutex<String>);

static LINES: Lines = Lines(Mutex::new(String::new()));

impl Log for Lines {
    fn enabled(&self, _: &Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &Record<'_>) {
        let line = dogwoodreach::logs::line(record, 0, SystemTime::UNIX_EPOCH);
        if line.contains("did=away") {
            self.0.lock().unwrap_or_else(PoisonError::into_inner).push_str(&line);
        }
    }

    fn flush(&self) {}
}

/// Takes the lines about absences so far.
fn take_lines() -> Vec<Line> {
    let text = std::mem::take(&mut *LINES.0.lock().unwrap_or_else(PoisonError::into_inner));
    read("owner", text.as_bytes())
}

#[test]
fn the_longest_absences_are_logged_when_many_steps_are_away() {
    // All workers are full and 110 long-running steps wait. The lines of one shard would use up the
    // member's lines of a second, and those of the other shards would be left out, the longest
    // absences among them.
    log::set_logger(&LINES).expect("the only logger");
    log::set_max_level(LevelFilter::Info);
    let mut hand = Harness::new(2);
    hand.submit(9, "plain", job(step(2, 4)));
    hand.run(300);
    for no in 100..210 {
        hand.submit(no, "plain", job(Step { lasts: true, ..step(1, 4) }));
        hand.run(20);
    }
    hand.run(3_000);
    take_lines();
    hand.run(1_000);
    let lines = take_lines();
    assert!(!lines.is_empty() && lines.len() * SHARDS <= LINES_PER_SECOND as usize, "{lines:?}");
    let logged: Vec<&str> = lines.iter().filter_map(|l| l.get("step")).collect();
    let all = hand.shard.absences(hand.now);
    assert_eq!(all.len(), 110);
    let longest: Vec<String> = all.iter().take(logged.len()).map(|a| a.key.to_string()).collect();
    assert_eq!(logged, longest);
}
