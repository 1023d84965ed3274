//! Parses log lines, with or without the test bed's prefix.

use {
    serde::{Serialize, Serializer},
    std::collections::BTreeMap,
};

/// A parsed line.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Line {
    /// Time in milliseconds of Unix time, corrected for the node's clock if that is possible.
    pub at: i64,
    /// Name of the node, or of the file if the lines have no prefix.
    pub node: Box<str>,
    /// The line from its level on.
    pub text: Box<str>,
    /// The key-value pairs.
    #[serde(serialize_with = "pairs")]
    pub pairs: BTreeMap<Box<str>, Box<str>>,
}

fn pairs<S: Serializer>(pairs: &BTreeMap<Box<str>, Box<str>>, to: S) -> Result<S::Ok, S::Error> {
    to.collect_map(pairs)
}

impl Line {
    /// The value of a key.
    pub fn get(&self, key: &str) -> Option<&str> {
        self.pairs.get(key).map(|v| &**v)
    }

    /// The event that the line records: its value of `did`, or an empty text.
    pub fn did(&self) -> &str {
        self.get("did").unwrap_or("")
    }

    /// The value of a key as a number; 0 if it is missing or not a number.
    pub fn number(&self, key: &str) -> u64 {
        self.get(key).and_then(|v| v.parse().ok()).unwrap_or(0)
    }

    /// Rank of the event among lines with the same time: causes before effects.
    pub fn rank(&self) -> u8 {
        match self.did() {
            "taken" => 0,
            "known" => 1,
            "start" => 2,
            "over" => 4,
            _ => 3,
        }
    }
}

/// Parses the lines of one file and skips everything that is not a log line.
///
/// The test bed's prefix has the time at which a line was received. That clock is right, but the
/// time is late by the batching of log lines. So each node's clock is corrected by the smallest
/// difference between the prefix and the time in the line itself.
pub fn read(name: &str, bytes: &[u8]) -> Vec<Line> {
    let text = String::from_utf8_lossy(bytes);
    let mut shifts: BTreeMap<Box<str>, i64> = BTreeMap::new();
    let mut lines = vec![];
    for (outer, line) in text.lines().filter_map(|l| parse_line(name, l)) {
        if let Some(outer) = outer {
            let by = outer - line.at;
            shifts.entry(line.node.clone()).and_modify(|b| *b = (*b).min(by)).or_insert(by);
        }
        lines.push(line);
    }
    for line in &mut lines {
        line.at += shifts.get(&line.node).copied().unwrap_or(0);
    }
    lines
}

/// A parsed line and, if it has a prefix, the time of the prefix in milliseconds.
fn parse_line(name: &str, line: &str) -> Option<(Option<i64>, Line)> {
    let line = line.trim();
    let (first, rest) = line.split_once(' ')?;
    if let Some(at) = parse_time(first) {
        return Some((None, new_line(name, at, rest)));
    }
    let outer: f64 = first.parse().ok()?;
    let (node, rest) = rest.trim_start().split_once(' ')?;
    let (time, rest) = rest.trim_start().split_once(' ')?;
    Some((Some((outer * 1000.0) as i64), new_line(node, parse_time(time)?, rest)))
}

fn new_line(node: &str, at: i64, text: &str) -> Line {
    Line { at, node: node.into(), text: text.into(), pairs: parse_pairs(text) }
}

/// The key-value pairs of a line. The last value of a line that was cut off may be incomplete.
fn parse_pairs(text: &str) -> BTreeMap<Box<str>, Box<str>> {
    let mut pairs = BTreeMap::new();
    let mut rest = text;
    while !rest.is_empty() {
        rest = rest.trim_start();
        let end = rest.find([' ', '=']).unwrap_or(rest.len());
        let (word, after) = rest.split_at(end);
        let Some(value) = after.strip_prefix('=') else {
            rest = after;
            continue;
        };
        let (value, after) = parse_value(value);
        pairs.insert(word.into(), value);
        rest = after;
    }
    pairs
}

fn parse_value(text: &str) -> (Box<str>, &str) {
    let Some(quoted) = text.strip_prefix('"') else {
        let end = text.find(' ').unwrap_or(text.len());
        return (text[..end].into(), &text[end..]);
    };
    let (mut value, mut chars) = (String::new(), quoted.char_indices());
    while let Some((at, c)) = chars.next() {
        match c {
            '"' => return (value.into(), &quoted[at + 1..]),
            '\\' => value.extend(chars.next().map(|(_, c)| c)),
            c => value.push(c),
        }
    }
    (value.into(), "")
}

/// Converts a time such as `2026-12-02T22:50:19.123Z` to milliseconds of Unix time.
fn parse_time(word: &str) -> Option<i64> {
    let (date, time) = word.strip_suffix('Z')?.split_once('T')?;
    let mut date = date.splitn(3, '-').map(|n| n.parse::<i64>().ok());
    let (year, month, day) = (date.next()??, date.next()??, date.next()??);
    let (time, ms) = time.split_once('.').unwrap_or((time, "0"));
    let mut time = time.splitn(3, ':').map(|n| n.parse::<i64>().ok());
    let (h, m, s) = (time.next()??, time.next()??, time.next()??);
    if !(1..=12).contains(&month) || !(1970..10_000).contains(&year) || !(1..=31).contains(&day) {
        return None;
    }
    // Years are counted from March, so that leap days come last.
    let (year, month) = if month > 2 { (year, month - 3) } else { (year - 1, month + 9) };
    let days = 365 * year + year / 4 - year / 100 + year / 400 + (153 * month + 2) / 5 + day - 1;
    let seconds = (days - 719_468) * 86_400 + h * 3600 + m * 60 + s;
    Some(seconds * 1000 + ms.parse::<i64>().ok()?)
}
