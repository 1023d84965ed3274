//! Parsing shared by the operators' text and the settings: lines, sections, and the list of errors.
//!
//! A file is refused as a whole with all its errors, each with line, cause and remedy. The limits
//! bound the memory and time that a malformed file can cost.

use {
    ini_core::{Item, Parser, trim},
    serde::Serialize,
    std::{borrow::Cow, fmt},
};

/// The maximum size of a text, in bytes: the key-value service's limit of 1 MiB, less the rest of
/// the record.
pub const MAX_TEXT_BYTES: usize = 1_000_000;

/// The maximum size of a text encoded as JSON, in bytes: 1 MiB less 4 KiB for the rest of the
/// record, which consists of numbers and the submitter's name.
pub const MAX_RECORD_BYTES: usize = (1 << 20) - (4 << 10);

/// The maximum length of a name, in bytes. Names become parts of record keys and metric labels,
/// which other systems limit to 63.
pub const MAX_NAME_BYTES: usize = 63;

/// The maximum length of a value, in bytes: enough for a list of about sixty names.
pub const MAX_VALUE_BYTES: usize = 4096;

/// The maximum number of faults listed for one text; the list for a text full of faults would
/// otherwise be many times the size of the text.
pub const MAX_FAULTS: usize = 1000;

/// The maximum number of comparisons made for suggestions in one text. Each costs about a
/// microsecond, so suggestions take a fraction of the time of parsing.
const MAX_COMPARISONS: u32 = 50_000;

/// An error in a text.
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

/// The faults found so far, and the remaining comparisons for suggestions.
pub(crate) struct Faults {
    list: Vec<Fault>,
    unlisted: u32,
    comparisons_left: u32,
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
        Faults { list: Vec::new(), unlisted: 0, comparisons_left: MAX_COMPARISONS }
    }

    pub fn add(&mut self, line: u32, cause: impl Into<Box<str>>, remedy: impl Into<Box<str>>) {
        if self.list.len() < MAX_FAULTS {
            self.list.push(Fault { line, cause: cause.into(), remedy: remedy.into() });
        } else {
            self.unlisted += 1;
        }
    }

    pub fn is_empty(&self) -> bool {
        self.list.is_empty()
    }

    pub fn count(&self) -> usize {
        self.list.len() + self.unlisted as usize
    }

    /// The remedy for an unknown word: the most similar known word, or a list of known words.
    pub fn hint<'a>(&mut self, word: &str, known: impl Iterator<Item = &'a str> + Clone) -> String {
        let mut best = (max_edits(word) + 1, "");
        for name in known.clone() {
            if self.comparisons_left == 0 {
                break;
            }
            if name.len().abs_diff(word.len()) < best.0 {
                self.comparisons_left -= 1;
                let edits = edit_distance(word, name);
                if edits < best.0 {
                    best = (edits, name);
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

    /// The faults in order of lines; the last one gives the number of faults not listed.
    pub fn finish(mut self) -> Vec<Fault> {
        self.list.sort_by_key(|f| f.line);
        if let (Some(last), true) = (self.list.last(), self.unlisted > 0) {
            let line = last.line;
            let cause = format!("{} more errors are not listed", self.unlisted).into();
            self.list.push(Fault { line, cause, remedy: "mend those above first".into() });
        }
        self.list
    }
}

/// Decodes a text of at most [`MAX_TEXT_BYTES`] bytes; adds a fault for each line with invalid
/// UTF-8 or disallowed characters and replaces them.
///
/// Returns `None` for a text over the limit, which is not parsed.
pub(crate) fn decode<'a>(bytes: &'a [u8], faults: &mut Faults) -> Option<Cow<'a, str>> {
    if bytes.len() > MAX_TEXT_BYTES {
        let cause = format!("the text has {} bytes", bytes.len());
        faults.add(1, cause, format!("the limit is {MAX_TEXT_BYTES}; remove what no longer runs"));
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
        && !text.lines().any(|l| l.contains(is_disallowed))
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
        if let Some(c) = text[..end].chars().find(|c| is_disallowed(*c)) {
            let cause = format!("the character U+{:04X} stands in the line", u32::from(c));
            faults.add(line, cause, "remove it");
        }
        out.extend(
            text[..end]
                .chars()
                .map(|c| if is_disallowed(c) { char::REPLACEMENT_CHARACTER } else { c }),
        );
        out.push_str(&text[end..]);
    }
    Some(out.into())
}

/// Refuses a text that is too long once it is encoded in its record.
///
/// JSON encodes a line end, tab, quote or backslash as two bytes. Without this check, a text just
/// under [`MAX_TEXT_BYTES`] would pass, and the key-value service would refuse its record at
/// submission. Other characters that JSON escapes are refused before.
pub(crate) fn check_record(text: &str, faults: &mut Faults) {
    let escaped = text.bytes().filter(|b| b"\n\r\t\"\\".contains(b)).count();
    let len = text.len() + escaped + "\"\"".len();
    if len > MAX_RECORD_BYTES {
        let remedy = format!(
            "the limit is {MAX_RECORD_BYTES}; each line end, tab, quote and backslash counts twice"
        );
        faults.add(1, format!("the text takes {len} bytes in its record"), remedy);
    }
}

/// Whether a character is not allowed in a line: it is invisible and can disguise the line's
/// content.
fn is_disallowed(c: char) -> bool {
    c.is_control() && c != '\t'
        || matches!(c, '\u{feff}' | '\u{202a}'..='\u{202e}' | '\u{2066}'..='\u{2069}')
}

/// Splits a text into sections; a line outside of any section is a fault.
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
                        let cause = format!("{:?} stands before any section", truncated(key));
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
    // Shows only the first word: the rest may be a secret after a missing `=`.
    let word = key.split_whitespace().next().unwrap_or_default();
    let cause = format!("{:?} is no key with a value", truncated(word));
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
    if value.len() > MAX_VALUE_BYTES {
        let cause = format!("the value of {:?} has {} bytes", truncated(key), value.len());
        faults.add(line, cause, format!("the limit is {MAX_VALUE_BYTES}"));
        return None;
    }
    Some(Entry { line, key, value })
}

/// Truncates a text to the length of a name, for a message.
pub(crate) fn truncated(s: &str) -> Cow<'_, str> {
    match s.char_indices().nth(MAX_NAME_BYTES) {
        Some((at, _)) => format!("{}...", &s[..at]).into(),
        None => s.into(),
    }
}

/// The maximum edit distance of a suggestion; larger for longer words.
fn max_edits(word: &str) -> usize {
    if word.len() < 5 { 1 } else { 2 }
}

/// The Levenshtein distance of two words, in bytes.
fn edit_distance(a: &str, b: &str) -> usize {
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
