//! The time from an accepted text to in force on every member.

use {
    super::{Args, TODAY, cell::Cell, today, usage::spread},
    crate::Result,
    serde_json::json,
    std::time::{Duration, Instant},
    tokio::time::sleep,
};

/// How many changes are made under each condition.
const CHANGES: usize = 50;
/// The pause between two looks at a member's version.
const LOOK: Duration = Duration::from_millis(2);
/// How long a change may take to be in force.
const LIMIT: Duration = Duration::from_secs(20);
/// The bytes of a large text; a megabyte is the most.
const LARGE: usize = 900_000;

/// Prints the table.
pub async fn run(args: &Args) -> Result<()> {
    let members = args.members.first().copied().unwrap_or(9);
    let mut cell = Cell::start(members, &today(), TODAY).await?;
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
        let (mut accepted, mut force) = (vec![], vec![]);
        for n in 0..CHANGES {
            let text =
                if large { large_text(n) } else { format!("{TODAY}\n; change {name} {n}\n") };
            let begun = Instant::now();
            cell.submit(&text).await?;
            accepted.push(millis(begun));
            let begun = Instant::now();
            everywhere(&cell).await?;
            force.push(millis(begun));
        }
        force.sort_by(f64::total_cmp);
        let median = force[force.len() / 2];
        let base = *base.get_or_insert(median);
        println!(
            "| {name} | {} | {} | {:.2} |",
            spread(accepted, 1),
            spread(force, 1),
            median / base
        );
    }
    Ok(())
}

async fn everywhere(cell: &Cell) -> Result<()> {
    let begun = Instant::now();
    for n in 0..cell.members.len() {
        while cell.show(n).await.map_or(true, |s| s.version < cell.version) {
            if begun.elapsed() > LIMIT {
                return Err(format!("member {n} does not have version {}", cell.version).into());
            }
            sleep(LOOK).await;
        }
    }
    Ok(())
}

/// A text of many small batches, as a year of jobs would make.
pub fn large_text(n: usize) -> String {
    let mut text = format!("{TODAY}\n; change {n}\n");
    let mut job = 0;
    while text.len() < LARGE {
        // One task each, of a size that leaves most of them waiting or done.
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
