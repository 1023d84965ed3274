//! Summarizes in one sentence how a job's time was spent.

use {
    crate::trace::{Line, Trace},
    std::{
        collections::{BTreeMap, BTreeSet},
        fmt::Write,
    },
};

/// Builds the trace from the selected lines of one id.
pub(super) fn summarize(lines: Vec<Line>, total_ms: i64) -> Trace {
    let mut waited_ms: BTreeMap<Box<str>, u64> = BTreeMap::new();
    for start in lines.iter().filter(|l| l.did() == "start") {
        let reason = start.get("reason").unwrap_or("unknown");
        *waited_ms.entry(reason.into()).or_default() += start.number("delay_ms");
    }
    let lost_ms = lines.iter().map(lost_work).sum();
    let sentence = sentence(&lines, total_ms, &waited_ms, lost_ms);
    Trace { ok: true, sentence, total_ms, waited_ms, lost_ms, lines }
}

/// Work of a run that was lost, in milliseconds.
fn lost_work(line: &Line) -> u64 {
    match (line.did(), line.get("how")) {
        ("end", Some("done")) => 0,
        ("end", _) => line.number("took_ms"),
        ("lost", _) => line.number("ran_ms"),
        _ => 0,
    }
}

fn sentence(
    lines: &[Line],
    total_ms: i64,
    waited_ms: &BTreeMap<Box<str>, u64>,
    lost_ms: u64,
) -> Box<str> {
    let find = |did: &str| lines.iter().find(|l| l.did() == did);
    let count = |did: &str| lines.iter().filter(|l| l.did() == did).count();
    // The owner that could not store an end logs it, and its successor logs it again. The last line
    // counts.
    let over = lines.iter().rfind(|l| l.did() == "over");
    let mut text = match (over, find("start"), find("taken")) {
        (Some(over), ..) => {
            let state = over.get("state").unwrap_or("over");
            format!("It was {state} {} ms after it came", over.number("after_ms"))
        }
        (None, Some(_), _) => format!("These lines have no end of it; they span {total_ms} ms"),
        (None, None, Some(_)) => "It was taken in, and no line tells of a start".into(),
        (None, None, None) => match find("refused") {
            Some(refused) => {
                let value = |key| refused.get(key).unwrap_or("?");
                let took = refused.number("took_ms");
                format!("It was refused after {took} ms: {} ({})", value("reason"), value("cause"))
            }
            None => "These lines have neither its coming nor its end".into(),
        },
    };
    if let Some(first) = find("start") {
        let (after, reason) = (first.number("after_ms"), first.get("reason").unwrap_or("?"));
        let _ = write!(text, "; {after} ms passed before its first start (reason: {reason})");
    }
    let waits: Vec<String> = waited_ms
        .iter()
        .filter(|(reason, ms)| **ms > 0 && &***reason != "none")
        .map(|(reason, ms)| format!("{ms} ms for {reason}"))
        .collect();
    if !waits.is_empty() {
        let _ = write!(text, "; its steps waited {}", waits.join(" and "));
    }
    let failed =
        lines.iter().filter(|l| l.did() == "end" && l.get("how") == Some("failed")).count();
    let lost = count("lost");
    if failed + lost + count("stop") > 0 {
        let stopped = count("stop");
        let _ = write!(
            text,
            "; {lost} runs were lost, {failed} failed and {stopped} were stopped, {lost_ms} ms of their work came to nothing"
        );
    }
    let away = lines.iter().filter(|l| l.did() == "away").max_by_key(|l| l.number("away_ms"));
    if let Some(line) = away {
        let (ms, cause) = (line.number("away_ms"), line.get("cause").unwrap_or("?"));
        let _ = write!(text, "; a lasting task was away for {ms} ms or more (cause: {cause})");
    }
    let detection = lines.iter().filter(|l| l.did() == "lost").map(|l| l.number("heard_ms")).max();
    if let Some(ms) = detection.filter(|ms| *ms > 0) {
        let _ = write!(text, "; a loss was certain {ms} ms after its worker was last heard");
    }
    // A job that was refused and never accepted is reported as such above.
    let refused: BTreeSet<&str> =
        lines.iter().filter(|l| l.did() == "refused").filter_map(|l| l.get("reason")).collect();
    if !refused.is_empty() && (count("taken") > 0 || count("over") > 0) {
        let reasons = refused.into_iter().collect::<Vec<_>>().join(", ");
        let _ = write!(text, "; {} requests for it were refused ({reasons})", count("refused"));
    }
    if count("owned") > 0 {
        let _ = write!(text, "; its shard was taken over {} times", count("owned"));
    }
    text.push('.');
    text.into()
}
