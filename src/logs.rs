//! The log: one line per record, with a rate limit, written by a thread of its own.
//!
//! A line is `TIME LEVEL TARGET: TEXT KEY=VALUE...`, with the time in UTC and with quotes around
//! values that contain blanks. Every log statement in the source has a budget of lines per second;
//! its next line states how many were left out before. Lines that wait for the reader of the output
//! are kept in a bounded buffer, and a line that finds the buffer full is dropped and counted, so
//! that no task of the process waits for a slow reader.

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

/// Maximum number of lines per second of one log statement.
pub const LINES_PER_SECOND: u32 = 100;
/// Maximum number of bytes of log lines that wait to be written.
pub const RING_BYTES: usize = 256 * 1024;
/// Maximum number of bytes of a write with more than one line: a pipe takes as many at once, so that
/// no reader sees a part of a line. As soon as so many bytes wait, they are written.
pub const MAX_WRITE_BYTES: usize = 4096;
/// Time for which lines are collected before a write, because each write costs two wake-ups. Lines
/// collected when a process dies are lost.
const BATCH_DELAY: Duration = Duration::from_millis(250);
/// Maximum wait for the last write when the process ends, and the interval between checks.
const EXIT_WAIT: (Duration, Duration) = (Duration::from_millis(600), Duration::from_millis(10));
/// A day, in seconds.
const DAY_SECONDS: u64 = 86_400;

/// Limits the lines of one log statement per second.
#[derive(Clone, Debug)]
pub struct LineBudget {
    limit: u32,
    since: Time,
    lines: u32,
    left_out: u64,
}

impl LineBudget {
    /// Creates a budget of `limit` lines per second.
    pub fn new(limit: u32) -> Self {
        LineBudget { limit, since: Time::ZERO, lines: 0, left_out: 0 }
    }

    /// Returns the number of lines left out before this line, or `None` if this line is to be left
    /// out too.
    pub fn take_line(&mut self, now: Time) -> Option<u64> {
        if self.lines == 0 || now - self.since >= Duration::from_secs(1) {
            (self.since, self.lines) = (now, 0);
        }
        if self.lines >= self.limit {
            self.left_out += 1;
            return None;
        }
        self.lines += 1;
        Some(mem::take(&mut self.left_out))
    }

    /// Returns the number of lines left out since the last line that was written.
    pub fn left_out(&self) -> u64 {
        self.left_out
    }
}

/// A bounded buffer of lines to be written; lines that do not fit are dropped and counted.
#[derive(Clone)]
pub struct LineBuffer {
    shared: Arc<(Mutex<BufferState>, Condvar)>,
    limit: usize,
}

#[derive(Default)]
struct BufferState {
    lines: Vec<u8>,
    dropped: u64,
    writing: bool,
}

impl LineBuffer {
    /// Creates an empty buffer of `limit` bytes.
    pub fn new(limit: usize) -> Self {
        LineBuffer { shared: Arc::default(), limit }
    }

    fn lock(&self) -> MutexGuard<'_, BufferState> {
        self.shared.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Appends a line if it fits; never waits for the writer.
    pub fn put(&self, line: &[u8]) {
        let mut buffer = self.lock();
        if buffer.lines.len() + line.len() > self.limit {
            buffer.dropped += 1;
            return;
        }
        // The writer checks the buffer again before it waits, so a wake-up is needed only if it is
        // idle, or collects lines and now has enough.
        let before = buffer.lines.len();
        buffer.lines.extend_from_slice(line);
        let enough = before < MAX_WRITE_BYTES && buffer.lines.len() >= MAX_WRITE_BYTES;
        let wake = enough || (before == 0 && !buffer.writing);
        drop(buffer);
        if wake {
            self.shared.1.notify_one();
        }
    }

    /// Takes all waiting lines, followed by a line that states how many were dropped.
    pub fn drain(&self) -> Vec<u8> {
        let mut buffer = self.lock();
        let mut lines = mem::take(&mut buffer.lines);
        let dropped = mem::take(&mut buffer.dropped);
        drop(buffer);
        if dropped > 0 {
            let time = format_time(SystemTime::now());
            let _ = writeln!(
                lines,
                "{time} WARN logs: Lines were dropped because the output was not read in time. dropped={dropped}"
            );
        }
        lines
    }

    /// Writes lines as they arrive, until a write fails.
    pub fn write(&self, mut out: impl Write) {
        loop {
            let mut buffer = self.lock();
            buffer.writing = false;
            while buffer.lines.is_empty() {
                buffer = self.shared.1.wait(buffer).unwrap_or_else(PoisonError::into_inner);
            }
            buffer.writing = true;
            let few = |b: &mut BufferState| b.lines.len() < MAX_WRITE_BYTES;
            let collected = self.shared.1.wait_timeout_while(buffer, BATCH_DELAY, few);
            drop(collected.unwrap_or_else(PoisonError::into_inner));
            let lines = self.drain();
            let mut rest = &lines[..];
            while !rest.is_empty() {
                let (piece, after) = rest.split_at(piece_length(rest));
                if out.write_all(piece).and_then(|()| out.flush()).is_err() {
                    return;
                }
                rest = after;
            }
        }
    }

    /// Waits until all lines are written, at most for `limit`.
    fn flush(&self, limit: Duration) {
        let started_at = Instant::now();
        while started_at.elapsed() < limit {
            let buffer = self.lock();
            if buffer.lines.is_empty() && !buffer.writing {
                return;
            }
            drop(buffer);
            thread::sleep(EXIT_WAIT.1);
        }
    }
}

/// Length of the whole lines at the beginning that one write may have; at least one line.
fn piece_length(lines: &[u8]) -> usize {
    let end = |part: &[u8]| part.iter().rposition(|b| *b == b'\n').map(|at| at + 1);
    let first = || lines.iter().position(|b| *b == b'\n').map(|at| at + 1);
    let fitting = &lines[..lines.len().min(MAX_WRITE_BYTES)];
    end(fitting).or_else(first).unwrap_or(lines.len())
}

impl Write for LineBuffer {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        self.put(line);
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// The budgets of all log statements, by file and line.
struct Budgets {
    started_at: Instant,
    budgets: Mutex<FxHashMap<(&'static str, u32), LineBudget>>,
}

impl Budgets {
    fn admit(&self, record: &Record<'_>) -> Option<u64> {
        let place = (record.file_static().unwrap_or(""), record.line().unwrap_or(0));
        let now = Time::ZERO + self.started_at.elapsed();
        let mut budgets = self.budgets.lock().unwrap_or_else(PoisonError::into_inner);
        budgets.entry(place).or_insert_with(|| LineBudget::new(LINES_PER_SECOND)).take_line(now)
    }
}

static OUT: OnceLock<LineBuffer> = OnceLock::new();

/// Starts logging to the standard output; `default_filter` is the filter that applies if the environment
/// sets none.
pub fn init(default_filter: &str) {
    let ring = OUT.get_or_init(|| LineBuffer::new(RING_BYTES)).clone();
    let budgets = Budgets { started_at: Instant::now(), budgets: Mutex::default() };
    let to = ring.clone();
    let writer = thread::Builder::new().name("log".into()).spawn(move || to.write(io::stdout()));
    if writer.is_err() {
        return;
    }
    let _ = Builder::from_env(Env::default().default_filter_or(default_filter))
        .target(Target::Pipe(Box::new(ring)))
        .format(move |out, record| match budgets.admit(record) {
            Some(left_out) => out.write_all(line(record, left_out, SystemTime::now()).as_bytes()),
            None => Ok(()),
        })
        .try_init();
}

/// Waits a short time for the logged lines to be written, because the process is about to end.
pub fn flush() {
    if let Some(ring) = OUT.get() {
        ring.flush(EXIT_WAIT.0);
    }
}

/// Formats a record as a line.
pub fn line(record: &Record<'_>, left_out: u64, time: SystemTime) -> String {
    let mut line = Line(String::with_capacity(192));
    let (level, target) = (record.level(), record.target());
    let _ = write!(line.0, "{} {level} {target}: {}", format_time(time), record.args());
    let _ = record.key_values().visit(&mut line);
    if left_out > 0 {
        let _ = write!(line.0, " left_out={left_out}");
    }
    // A value may contain line breaks, but a record has to stay on one line.
    if line.0.contains('\n') {
        line.0 = line.0.replace('\n', " ");
    }
    line.0.push('\n');
    line.0
}

/// A line under construction, to which key-value pairs are appended.
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

/// Formats a time in UTC, with milliseconds.
pub fn format_time(time: SystemTime) -> String {
    let since = time.duration_since(UNIX_EPOCH).unwrap_or_default();
    let (secs, ms) = (since.as_secs(), since.subsec_millis());
    let (year, month, day) = date(secs / DAY_SECONDS);
    let (h, m, s) = (secs % DAY_SECONDS / 3600, secs % 3600 / 60, secs % 60);
    format!("{year:04}-{month:02}-{day:02}T{h:02}:{m:02}:{s:02}.{ms:03}Z")
}

/// Converts days since 1970 to a date. Years are counted from March, so that leap days come last.
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
