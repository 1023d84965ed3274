//! The keys of one section, and parsers of their values.

use {
    crate::{
        ini::{Entry, Faults, Section, truncated},
        units::{Accels, Cores, Memory, Size},
    },
    std::{collections::BTreeMap, ops::RangeInclusive, str::FromStr, time::Duration},
};

/// The maximum of one dimension of a size: cores, GB or accelerators. This is a hundred times the
/// largest planned fleet, and the sum over a hundred thousand tasks still fits 64 bits.
const MAX_AMOUNT: u64 = 10_000_000;

/// The maximum duration: a year, longer than any season's work.
const MAX_DURATION: Duration = Duration::from_secs(365 * 24 * 3600);

/// The known keys of a section.
pub(super) struct Keys<'a, 'f> {
    pub faults: &'f mut Faults,
    line: u32,
    head: &'a str,
    entries: BTreeMap<&'a str, Entry<'a>>,
}

impl<'a, 'f> Keys<'a, 'f> {
    /// Collects the keys of a section; unknown and repeated keys are faults.
    pub fn new(section: &Section<'a>, known: &[&str], faults: &'f mut Faults) -> Self {
        let mut entries: BTreeMap<&str, Entry> = BTreeMap::new();
        for entry in &section.entries {
            if !known.contains(&entry.key) {
                let cause =
                    format!("[{}] has no key {:?}", truncated(section.head), truncated(entry.key));
                let remedy = faults.hint(entry.key, known.iter().copied());
                faults.add(entry.line, cause, remedy);
            } else if let Some(first) = entries.get(entry.key) {
                let cause = format!("{:?} stands here and in line {}", entry.key, first.line);
                faults.add(entry.line, cause, "keep one of the two");
            } else {
                entries.insert(entry.key, *entry);
            }
        }
        Keys { faults, line: section.line, head: section.head, entries }
    }

    /// The line of a key, or of the section if the key is absent.
    pub fn line(&self, key: &str) -> u32 {
        self.entries.get(key).map_or(self.line, |e| e.line)
    }

    pub fn has(&self, key: &str) -> bool {
        self.entries.contains_key(key)
    }

    /// The value of a required key; adds a fault if the key is absent.
    pub fn require(&mut self, key: &str, example: &str) -> Option<&'a str> {
        if let Some(entry) = self.entries.get(key) {
            return Some(entry.value);
        }
        let cause = format!("[{}] lacks {key:?}", truncated(self.head));
        self.faults.add(self.line, cause, format!("add a line like {key} = {example}"));
        None
    }

    /// A whole number in a range.
    pub fn number(&mut self, key: &str, range: RangeInclusive<u32>, example: &str) -> Option<u32> {
        let value = self.require(key, example)?;
        let number = value.parse().ok().filter(|n| range.contains(n));
        if number.is_none() || value.starts_with('+') {
            let remedy = format!("a whole number from {} to {}", range.start(), range.end());
            return self.refuse(key, remedy);
        }
        number
    }

    /// A whole number in a range, or `absent` if the key is absent.
    pub fn number_or(&mut self, key: &str, range: RangeInclusive<u32>, absent: u32) -> Option<u32> {
        if self.has(key) { self.number(key, range, "") } else { Some(absent) }
    }

    /// `yes` or `no`; false if the key is absent.
    pub fn flag(&mut self, key: &str) -> Option<bool> {
        match self.entries.get(key).map(|e| e.value) {
            None | Some("no") => Some(false),
            Some("yes") => Some(true),
            Some(_) => self.refuse(key, "yes or no"),
        }
    }

    /// A duration above zero.
    pub fn duration(&mut self, key: &str, example: &str) -> Option<Duration> {
        let value = self.require(key, example)?;
        match duration(value) {
            Some(d) if !d.is_zero() && d <= MAX_DURATION => Some(d),
            Some(_) => self.refuse(key, "a duration from 1ms to 8760h"),
            None => self.refuse(key, "a whole number with ms, s, m or h, like 30s"),
        }
    }

    /// Cores, memory and accelerators; accelerators are zero if the key is absent.
    pub fn size(&mut self) -> Option<Size> {
        let cores = self.amount("cores", "2", |c: &Cores| (1..=MAX_AMOUNT * 1000).contains(&c.0));
        let memory =
            self.amount("memory", "4GB", |m: &Memory| (1..=MAX_AMOUNT * 1024).contains(&m.0));
        let accels = match self.has("accelerators") {
            true => self.amount("accelerators", "1", |a: &Accels| a.0 <= MAX_AMOUNT),
            false => Some(Accels(0)),
        };
        Some(Size { cores: cores?, memory: memory?, accels: accels? })
    }

    fn amount<T: FromStr>(&mut self, key: &str, example: &str, fits: fn(&T) -> bool) -> Option<T>
    where
        T::Err: std::fmt::Display,
    {
        let value = self.require(key, example)?;
        match value.parse() {
            Ok(part) if fits(&part) && !value.starts_with('+') => Some(part),
            Ok(_) if key == "accelerators" => self.refuse(key, format!("from 0 to {MAX_AMOUNT}")),
            Ok(_) => self.refuse(key, format!("more than 0 and up to {MAX_AMOUNT} cores or GB")),
            Err(_) if key == "accelerators" => self.refuse(key, "a whole number, like 8"),
            Err(e) => self.refuse(key, e.to_string()),
        }
    }

    /// Names separated by commas; empty if the key is absent.
    pub fn list(&mut self, key: &str) -> Vec<&'a str> {
        let Some(entry) = self.entries.get(key) else { return Vec::new() };
        entry.value.split(',').map(ini_core::trim).collect()
    }

    /// Adds a fault for a key's value and returns `None`.
    pub fn refuse<T>(&mut self, key: &str, remedy: impl Into<Box<str>>) -> Option<T> {
        let value = self.entries.get(key).map_or("", |e| e.value);
        let cause = format!("{key:?} cannot be {:?}", truncated(value));
        self.faults.add(self.line(key), cause, remedy);
        None
    }
}

/// Parses a duration, a whole number with a unit (`ms`, `s`, `m` or `h`).
pub(crate) fn duration(s: &str) -> Option<Duration> {
    let at = s.find(|c: char| !c.is_ascii_digit())?;
    let number: u64 = s[..at].parse().ok()?;
    let scale = match s[at..].trim_start() {
        "ms" => 1,
        "s" => 1000,
        "m" => 60_000,
        "h" => 3_600_000,
        _ => return None,
    };
    Some(Duration::from_millis(number.checked_mul(scale)?))
}
