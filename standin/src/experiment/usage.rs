//! Measures the processor time, the memory and the network traffic of processes.

use {
    std::{
        collections::BTreeMap,
        fs,
        net::SocketAddr,
        process::Command,
        time::{Duration, Instant},
    },
    tokio::time::sleep,
};

/// The unit of processor time in `/proc` on Linux, in clock ticks per second.
const TICKS_PER_SECOND: f64 = 100.0;
/// The interval at which the connections are polled.
const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// The resources that a process used, as averages over the measured time where not said otherwise.
#[derive(Clone, Copy, Debug, Default)]
pub struct Usage {
    /// Processor time in percent of one core.
    pub cpu: f64,
    /// Resident memory in megabytes at the end of the measurement.
    pub memory: f64,
    /// Kilobytes sent per second over the observed connections.
    pub sent: f64,
    /// Kilobytes received per second over the observed connections.
    pub received: f64,
    /// The part of `received` that comes from the platform's list of VMs.
    pub list: f64,
}

/// The processor time that a process has used, in seconds; `None` if the process has ended.
pub fn cpu(id: u32) -> Option<f64> {
    let stat = fs::read_to_string(format!("/proc/{id}/stat")).ok()?;
    let rest = stat.rsplit_once(')')?.1;
    let field = |n: usize| rest.split_whitespace().nth(n)?.parse::<f64>().ok();
    Some((field(11)? + field(12)?) / TICKS_PER_SECOND)
}

fn memory(id: u32) -> Option<f64> {
    let status = fs::read_to_string(format!("/proc/{id}/status")).ok()?;
    let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:"))?;
    Some(line.trim().trim_end_matches(" kB").parse::<f64>().ok()? / 1024.0)
}

/// The bytes sent and received by process and connection, as reported by `ss`.
fn connections() -> BTreeMap<(u32, Box<str>), (u64, u64)> {
    let output = Command::new("ss").args(["-tinpHO", "state", "established"]).output();
    let text = output.map(|o| String::from_utf8_lossy(&o.stdout).into_owned()).unwrap_or_default();
    let rows = text.lines().filter_map(|line| {
        let id = line.split_once("pid=")?.1.split(',').next()?.parse().ok()?;
        let number = |name: &str| {
            let rest = line.split_once(name).map_or("0", |(_, r)| r);
            rest.split(' ').next().unwrap_or("0").parse().unwrap_or(0)
        };
        let ends = line.split_whitespace().skip(2).take(2).collect::<Vec<_>>().join(" ");
        Some(((id, ends.into()), (number(" bytes_sent:"), number(" bytes_received:"))))
    });
    rows.collect()
}

/// Measures the processes for the given time.
///
/// Bytes that a connection carries after the last poll that shows it are missed, so the figures
/// are a lower bound.
///
/// `vms` is the address of the platform's list of VMs.
pub async fn watch(ids: &[u32], vms: SocketAddr, time: Duration) -> Vec<Usage> {
    let vms = vms.to_string();
    let begun = Instant::now();
    let before: Vec<Option<f64>> = ids.iter().map(|id| cpu(*id)).collect();
    let mut bytes: BTreeMap<u32, [u64; 3]> = BTreeMap::new();
    let mut last = connections();
    while begun.elapsed() < time {
        sleep(POLL_INTERVAL.min(time - begun.elapsed().min(time))).await;
        let next = connections();
        for (at, (sent, received)) in &next {
            let old = last.get(at).copied().unwrap_or((0, 0));
            let sum = bytes.entry(at.0).or_default();
            sum[0] += sent.saturating_sub(old.0);
            sum[1] += received.saturating_sub(old.1);
            if at.1.ends_with(&vms) {
                sum[2] += received.saturating_sub(old.1);
            }
        }
        last = next;
    }
    let seconds = begun.elapsed().as_secs_f64();
    let each = ids.iter().zip(before).map(|(id, before)| {
        let used = cpu(*id).zip(before).map_or(0.0, |(after, before)| after - before);
        let sums = bytes.get(id).copied().unwrap_or_default();
        let [sent, received, list] = sums.map(|n| n as f64 / 1024.0 / seconds);
        Usage {
            cpu: 100.0 * used / seconds,
            memory: memory(*id).unwrap_or(0.0),
            sent,
            received,
            list,
        }
    });
    each.collect()
}

/// Formats the minimum, median and maximum of some figures with a number of decimals.
pub fn min_median_max(figures: impl IntoIterator<Item = f64>, decimals: usize) -> String {
    let mut f: Vec<f64> = figures.into_iter().collect();
    f.sort_by(f64::total_cmp);
    let (Some(least), Some(greatest)) = (f.first(), f.last()) else { return "-".into() };
    let median = f[f.len() / 2];
    format!("{least:.decimals$} / {median:.decimals$} / {greatest:.decimals$}")
}

/// The slope and the intercept of the least-squares line through the points.
pub fn fit_line(points: &[(f64, f64)]) -> (f64, f64) {
    let n = points.len() as f64;
    let (x, y) = points.iter().fold((0.0, 0.0), |(x, y), p| (x + p.0 / n, y + p.1 / n));
    let above: f64 = points.iter().map(|p| (p.0 - x) * (p.1 - y)).sum();
    let below: f64 = points.iter().map(|p| (p.0 - x).powi(2)).sum();
    let slope = if below == 0.0 { 0.0 } else { above / below };
    (slope, y - slope * x)
}
