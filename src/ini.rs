//! What the operators' text and the settings have in common: lines, sections, and what is wrong
//! with them.

use {
    ini_core::{Item, Parser, trim},
    serde::Serialize,
    std::{borrow::Cow, fmt},
};

/// The most bytes of a text: the key-value service's megabyte, less room for the record's frame.
pub const LIMIT: usize = 1_000_000;

/// The most bytes of a text as JSON: a megabyte less 4 KiB for the rest of the record, which is
/// numbers and the name of who submitted it.
pub const RECORD: usize = (1 << 20) - (4 << 10);

/// The longest name, in bytes. Names become parts of record keys and counter labels, which other
/// systems hold to 63.
pub const NAME: usize = 63;

/// The longest value, in bytes: room for a list of about sixty names.
pub const VALUE: usize = 4096;

/// The most faults that one reading lists; a text of nothing but faults would otherwise need many
/// times its own size.
pub const FAULTS: usize = 1000;

/// The most comparisons that one reading spends on suggestions, so that they stay a fraction of
/// the time of a reading: each costs about a microsecond.
const COMPARISONS: u32 = 50_000;

/// One thing that is wrong with a text.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Fault {
    /// The line, counted from 1.
    pub line: u32,
    /// What is wrong.
    pub cause: Box<str>,
    /// What would be right.
    pub remedy: Box<str>,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "line {}: {}; {}", self.line, self.cause, self.remedy)
    }
}

/// The faults found so far, and how much may still be spent on suggestions.
pub(crate) struct Faults {
    list: Vec<Fault>,
    more: u32,
    left: u32,
}

/// A line `key = value`.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Entry<'a> {
    pub line: u32,
    pub key: &'a str,
    pub value: &'a str,
}

/// A section with its lines.
#[derive(Debug)]
pub(crate) struct Section<'a> {
    pub line: u32,
    pub head: &'a str,
    pub entries: Vec<Entry<'a>>,
}

impl Faults {
    pub fn new() -> Self {
        Faults { list: Vec::new(), more: 0, left: COMPARISONS }
    }

    pub fn add(&mut self, line: u32, cause: impl Into<Box<str>>, remedy: impl Into<Box<str>>) {
        if self.list.len() < FAULTS {
            self.list.push(Fault { line, cause: cause.into(), remedy: remedy.into() });
        } else {
            self.more += 1;
        }
    }

    pub fn is_empty(&self) -> bool {
        self.list.is_empty()
    }

    pub fn count(&self) -> usize {
        self.list.len() + self.more as usize
    }

    /// What to say of an unknown word: the known one nearest to it, or some of those known.
    pub fn hint<'a>(&mut self, word: &str, known: impl Iterator<Item = &'a str> + Clone) -> String {
        let mut best = (limit(word) + 1, "");
        for name in known.clone() {
            if self.left == 0 {
                break;
            }
            if name.len().abs_diff(word.len()) < best.0 {
                self.left -= 1;
                let far = distance(word, name);
                if far < best.0 {
                    best = (far, name);
                }
            }
        }
        if !best.1.is_empty() {
            return format!("did you mean {:?}?", best.1);
        }
        let some: Vec<_> = known.clone().take(12).collect();
        match (some.as_slice(), known.take(13).count() > 12) {
            ([], _) => "none is declared".into(),
            (some, false) => format!("known: {}", some.join(", ")),
            (some, true) => format!("known: {} and more", some.join(", ")),
        }
    }

    /// The faults by line; the last one counts those that are not listed.
    pub fn finish(mut self) -> Vec<Fault> {
        self.list.sort_by_key(|f| f.line);
        if let (Some(last), true) = (self.list.last(), self.more > 0) {
            let line = last.line;
            let cause = format!("{} more errors are not listed", self.more).into();
            self.list.push(Fault { line, cause, remedy: "mend those above first".into() });
        }
        self.list
    }
}

/// A text of at most [`LIMIT`] bytes in which every odd byte has been told and replaced.
///
/// Returns nothing where reading on makes no sense.
pub(crate) fn clean<'a>(bytes: &'a [u8], faults: &mut Faults) -> Option<Cow<'a, str>> {
    if bytes.len() > LIMIT {
        let cause = format!("the text has {} bytes", bytes.len());
        faults.add(1, cause, format!("the limit is {LIMIT}; remove what no longer runs"));
        return None;
    }
    const BOM: &[u8] = b"\xef\xbb\xbf";
    let bytes = match bytes.strip_prefix(BOM) {
        Some(rest) => {
            faults.add(1, "the text begins with a byte-order mark", "save it as UTF-8 without one");
            rest
        }
        None => bytes,
    };
    if let Ok(text) = std::str::from_utf8(bytes)
        && !text.lines().any(|l| l.contains(odd))
    {
        return Some(text.into());
    }
    let mut out = String::with_capacity(bytes.len());
    for (line, bytes) in (1..).zip(bytes.split_inclusive(|b| *b == b'\n')) {
        let text = String::from_utf8_lossy(bytes);
        if matches!(text, Cow::Owned(_)) {
            faults.add(line, "the line is not UTF-8", "save the text as UTF-8");
        }
        let end = if text.ends_with("\r\n") { text.len() - 2 } else { text.len() };
        let end = if text.ends_with('\n') { end.min(text.len() - 1) } else { end };
        if let Some(c) = text[..end].chars().find(|c| odd(*c)) {
            let cause = format!("the character U+{:04X} stands in the line", u32::from(c));
            faults.add(line, cause, "remove it");
        }
        out.extend(
            text[..end].chars().map(|c| if odd(c) { char::REPLACEMENT_CHARACTER } else { c }),
        );
        out.push_str(&text[end..]);
    }
    Some(out.into())
}

/// Refuses a text that is too long once it stands in its record.
///
/// The failure: a text just under [`LIMIT`] is checked and found good, and the key-value service
/// refuses its record, since JSON writes a line end, tab, quote or backslash as two bytes. It shows
/// at submission only. Odd characters, which take more, are refused already.
pub(crate) fn record(text: &str, faults: &mut Faults) {
    let twice = text.bytes().filter(|b| b"\n\r\t\"\\".contains(b)).count();
    let len = text.len() + twice + "\"\"".len();
    if len > RECORD {
        let remedy =
            format!("the limit is {RECORD}; each line end, tab, quote and backslash counts twice");
        faults.add(1, format!("the text takes {len} bytes in its record"), remedy);
    }
}

/// Whether a character has no place in a line: it cannot be seen, and hides what a line says.
fn odd(c: char) -> bool {
    c.is_control() && c != '\t'
        || matches!(c, '\u{feff}' | '\u{202a}'..='\u{202e}' | '\u{2066}'..='\u{2069}')
}

/// The sections of a text; lines that belong to none are told.
pub(crate) fn sections<'a>(text: &'a str, faults: &mut Faults) -> Vec<Section<'a>> {
    let mut sections: Vec<Section<'a>> = Vec::new();
    let mut parser = Parser::new(text).auto_trim(true);
    loop {
        let line = parser.line() + 1;
        let Some(item) = parser.next() else { break };
        match item {
            Item::SectionEnd | Item::Comment(_) | Item::Blank => {}
            Item::Section(head) => sections.push(Section { line, head, entries: Vec::new() }),
            Item::Error(s) => match trim(s).strip_suffix(']') {
                Some(head) => {
                    let head = trim(&head[1..]);
                    sections.push(Section { line, head, entries: Vec::new() });
                }
                None => faults.add(line, "the section's bracket is not closed", "end it with ]"),
            },
            Item::Property(key, _) if key.starts_with(';') => {}
            Item::Property(key, value) => {
                let Some(entry) = entry(line, key, value, faults) else { continue };
                match sections.last_mut() {
                    Some(section) => section.entries.push(entry),
                    None => {
                        let cause = format!("{:?} stands before any section", short(key));
                        faults.add(line, cause, "begin with a section like [pool NAME]");
                    }
                }
            }
        }
    }
    sections
}

fn entry<'a>(
    line: u32,
    key: &'a str,
    value: Option<&'a str>,
    faults: &mut Faults,
) -> Option<Entry<'a>> {
    // Only the first word: the rest may be a secret whose `=` was forgotten.
    let word = key.split_whitespace().next().unwrap_or_default();
    let cause = format!("{:?} is no key with a value", short(word));
    let Some(value) = value else {
        let remedy = match key.as_bytes() {
            [b'#', ..] => "a comment begins with ;",
            [b'[', ..] => "a section begins at the start of its line",
            _ => "write KEY = VALUE",
        };
        faults.add(line, cause, remedy);
        return None;
    };
    if key.starts_with('#') {
        faults.add(line, cause, "a comment begins with ;");
        return None;
    }
    if value.len() > VALUE {
        let cause = format!("the value of {:?} has {} bytes", short(key), value.len());
        faults.add(line, cause, format!("the limit is {VALUE}"));
        return None;
    }
    Some(Entry { line, key, value })
}

/// The beginning of a text that may be long, for a message.
pub(crate) fn short(s: &str) -> Cow<'_, str> {
    match s.char_indices().nth(NAME) {
        Some((at, _)) => format!("{}...", &s[..at]).into(),
        None => s.into(),
    }
}

/// How many edits a suggestion may be away; more for longer words.
fn limit(word: &str) -> usize {
    if word.len() < 5 { 1 } else { 2 }
}

/// The number of bytes to insert, remove or change to make `a` into `b`.
fn distance(a: &str, b: &str) -> usize {
    let mut row: Vec<usize> = (0..=b.len()).collect();
    for (i, x) in a.bytes().enumerate() {
        let mut corner = row[0];
        row[0] = i + 1;
        for (j, y) in b.bytes().enumerate() {
            let changed = corner + usize::from(x != y);
            corner = row[j + 1];
            row[j + 1] = changed.min(corner + 1).min(row[j] + 1);
        }
    }
    row[b.len()]
}
