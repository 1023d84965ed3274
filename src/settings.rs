//! A member's settings, parsed from an INI file and checked before the member starts.
//!
//! The sections and keys are defined in `schema/settings.json`, from which the types are generated;
//! a key added there needs no change here.

pub use crate::schema::{LimitSettings, LogSettings, MemberSettings, PlatformSettings, Settings};

use {
    crate::{
        Error, Kind,
        ini::{self, Entry, Faults, MAX_NAME_BYTES, Section, truncated},
        text::duration,
    },
    serde::Deserialize,
    serde_json::{Map, Value},
    std::{collections::BTreeMap, net::SocketAddr},
};

/// The minimum length of the secret, in bytes: 16 random characters can't be guessed over a
/// network.
const MIN_SECRET_BYTES: usize = 16;

/// The keys of addresses that the platform serves; their ports must be given, unlike those of
/// addresses that the member listens on.
const PLATFORM_KEYS: [&str; 2] = ["kv", "vms"];

/// The log levels, in order of verbosity.
const LOG_LEVELS: [&str; 6] = ["off", "error", "warn", "info", "debug", "trace"];

/// The schema of the file.
#[derive(Deserialize)]
struct Schema {
    definitions: BTreeMap<Box<str>, Table>,
}

/// The schema of one section, or of the list of sections.
#[derive(Deserialize)]
struct Table {
    properties: BTreeMap<Box<str>, Property>,
    required: Vec<Box<str>>,
}

/// The schema of one key or section.
#[derive(Deserialize)]
struct Property {
    description: Box<str>,
    format: Option<Box<str>>,
    #[serde(default)]
    minimum: u64,
    #[serde(rename = "type")]
    kind: Option<Box<str>>,
    #[serde(default, rename = "allOf")]
    parts: Vec<Part>,
}

/// A reference to a section's type, as `#/definitions/NAME`.
#[derive(Deserialize)]
struct Part {
    #[serde(rename = "$ref")]
    name: Box<str>,
}

impl Schema {
    /// The schema of a section.
    fn table(&self, section: &Property) -> &Table {
        let name = section.parts.first().and_then(|p| p.name.strip_prefix("#/definitions/"));
        &self.definitions[name.expect("a section of the schema names its definition")]
    }
}

/// The sections, keys and addresses read so far.
#[derive(Default)]
struct Seen<'a> {
    /// The lines of sections and keys; a section has the empty key.
    lines: BTreeMap<(&'a str, &'a str), u32>,
    /// The key and line of each address; no two may be equal.
    addrs: BTreeMap<SocketAddr, (&'a str, u32)>,
}

impl Seen<'_> {
    fn has(&self, section: &str, key: &str) -> bool {
        self.lines.contains_key(&(section, key))
    }
}

/// Parses and checks settings.
///
/// # Errors
///
/// [`Kind::BadSettings`]; the detail has one line for each fault, with the fault's line, cause and
/// remedy.
pub fn read(text: &str) -> Result<Settings, Error> {
    read_bytes(text.as_bytes())
}

/// Parses and checks settings that may not be valid UTF-8.
///
/// # Errors
///
/// As [`read`].
pub fn read_bytes(bytes: &[u8]) -> Result<Settings, Error> {
    let mut faults = Faults::new();
    let settings = parse(bytes, &mut faults);
    match settings {
        Some(settings) if faults.is_empty() => Ok(settings),
        _ => {
            let lines: Vec<_> = faults.finish().iter().map(ToString::to_string).collect();
            Err(Error::new(Kind::BadSettings, lines.join("\n")))
        }
    }
}

fn parse(bytes: &[u8], faults: &mut Faults) -> Option<Settings> {
    let text = ini::decode(bytes, faults)?;
    let schema: Schema = serde_json::from_str(include_str!("../schema/settings.json"))
        .expect("the schema is compiled in, and every test of settings parses it");
    let tables = tables(&ini::sections(&text, faults), &schema, faults);
    if !faults.is_empty() {
        return None;
    }
    match serde_json::from_value(Value::Object(tables)) {
        Ok(settings) => Some(settings),
        Err(e) => {
            faults.add(1, e.to_string(), "write what the settings table shows");
            None
        }
    }
}

/// The sections of the file as JSON values of the schema's types.
fn tables(sections: &[Section<'_>], schema: &Schema, faults: &mut Faults) -> Map<String, Value> {
    let mut seen = Seen::default();
    let mut out = Map::new();
    let top = &schema.definitions["Settings"];
    for section in sections {
        let Some(property) = top.properties.get(section.head) else {
            let remedy = faults.hint(section.head, top.properties.keys().map(|k| &**k));
            let cause = format!("no section is called {:?}", truncated(section.head));
            faults.add(section.line, cause, remedy);
            continue;
        };
        if let Some(first) = seen.lines.insert((section.head, ""), section.line) {
            let cause = format!("[{}] stands here and in line {first}", section.head);
            faults.add(section.line, cause, "join the two");
            continue;
        }
        let keys = keys(section, schema.table(property), &mut seen, faults);
        out.insert(section.head.into(), Value::Object(keys));
    }
    for name in top.required.iter().filter(|n| !seen.has(n, "")) {
        let remedy = format!("add it: {}", top.properties[name].description);
        faults.add(1, format!("the section [{name}] is missing"), remedy);
    }
    out
}

/// The keys of one section as JSON values of the schema's types.
fn keys<'a>(
    section: &Section<'a>,
    table: &Table,
    seen: &mut Seen<'a>,
    faults: &mut Faults,
) -> Map<String, Value> {
    let mut out = Map::new();
    for entry in &section.entries {
        let Some(property) = table.properties.get(entry.key) else {
            let cause = format!("[{}] has no key {:?}", section.head, truncated(entry.key));
            let remedy = faults.hint(entry.key, table.properties.keys().map(|k| &**k));
            faults.add(entry.line, cause, remedy);
            continue;
        };
        if let Some(first) = seen.lines.insert((section.head, entry.key), entry.line) {
            let cause = format!("{:?} stands here and in line {first}", entry.key);
            faults.add(entry.line, cause, "keep one of the two");
            continue;
        }
        match value(entry, property) {
            Ok(value) => drop(out.insert(entry.key.into(), value)),
            Err(remedy) => add_refusal(entry, remedy, faults),
        }
        check_address(entry, property, seen, faults);
    }
    for name in table.required.iter().filter(|n| !seen.has(section.head, n)) {
        let remedy = format!("add it: {}", table.properties[name].description);
        faults.add(section.line, format!("[{}] lacks {name:?}", section.head), remedy);
    }
    out
}

fn add_refusal(entry: &Entry<'_>, remedy: &str, faults: &mut Faults) {
    let cause = match entry.key {
        // Errors are logged, and the secret must not be.
        "secret" => format!("the secret has {} characters", entry.value.len()),
        key => format!("{key:?} cannot be {:?}", truncated(entry.value)),
    };
    faults.add(entry.line, cause, remedy);
}

/// A value of the schema's type, or the remedy.
fn value(entry: &Entry<'_>, property: &Property) -> Result<Value, &'static str> {
    let text = entry.value;
    match (property.kind.as_deref(), property.format.as_deref()) {
        (Some("integer"), Some("milliseconds")) => {
            let ms = duration(text).and_then(|d| u64::try_from(d.as_millis()).ok());
            ms.filter(|ms| *ms > 0)
                .map(Value::from)
                .ok_or("a whole number above 0 with ms, s, m or h, like 10s")
        }
        (Some("integer"), _) => {
            let number = text.parse::<u64>().ok().filter(|n| *n > 0 && !text.starts_with('+'));
            let number = number.ok_or("a whole number above 0, without a unit")?;
            let large = number >= property.minimum;
            large.then(|| number.into()).ok_or("a number that is at least the minimum of its key")
        }
        (_, Some("socket-addr")) => match text.parse::<SocketAddr>() {
            Ok(addr) if addr.ip().is_unspecified() => Err("the IP number that others reach it by"),
            Ok(_) => Ok(text.into()),
            Err(_) => Err("an IP number and a port, like 10.0.0.1:7001"),
        },
        (_, Some("zone")) if text.is_empty() || text.len() > MAX_NAME_BYTES => {
            Err("a name of 1 to 63 bytes")
        }
        _ => special_value(entry),
    }
}

/// The value of a key with rules that the schema doesn't contain, or the remedy.
fn special_value(entry: &Entry<'_>) -> Result<Value, &'static str> {
    let text = entry.value;
    match entry.key {
        "secret" if text.len() < MIN_SECRET_BYTES => Err("16 characters or more, made at random"),
        "level" if !LOG_LEVELS.contains(&text) => Err("off, error, warn, info, debug or trace"),
        _ => Ok(text.into()),
    }
}

/// Adds a fault for an address that another key has too: the second listener could not bind it.
fn check_address<'a>(
    entry: &Entry<'a>,
    property: &Property,
    seen: &mut Seen<'a>,
    faults: &mut Faults,
) {
    if property.format.as_deref() != Some("socket-addr") {
        return;
    }
    let Ok(addr) = entry.value.parse::<SocketAddr>() else { return };
    // The system assigns a free port for port 0: two are never equal, and peers get the assigned
    // port from the member's record.
    if addr.port() == 0 {
        if PLATFORM_KEYS.contains(&entry.key) {
            let cause = format!("{:?} cannot be {addr}", entry.key);
            faults.add(entry.line, cause, "the port that the platform serves it at");
        }
        return;
    }
    if let Some((other, first)) = seen.addrs.insert(addr, (entry.key, entry.line)) {
        let cause = format!("{:?} and {other:?} of line {first} are both {addr}", entry.key);
        faults.add(entry.line, cause, "give each an address of its own");
    }
}
