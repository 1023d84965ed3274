//! Reads log lines, plain ones and those behind a time and a node's name.

use {
    serde::{Serialize, Serializer},
    std::collections::BTreeMap,
};

/// One line.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Line {
    /// When, in milliseconds of the Unix clock as far as clocks can be put right.
    pub at: i64,
    /// The node, or the file where lines don't say.
    pub node: Box<str>,
    /// The line from its level on.
    pub text: Box<str>,
    /// Its key-values.
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

    /// What it says was done.
    pub fn did(&self) -> &str {
        self.get("did").unwrap_or("")
    }

    /// A number of it, 0 where there is none.
    pub fn number(&self, key: &str) -> u64 {
        self.get(key).and_then(|v| v.parse().ok()).unwrap_or(0)
    }

    /// The order of what is told of one moment.
    pub fn stage(&self) -> u8 {
        match self.did() {
            "taken" => 0,
            "known" => 1,
            "start" => 2,
            "over" => 4,
            _ => 3,
        }
    }
}

/// Reads the lines of one file; what is no line of a log is passed over.
///
/// A test bed's time is when the line came out, which is late by the gathering of lines, and true.
/// So each node's clock is put right by the least that its lines came out after their own time.
pub fn read(name: &str, bytes: &[u8]) -> Vec<Line> {
    let text = String::from_utf8_lossy(bytes);
    let mut late: BTreeMap<Box<str>, i64> = BTreeMap::new();
    let mut lines = vec![];
    for (outer, line) in text.lines().filter_map(|l| one(name, l)) {
        if let Some(outer) = outer {
            let by = outer - line.at;
            late.entry(line.node.clone()).and_modify(|b| *b = (*b).min(by)).or_insert(by);
        }
        lines.push(line);
    }
    for line in &mut lines {
        line.at += late.get(&line.node).copied().unwrap_or(0);
    }
    lines
}

/// A line, and the outer time in milliseconds where it has one.
fn one(name: &str, line: &str) -> Option<(Option<i64>, Line)> {
    let line = line.trim();
    let (first, rest) = line.split_once(' ')?;
    if let Some(at) = stamp(first) {
        return Some((None, parts(name, at, rest)));
    }
    let outer: f64 = first.parse().ok()?;
    let (node, rest) = rest.trim_start().split_once(' ')?;
    let (time, rest) = rest.trim_start().split_once(' ')?;
    Some((Some((outer * 1000.0) as i64), parts(node, stamp(time)?, rest)))
}

fn parts(node: &str, at: i64, text: &str) -> Line {
    Line { at, node: node.into(), text: text.into(), pairs: words(text) }
}

/// The key-values of a line; the last one of a cut line may be cut too.
fn words(text: &str) -> BTreeMap<Box<str>, Box<str>> {
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
        let (value, after) = value_of(value);
        pairs.insert(word.into(), value);
        rest = after;
    }
    pairs
}

fn value_of(text: &str) -> (Box<str>, &str) {
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

/// Milliseconds of the Unix clock of a time like `2026-12-02T22:50:19.123Z`.
fn stamp(word: &str) -> Option<i64> {
    let (date, time) = word.strip_suffix('Z')?.split_once('T')?;
    let mut date = date.splitn(3, '-').map(|n| n.parse::<i64>().ok());
    let (year, month, day) = (date.next()??, date.next()??, date.next()??);
    let (time, ms) = time.split_once('.').unwrap_or((time, "0"));
    let mut time = time.splitn(3, ':').map(|n| n.parse::<i64>().ok());
    let (h, m, s) = (time.next()??, time.next()??, time.next()??);
    if !(1..=12).contains(&month) || !(1970..10_000).contains(&year) || !(1..=31).contains(&day) {
        return None;
    }
    // Years that begin with March, so that leap days come last.
    let (year, month) = if month > 2 { (year, month - 3) } else { (year - 1, month + 9) };
    let days = 365 * year + year / 4 - year / 100 + year / 400 + (153 * month + 2) / 5 + day - 1;
    let seconds = (days - 719_468) * 86_400 + h * 3600 + m * 60 + s;
    Some(seconds * 1000 + ms.parse::<i64>().ok()?)
}
