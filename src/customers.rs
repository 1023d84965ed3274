//! Customers: whose key a call carries, and what each customer may use.

use {
    crate::{
        error::{Error, Kind},
        ids::CustomerId,
        units::{Accels, Cores, Memory, Size},
    },
    derive_more::Display,
    rustc_hash::FxHashMap,
    sha2::{Digest, Sha256},
    std::{collections::BTreeMap, fmt, fmt::Write},
};

/// Amount of a resource that stands for no limit; many of them can be added without overflow.
const UNLIMITED: u64 = 1 << 48;
/// Maximum length of a customer's name, in bytes, so that it fits into a key of the store.
const MAX_NAME_BYTES: usize = 120;
/// Number of a digest's leading bytes that a log shows.
const FINGERPRINT_BYTES: usize = 4;

/// The digest of an API key. Keys themselves are not kept, and the text of a digest is only a
/// fingerprint.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
pub struct KeyDigest([u8; 32]);

impl KeyDigest {
    /// Returns the digest of a key.
    pub fn of(key: &str) -> Self {
        KeyDigest(Sha256::digest(key.as_bytes()).into())
    }
}

impl fmt::Display for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0[..FINGERPRINT_BYTES].iter().try_for_each(|b| write!(f, "{b:02x}"))
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

/// A customer of the configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct Customer {
    /// The customer's name, the same in all versions of the configuration.
    pub name: CustomerId,
    /// The customer's share when all room is in use, as a number of jobs a second.
    pub weight: f64,
    /// The most that the customer may have running over all workers.
    pub cap: Size,
}

/// The customers of one version of the configuration, and their keys.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Customers {
    by_name: BTreeMap<CustomerId, Customer>,
    keys: FxHashMap<KeyDigest, CustomerId>,
    problems: Vec<Problem>,
}

/// A part of the customers' configuration that is not in force.
#[derive(Clone, Debug, Display, PartialEq)]
pub enum Problem {
    /// An entry can't be read; it names no customer and no key.
    #[display("customer entry {_0} can't be read: {_1}")]
    Unreadable(usize, Box<str>),
    /// A later entry repeats a name; it adds its keys to the first one.
    #[display("customer {_0} is listed twice; the weight and the cap of the first entry apply")]
    RepeatedName(CustomerId),
    /// Two customers have the same key; it belongs to the first of them.
    #[display("key {key} is listed for customers {first} and {second}; it counts for the first")]
    SharedKey {
        /// The key.
        key: KeyDigest,
        /// The customer to which it belongs.
        first: CustomerId,
        /// The other customer.
        second: CustomerId,
    },
}

impl Customers {
    /// Adds a customer with its keys.
    pub fn add<'a>(&mut self, customer: Customer, keys: impl IntoIterator<Item = &'a str>) {
        let name = customer.name.clone();
        if name.as_str().is_empty() || name.as_str().len() > MAX_NAME_BYTES {
            let why = format!("a name has 1 to {MAX_NAME_BYTES} bytes");
            return self.add_unreadable(self.by_name.len(), why.into());
        }
        for key in keys.into_iter().map(KeyDigest::of) {
            let first = self.keys.entry(key).or_insert_with(|| name.clone());
            if *first != name {
                let (first, second) = (first.clone(), name.clone());
                self.problems.push(Problem::SharedKey { key, first, second });
            }
        }
        if self.by_name.contains_key(&name) {
            return self.problems.push(Problem::RepeatedName(name));
        }
        self.by_name.insert(name, customer);
    }

    /// Records that an entry can't be read; the others hold.
    pub fn add_unreadable(&mut self, index: usize, why: Box<str>) {
        self.problems.push(Problem::Unreadable(index, why));
    }

    /// Returns the customer to whom a key belongs.
    pub fn by_key(&self, key: &KeyDigest) -> Option<&CustomerId> {
        self.keys.get(key)
    }

    /// Returns the customer with this name.
    pub fn get(&self, name: &CustomerId) -> Option<&Customer> {
        self.by_name.get(name)
    }

    /// Returns all customers in the order of their names.
    pub fn iter(&self) -> impl Iterator<Item = &Customer> {
        self.by_name.values()
    }

    /// Returns the number of keys.
    pub fn key_count(&self) -> usize {
        self.keys.len()
    }

    /// Returns what is not in force, in the order of the entries.
    pub fn problems(&self) -> &[Problem] {
        &self.problems
    }
}

/// Returns a cap in which 0 stands for no limit.
pub fn cap_from(limits: Size) -> Size {
    let limit = |n: u64| if n == 0 { UNLIMITED } else { n.min(UNLIMITED) };
    Size {
        cores: Cores(limit(limits.cores.0)),
        memory: Memory(limit(limits.memory.0)),
        accels: Accels(limit(limits.accels.0)),
    }
}

/// Describes a cap by its limits only; for logs and errors.
pub fn cap_text(cap: &Size) -> Box<str> {
    let mut text = String::new();
    let mut add = |limit: u64, shown: &dyn fmt::Display, unit: &str| {
        if limit < UNLIMITED {
            let comma = if text.is_empty() { "" } else { ", " };
            // Writing to a string does not fail.
            let _ = write!(text, "{comma}{shown}{unit}");
        }
    };
    add(cap.cores.0, &cap.cores, " cores");
    add(cap.memory.0, &cap.memory, "");
    add(cap.accels.0, &cap.accels, " accelerators");
    if text.is_empty() { "no limit".into() } else { text.into() }
}

/// Returns the key in the value of an `Authorization` header, which names the scheme `Bearer` in
/// any case, followed by one or more spaces and the key.
///
/// Errs with [`Kind::Unauthorized`] if the header names another scheme or holds no single key.
pub fn bearer_key(header: &str) -> Result<KeyDigest, Error> {
    let wrong = |why| Error::new(Kind::Unauthorized, why);
    let (scheme, key) = header.trim().split_once(' ').unwrap_or((header.trim(), ""));
    if !scheme.eq_ignore_ascii_case("bearer") {
        return Err(wrong("the scheme of the call's authorization is not Bearer"));
    }
    let key = key.trim_start_matches(' ');
    // The characters of RFC 6750, section 2.1.
    let allowed = |b: u8| b.is_ascii_alphanumeric() || b"-._~+/=".contains(&b);
    if key.is_empty() || !key.bytes().all(allowed) {
        return Err(wrong("the call's authorization holds no key"));
    }
    Ok(KeyDigest::of(key))
}
