//! The log: one line for each record, within a budget, written by a thread of its own.
//!
//! A line is `TIME LEVEL TARGET: TEXT KEY=VALUE...`, with the time in UTC and values quoted where
//! they hold blanks. Each place in the source that logs is a kind and has so many lines a second;
//! the next line of a kind says how many were left out before it. What the reader of the output
//! doesn't take fills a bounded ring, and what finds the ring full is dropped and counted: no duty
//! waits for a reader.

use {
    crate::time::Time,
    env_logger::{Builder, Env, Target},
    log::{
        Record,
        kv::{Error, Key, Value, VisitSource},
    },
    rustc_hash::FxHashMap,
    std::{
        fmt::Write as _,
        io::{self, Write},
        mem,
        sync::{Arc, Condvar, Mutex, MutexGuard, OnceLock, PoisonError},
        thread,
        time::{Duration, Instant, SystemTime, UNIX_EPOCH},
    },
};

/// The lines of one kind in a second.
pub const LINES: u32 = 100;
/// The bytes that wait for the writer at the most.
pub const RING: usize = 256 * 1024;
/// How long lines are gathered for one write: each costs two wakes. What a process that dies has
/// not written by then is lost.
const GATHER: Duration = Duration::from_millis(250);
/// How long the end of the process waits for the last write, and how often it looks.
const LAST: (Duration, Duration) = (Duration::from_millis(600), Duration::from_millis(10));
/// A day, in seconds.
const DAY: u64 = 86_400;

/// How many lines of one kind may be written in a second.
#[derive(Clone, Debug)]
pub struct Budget {
    most: u32,
    since: Time,
    used: u32,
    left_out: u64,
}

impl Budget {
    /// So many lines a second.
    pub fn new(most: u32) -> Self {
        Budget { most, since: Time::ZERO, used: 0, left_out: 0 }
    }

    /// Asks for one line: how many were left out before it, or nothing where it is left out too.
    pub fn take(&mut self, now: Time) -> Option<u64> {
        if self.used == 0 || now - self.since >= Duration::from_secs(1) {
            (self.since, self.used) = (now, 0);
        }
        if self.used >= self.most {
            self.left_out += 1;
            return None;
        }
        self.used += 1;
        Some(mem::take(&mut self.left_out))
    }

    /// How many were left out since the last line.
    pub fn left_out(&self) -> u64 {
        self.left_out
    }
}

/// Lines that wait to be written; what finds no room is dropped and counted.
#[derive(Clone)]
pub struct Ring {
    shared: Arc<(Mutex<Waiting>, Condvar)>,
    most: usize,
}

#[derive(Default)]
struct Waiting {
    lines: Vec<u8>,
    dropped: u64,
    writing: bool,
}

impl Ring {
    /// An empty ring for so many bytes.
    pub fn new(most: usize) -> Self {
        Ring { shared: Arc::default(), most }
    }

    fn lock(&self) -> MutexGuard<'_, Waiting> {
        self.shared.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Puts a line in, if it has room; never waits for the writer.
    pub fn put(&self, line: &[u8]) {
        let mut waiting = self.lock();
        if waiting.lines.len() + line.len() > self.most {
            waiting.dropped += 1;
            return;
        }
        // Who writes looks again by itself while there is something.
        let wake = waiting.lines.is_empty() && !waiting.writing;
        waiting.lines.extend_from_slice(line);
        drop(waiting);
        if wake {
            self.shared.1.notify_one();
        }
    }

    /// All that waits, with a line on what was dropped.
    pub fn drain(&self) -> Vec<u8> {
        let mut waiting = self.lock();
        let mut lines = mem::take(&mut waiting.lines);
        let dropped = mem::take(&mut waiting.dropped);
        drop(waiting);
        if dropped > 0 {
            let time = stamp(SystemTime::now());
            let _ = writeln!(
                lines,
                "{time} WARN logs: Lines were dropped, as they were not read in time. dropped={dropped}"
            );
        }
        lines
    }

    /// Writes what comes, until it can't be written any more.
    fn write(&self, mut out: impl Write) {
        loop {
            let mut waiting = self.lock();
            waiting.writing = false;
            while waiting.lines.is_empty() {
                waiting = self.shared.1.wait(waiting).unwrap_or_else(PoisonError::into_inner);
            }
            waiting.writing = true;
            drop(waiting);
            thread::sleep(GATHER);
            let lines = self.drain();
            if out.write_all(&lines).and_then(|()| out.flush()).is_err() {
                return;
            }
        }
    }

    /// Waits until all is written, but not longer than this.
    fn flush(&self, limit: Duration) {
        let begin = Instant::now();
        while begin.elapsed() < limit {
            let waiting = self.lock();
            if waiting.lines.is_empty() && !waiting.writing {
                return;
            }
            drop(waiting);
            thread::sleep(LAST.1);
        }
    }
}

impl Write for Ring {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        self.put(line);
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// The budgets of all kinds; a kind is a place in the source.
struct Budgets {
    begun: Instant,
    kinds: Mutex<FxHashMap<(&'static str, u32), Budget>>,
}

impl Budgets {
    fn take(&self, record: &Record<'_>) -> Option<u64> {
        let kind = (record.file_static().unwrap_or(""), record.line().unwrap_or(0));
        let now = Time::ZERO + self.begun.elapsed();
        let mut kinds = self.kinds.lock().unwrap_or_else(PoisonError::into_inner);
        kinds.entry(kind).or_insert_with(|| Budget::new(LINES)).take(now)
    }
}

static OUT: OnceLock<Ring> = OnceLock::new();

/// Begins to log to the standard output; `usual` is what is logged where the environment doesn't
/// say.
pub fn begin(usual: &str) {
    let ring = OUT.get_or_init(|| Ring::new(RING)).clone();
    let budgets = Budgets { begun: Instant::now(), kinds: Mutex::default() };
    let to = ring.clone();
    let writer = thread::Builder::new().name("log".into()).spawn(move || to.write(io::stdout()));
    if writer.is_err() {
        return;
    }
    let _ = Builder::from_env(Env::default().default_filter_or(usual))
        .target(Target::Pipe(Box::new(ring)))
        .format(move |out, record| match budgets.take(record) {
            Some(left_out) => out.write_all(line(record, left_out, SystemTime::now()).as_bytes()),
            None => Ok(()),
        })
        .try_init();
}

/// Waits for what was logged to be written, but not long: the process is about to end.
pub fn end() {
    if let Some(ring) = OUT.get() {
        ring.flush(LAST.0);
    }
}

/// The line of a record.
pub fn line(record: &Record<'_>, left_out: u64, time: SystemTime) -> String {
    let mut line = Line(String::with_capacity(192));
    let (level, target) = (record.level(), record.target());
    let _ = write!(line.0, "{} {level} {target}: {}", stamp(time), record.args());
    let _ = record.key_values().visit(&mut line);
    if left_out > 0 {
        let _ = write!(line.0, " left_out={left_out}");
    }
    // A cause may hold line ends; a line is one record.
    if line.0.contains('\n') {
        line.0 = line.0.replace('\n', " ");
    }
    line.0.push('\n');
    line.0
}

/// A line that its key-values are added to.
struct Line(String);

impl<'kvs> VisitSource<'kvs> for Line {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        let from = self.0.len();
        let _ = write!(self.0, " {key}={value}");
        let at = from + key.as_str().len() + 2;
        let plain = !self.0[at..].is_empty()
            && !self.0[at..].contains(|c: char| c.is_whitespace() || c == '"');
        if !plain {
            let quoted = format!("{:?}", &self.0[at..]);
            self.0.replace_range(at.., &quoted);
        }
        Ok(())
    }
}

/// A time in UTC, to the millisecond.
pub fn stamp(time: SystemTime) -> String {
    let since = time.duration_since(UNIX_EPOCH).unwrap_or_default();
    let (secs, ms) = (since.as_secs(), since.subsec_millis());
    let (year, month, day) = date(secs / DAY);
    let (h, m, s) = (secs % DAY / 3600, secs % 3600 / 60, secs % 60);
    format!("{year:04}-{month:02}-{day:02}T{h:02}:{m:02}:{s:02}.{ms:03}Z")
}

/// The date of a day since 1970, in years that begin with March, so that leap days come last.
fn date(days: u64) -> (u64, u64, u64) {
    let days = days + 719_468;
    let (era, day) = (days / 146_097, days % 146_097);
    let year = (day - day / 1_460 + day / 36_524 - day / 146_096) / 365;
    let day = day - (365 * year + year / 4 - year / 100);
    let month = (5 * day + 2) / 153;
    let of_month = day - (153 * month + 2) / 5 + 1;
    let month = if month < 10 { month + 3 } else { month - 9 };
    (era * 400 + year + u64::from(month <= 2), month, of_month)
}
