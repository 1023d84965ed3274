//! What one text has and another has not, for the operator who was second in a race.

use std::fmt::Write;

/// The lines that differ, in the unified form: one hunk, from the first to the last difference.
///
/// Empty where the lines are the same. The time is in proportion to the length of both; lines that
/// stand unchanged between two changes are shown on both sides.
pub fn diff(old: &str, new: &str) -> Box<str> {
    let old: Vec<&str> = old.lines().collect();
    let new: Vec<&str> = new.lines().collect();
    if old == new {
        return "".into();
    }
    let head = old.iter().zip(&new).take_while(|(a, b)| a == b).count();
    let (old, new) = (&old[head..], &new[head..]);
    let tail = old.iter().rev().zip(new.iter().rev()).take_while(|(a, b)| a == b).count();
    let (old, new) = (&old[..old.len() - tail], &new[..new.len() - tail]);
    let mut out = String::new();
    let _ = writeln!(out, "@@ -{} +{} @@", range(head, old.len()), range(head, new.len()));
    for (sign, lines) in [('-', old), ('+', new)] {
        for line in lines {
            out.push(sign);
            out.push_str(line);
            out.push('\n');
        }
    }
    out.into()
}

/// A range of lines in the unified form, where an empty one names the line before it.
fn range(head: usize, len: usize) -> String {
    format!("{},{len}", if len == 0 { head } else { head + 1 })
}
