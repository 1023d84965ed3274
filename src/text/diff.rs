//! The difference of two texts, for an operator whose submission lost to another one.

use std::fmt::Write;

/// The lines that differ, in the unified form: one hunk, from the first to the last difference.
///
/// Empty if all lines are equal. Takes time proportional to the length of both texts. Unchanged
/// lines between two changes are shown as removed and added, since only the common head and tail
/// are left out.
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

/// A range of lines in the unified form; an empty range gives the line before it.
fn range(head: usize, len: usize) -> String {
    format!("{},{len}", if len == 0 { head } else { head + 1 })
}
