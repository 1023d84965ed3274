//! The keys of one section, each read into its type.

use {
    crate::{
        ini::{Entry, Faults, Section, truncated},
        units::{Accels, Cores, Memory, Size},
    },
    std::{collections::BTreeMap, ops::RangeInclusive, str::FromStr, time::Duration},
};

/// The most of one dimension of a size: cores, GB or accelerators. A hundred times the largest
/// fleet planned for, and a hundred thousand tasks of it still fit a 64-bit sum.
const MOST: u64 = 10_000_000;

/// The longest duration: a year, longer than any season's work.
const LONGEST: Duration = Duration::from_secs(365 * 24 * 3600);

/// The keys of a section that its kind knows.
pub(super) struct Keys<'a, 'f> {
    pub faults: &'f mut Faults,
    line: u32,
    head: &'a str,
    found: BTreeMap<&'a str, Entry<'a>>,
}

impl<'a, 'f> Keys<'a, 'f> {
    /// The keys of a section; unknown and repeated ones are faults.
    pub fn new(section: &Section<'a>, known: &[&str], faults: &'f mut Faults) -> Self {
        let mut found: BTreeMap<&str, Entry> = BTreeMap::new();
        for entry in &section.entries {
            if !known.contains(&entry.key) {
                let cause =
                    format!("[{}] has no key {:?}", truncated(section.head), truncated(entry.key));
                let remedy = faults.hint(entry.key, known.iter().copied());
                faults.add(entry.line, cause, remedy);
            } else if let Some(first) = found.get(entry.key) {
                let cause = format!("{:?} stands here and in line {}", entry.key, first.line);
                faults.add(entry.line, cause, "keep one of the two");
            } else {
                found.insert(entry.key, *entry);
            }
        }
        Keys { faults, line: section.line, head: section.head, found }
    }

    /// The line of a key, or of the section where it has no such key.
    pub fn line(&self, key: &str) -> u32 {
        self.found.get(key).map_or(self.line, |e| e.line)
    }

    pub fn has(&self, key: &str) -> bool {
        self.found.contains_key(key)
    }

    /// The value of a key that must be there.
    pub fn need(&mut self, key: &str, example: &str) -> Option<&'a str> {
        if let Some(entry) = self.found.get(key) {
            return Some(entry.value);
        }
        let cause = format!("[{}] lacks {key:?}", truncated(self.head));
        self.faults.add(self.line, cause, format!("add a line like {key} = {example}"));
        None
    }

    /// A whole number in a range.
    pub fn number(&mut self, key: &str, range: RangeInclusive<u32>, example: &str) -> Option<u32> {
        let value = self.need(key, example)?;
        let number = value.parse().ok().filter(|n| range.contains(n));
        if number.is_none() || value.starts_with('+') {
            let remedy = format!("a whole number from {} to {}", range.start(), range.end());
            return self.refuse(key, remedy);
        }
        number
    }

    /// A whole number in a range, or what it is where the key is not there.
    pub fn number_or(&mut self, key: &str, range: RangeInclusive<u32>, absent: u32) -> Option<u32> {
        if self.has(key) { self.number(key, range, "") } else { Some(absent) }
    }

    /// `yes` or `no`; no where the key is not there.
    pub fn yes(&mut self, key: &str) -> Option<bool> {
        match self.found.get(key).map(|e| e.value) {
            None | Some("no") => Some(false),
            Some("yes") => Some(true),
            Some(_) => self.refuse(key, "yes or no"),
        }
    }

    /// A duration above zero.
    pub fn duration(&mut self, key: &str, example: &str) -> Option<Duration> {
        let value = self.need(key, example)?;
        match duration(value) {
            Some(d) if !d.is_zero() && d <= LONGEST => Some(d),
            Some(_) => self.refuse(key, "a duration from 1ms to 8760h"),
            None => self.refuse(key, "a whole number with ms, s, m or h, like 30s"),
        }
    }

    /// Cores, memory and accelerators; the last are zero where they are not named.
    pub fn size(&mut self) -> Option<Size> {
        let cores = self.part("cores", "2", |c: &Cores| (1..=MOST * 1000).contains(&c.0));
        let memory = self.part("memory", "4GB", |m: &Memory| (1..=MOST * 1024).contains(&m.0));
        let accels = match self.has("accelerators") {
            true => self.part("accelerators", "1", |a: &Accels| a.0 <= MOST),
            false => Some(Accels(0)),
        };
        Some(Size { cores: cores?, memory: memory?, accels: accels? })
    }

    fn part<T: FromStr>(&mut self, key: &str, example: &str, fits: fn(&T) -> bool) -> Option<T>
    where
        T::Err: std::fmt::Display,
    {
        let value = self.need(key, example)?;
        match value.parse() {
            Ok(part) if fits(&part) && !value.starts_with('+') => Some(part),
            Ok(_) if key == "accelerators" => self.refuse(key, format!("from 0 to {MOST}")),
            Ok(_) => self.refuse(key, format!("more than 0 and up to {MOST} cores or GB")),
            Err(_) if key == "accelerators" => self.refuse(key, "a whole number, like 8"),
            Err(e) => self.refuse(key, e.to_string()),
        }
    }

    /// Names parted by commas.
    pub fn list(&mut self, key: &str) -> Vec<&'a str> {
        let Some(entry) = self.found.get(key) else { return Vec::new() };
        entry.value.split(',').map(ini_core::trim).collect()
    }

    /// A fault of a key's value.
    pub fn refuse<T>(&mut self, key: &str, remedy: impl Into<Box<str>>) -> Option<T> {
        let value = self.found.get(key).map_or("", |e| e.value);
        let cause = format!("{key:?} cannot be {:?}", truncated(value));
        self.faults.add(self.line(key), cause, remedy);
        None
    }
}

/// A duration written as a whole number with its unit.
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
