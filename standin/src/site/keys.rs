//! The judge's rule for API keys: a revoked key stops working within its bound, an unknown one never
//! works, and a valid one is not refused.

use {
    crate::site::{
        customers::Tenants,
        judge::{Rules, Verdict},
    },
    dogwoodreach::Time,
    std::{collections::BTreeMap, time::Duration},
};

/// Time after which every member must have noticed that a key was granted or revoked; the soak's
/// `Bounds::config_lag`.
const KEY_LAG: Duration = Duration::from_secs(3);

/// The keys that have ever been valid, each with the time of its grant and of its revocation.
#[derive(Default)]
pub struct Keys(BTreeMap<Box<str>, (Time, Time)>);

impl Keys {
    /// Records the keys that are valid from now on.
    pub fn set(&mut self, tenants: &Tenants, now: Time) {
        for tenant in &tenants.all {
            for key in &tenant.keys {
                self.0.entry(key.clone()).or_insert((now, Time::NEVER));
            }
            for key in &tenant.revoked {
                let (_, revoked_at) = self.0.entry(key.clone()).or_insert((now, now));
                *revoked_at = now.min(*revoked_at);
            }
        }
    }

    /// Returns what is wrong with the status of an answer to a call that carried `key` and was sent
    /// at `asked`: it was served with a key that was not valid, or refused with one that was.
    pub fn contradiction(&self, key: &str, status: u16, asked: Time, now: Time) -> Option<String> {
        // These answers are given after the key was accepted.
        let served = matches!(status, 200..=299 | 410 | 429);
        match self.0.get(key) {
            None if served => Some(format!("a call with {key}, which nobody has, was served")),
            Some((_, end)) if served && *end + KEY_LAG < asked => {
                Some(format!("a call with {key} was served, the key was revoked at {end}"))
            }
            Some((from, end)) if status == 401 && *from + KEY_LAG < asked && *end > now => {
                Some(format!("a call with {key} was refused, the key is valid since {from}"))
            }
            _ => None,
        }
    }
}

impl Rules {
    /// Checks the status of an answer to a call that carried `key` and was sent at `asked`.
    pub fn check_key(&self, key: &str, status: u16, asked: Time, now: Time) -> Verdict {
        let text = self.keys.contradiction(key, status, asked, now);
        text.map_or(Ok(()), |text| self.breach(now, text))
    }
}
