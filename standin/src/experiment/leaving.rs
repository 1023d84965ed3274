//! The time from a worker's leaving mark to its last new request.

use {
    super::{Args, TODAY, cell::Cell, path::quotes, today, usage::spread},
    crate::{Result, load},
    dogwoodreach::{
        http::{Client, uri},
        ids::RequestId,
        messages::Report,
    },
    std::{
        collections::BTreeSet,
        net::SocketAddr,
        time::{Duration, Instant},
    },
    tokio::time::sleep,
};

/// How long a worker is watched after its mark.
const WATCH: Duration = Duration::from_secs(8);
/// The pause between two looks at a worker's report, which is renewed every 10 ms.
const LOOK: Duration = Duration::from_millis(5);
/// How long the load runs before and after.
const SPARE: Duration = Duration::from_secs(1);
const CALL: Duration = Duration::from_secs(1);

/// Prints the table.
pub async fn run(args: &Args) -> Result<()> {
    let members = args.members.first().copied().unwrap_or(3);
    println!("\n{members} members at 50% load; {} workers marked, one after another.\n", args.runs);
    println!(
        "| the list lags | mark to last new request s | new requests after the mark | meanwhile at \
         a worker not marked | good % |"
    );
    println!("|---|---|---|---|---|");
    for lag in [0, 3] {
        let cell = Cell::start(members, &today(), TODAY).await?;
        let list = cell.vms().await?.vms;
        // The list of one lag ago must not be the empty one before the workers entered.
        sleep(Duration::from_secs(lag)).await;
        cell.list_lag(Duration::from_secs(lag)).await?;
        let quoting: Vec<_> = list.iter().filter(|v| v.pool.as_str() == "quoting").collect();
        let (mut last, mut after, mut beside, mut good) = (vec![], vec![], vec![], vec![]);
        for n in 0..args.runs {
            let time = WATCH + 2 * SPARE;
            let load = tokio::spawn(load::run(quotes(cell.callers()?, false, 0.5, time)));
            sleep(SPARE).await;
            // From the front and the back: never the same.
            let (vm, other) = (quoting[n], quoting[quoting.len() - 1 - n]);
            cell.leaving(&vm.worker).await?;
            let (one, two) = tokio::join!(watch(vm.addr), watch(other.addr));
            last.push(one.0.as_secs_f64());
            after.push(one.1 as f64);
            beside.push(two.1 as f64);
            let outcome = load.await?;
            good.push(100.0 * outcome.good as f64 / outcome.due as f64);
        }
        println!(
            "| {lag} s | {} | {} | {} | {} |",
            spread(last, 2),
            spread(after, 0),
            spread(beside, 0),
            spread(good, 2)
        );
    }
    Ok(())
}

/// When the last new request began at a worker, and how many began.
async fn watch(worker: SocketAddr) -> (Duration, usize) {
    let client = Client::new(1);
    let begun = Instant::now();
    let (mut seen, mut last): (BTreeSet<RequestId>, _) = (BTreeSet::new(), Duration::ZERO);
    let mut first = None;
    while begun.elapsed() < WATCH {
        let report = client.json("GET", &uri(worker, "/v1/report"), &(), CALL).await;
        let report: Report = match report {
            Ok(report) => report,
            Err(_) => continue,
        };
        let known = seen.len();
        seen.extend(report.requests);
        // What the first report shows began before the mark.
        let first = *first.get_or_insert(seen.len());
        if seen.len() > known.max(first) {
            last = begun.elapsed();
        }
        sleep(LOOK).await;
    }
    (last, seen.len() - first.unwrap_or(0))
}
