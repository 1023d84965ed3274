//! Measures the time from the acceptance of a configuration text until it is in force on every
//! member.

use {
    super::{Args, PRESENT_SCENARIO, cell::Cell, present_fleets, usage::min_median_max},
    crate::Result,
    serde_json::json,
    std::time::{Duration, Instant},
    tokio::time::sleep,
};

/// The number of changes under each condition.
const CHANGES: usize = 50;
/// The interval at which a member's version is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(2);
/// The time-out until a change is in force.
const FORCE_TIMEOUT: Duration = Duration::from_secs(20);
/// The size of a large text in bytes; the limit is one megabyte.
const LARGE_TEXT_BYTES: usize = 900_000;

/// Prints the table.
pub async fn run(args: &Args) -> Result<()> {
    let members = args.members.first().copied().unwrap_or(9);
    let mut cell = Cell::start(members, &present_fleets(), PRESENT_SCENARIO).await?;
    println!("\n{members} members, {CHANGES} changes under each condition.\n");
    println!(
        "| condition | accepted after ms: least / median / greatest | accepted to in force on all \
         members ms: least / median / greatest | median over quiet |"
    );
    println!("|---|---|---|---|");
    let mut base = None;
    let cases = [
        ("quiet, small text", 0, false),
        ("KV 100 ms slower, small text", 100, false),
        ("quiet, text of 900 KB", 0, true),
    ];
    for (name, slow, large) in cases {
        cell.kv_fault(json!({"slow": slow})).await?;
        let (mut accepted, mut in_force) = (vec![], vec![]);
        for n in 0..CHANGES {
            let text = if large {
                large_text(n)
            } else {
                format!("{PRESENT_SCENARIO}\n; change {name} {n}\n")
            };
            let begun = Instant::now();
            cell.submit(&text).await?;
            accepted.push(millis(begun));
            let begun = Instant::now();
            wait_in_force(&cell).await?;
            in_force.push(millis(begun));
        }
        in_force.sort_by(f64::total_cmp);
        let median = in_force[in_force.len() / 2];
        let base = *base.get_or_insert(median);
        println!(
            "| {name} | {} | {} | {:.2} |",
            min_median_max(accepted, 1),
            min_median_max(in_force, 1),
            median / base
        );
    }
    Ok(())
}

async fn wait_in_force(cell: &Cell) -> Result<()> {
    let begun = Instant::now();
    for n in 0..cell.members.len() {
        while cell.show(n).await.map_or(true, |s| s.version < cell.version) {
            if begun.elapsed() > FORCE_TIMEOUT {
                return Err(format!("member {n} does not have version {}", cell.version).into());
            }
            sleep(POLL_INTERVAL).await;
        }
    }
    Ok(())
}

/// A configuration text with many small batch jobs, as it would be after a year of use.
pub fn large_text(n: usize) -> String {
    let mut text = format!("{PRESENT_SCENARIO}\n; change {n}\n");
    let mut job = 0;
    while text.len() < LARGE_TEXT_BYTES {
        // Each job has one small task, so that most jobs are waiting or done.
        text += &format!(
            "\n[batch job-{job}]\nteam = underwriting\npool = quoting\ntasks = 1\ncores = 10m\n\
             memory = 16MB\nrun = 1s\n"
        );
        job += 1;
    }
    text
}

fn millis(since: Instant) -> f64 {
    since.elapsed().as_secs_f64() * 1000.0
}
