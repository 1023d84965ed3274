//! Measures the time from the moment a worker is marked as leaving to its last new request.

use {
    super::{
        Args, PRESENT_SCENARIO, cell::Cell, path::quoting_load, present_fleets,
        usage::min_median_max,
    },
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

/// How long a worker is watched after it was marked.
const WATCH_TIME: Duration = Duration::from_secs(8);
/// The interval at which a worker's report is polled; the report is renewed every 10 ms.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// How long the load runs before and after the watch.
const LOAD_MARGIN: Duration = Duration::from_secs(1);
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

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
        let cell = Cell::start(members, &present_fleets(), PRESENT_SCENARIO).await?;
        let list = cell.vms().await?.vms;
        // Waits for one lag, because an older list would be empty: the workers had not entered yet.
        sleep(Duration::from_secs(lag)).await;
        cell.set_list_lag(Duration::from_secs(lag)).await?;
        let quoting: Vec<_> = list.iter().filter(|v| v.pool.as_str() == "quoting").collect();
        let (mut last, mut after, mut unmarked, mut good) = (vec![], vec![], vec![], vec![]);
        for n in 0..args.runs {
            let time = WATCH_TIME + 2 * LOAD_MARGIN;
            let load = tokio::spawn(load::run(quoting_load(cell.callers()?, false, 0.5, time)));
            sleep(LOAD_MARGIN).await;
            // Takes the marked worker from the front and the other from the back, so that they differ.
            let (vm, other) = (quoting[n], quoting[quoting.len() - 1 - n]);
            cell.mark_leaving(&vm.worker).await?;
            let (one, two) = tokio::join!(watch(vm.addr), watch(other.addr));
            last.push(one.0.as_secs_f64());
            after.push(one.1 as f64);
            unmarked.push(two.1 as f64);
            let outcome = load.await?;
            good.push(100.0 * outcome.good as f64 / outcome.due as f64);
        }
        println!(
            "| {lag} s | {} | {} | {} | {} |",
            min_median_max(last, 2),
            min_median_max(after, 0),
            min_median_max(unmarked, 0),
            min_median_max(good, 2)
        );
    }
    Ok(())
}

/// Watches a worker; returns when the last new request began there and how many began.
async fn watch(worker: SocketAddr) -> (Duration, usize) {
    let client = Client::new(1);
    let begun = Instant::now();
    let (mut seen, mut last): (BTreeSet<RequestId>, _) = (BTreeSet::new(), Duration::ZERO);
    let mut first = None;
    while begun.elapsed() < WATCH_TIME {
        let report = client.json("GET", &uri(worker, "/v1/report"), &(), CALL_TIMEOUT).await;
        let report: Report = match report {
            Ok(report) => report,
            Err(_) => continue,
        };
        let known = seen.len();
        seen.extend(report.requests);
        // Requests in the first report began before the mark.
        let first = *first.get_or_insert(seen.len());
        if seen.len() > known.max(first) {
            last = begun.elapsed();
        }
        sleep(POLL_INTERVAL).await;
    }
    (last, seen.len() - first.unwrap_or(0))
}
