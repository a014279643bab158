//! `endivereach top`: shows the activity of the proxies, once per interval.

use super::ViaOption;
use super::status::fetch_statuses;
use crate::exit::Exit;
use crate::fleet::CallResult;
use crate::output::Table;
use argh::FromArgs;
use endivereach_core::ids::ProxyName;
use endivereach_core::units::TimeSpan;
use endivereach_wire::operator::ProxyStatus;
use std::collections::BTreeMap;
use std::io::Write;
use std::net::SocketAddr;
use std::thread;
use std::time::Duration;
use std::time::Instant;

/// The default of `--interval`.
const INTERVAL_DEFAULT: Duration = Duration::from_secs(2);

/// The maximum number of counters in a table. Those with the highest rates are shown.
const COUNTERS_SHOWN_MAX: usize = 12;

/// shows the activity of the proxies, once per interval
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "top")]
pub(crate) struct Top {
    /// the address of the platform's object API
    #[argh(option)]
    platform: SocketAddr,
    /// the interval between two tables, such as 2s
    #[argh(option, default = "TimeSpan::from(INTERVAL_DEFAULT)")]
    interval: TimeSpan,
    /// the number of tables to show; by default, runs until interrupted
    #[argh(option)]
    rounds: Option<u32>,
    /// connect to address THROUGH instead of address TO: TO=THROUGH; can be repeated
    #[argh(option)]
    via: Vec<ViaOption>,
}

/// The counters of all proxies at one time, by the counter's and the proxy's name.
type Counters = BTreeMap<(Box<str>, ProxyName), u64>;

impl Top {
    /// Runs the command.
    pub(crate) fn run(&self, out: &mut impl Write) -> anyhow::Result<Exit> {
        let mut before = collect_counters(&fetch_statuses(self.platform, &self.via)?);
        let mut fetched_at = Instant::now();
        let mut shown = 0;
        while self.rounds.is_none_or(|rounds| shown < rounds) {
            thread::sleep(self.interval.get());
            let results = fetch_statuses(self.platform, &self.via)?;
            let (now, elapsed) = (Instant::now(), fetched_at.elapsed());
            let after = collect_counters(&results);
            write!(out, "{}", rate_table(&before, &after, elapsed))?;
            writeln!(out, "{}", summary_line(&results))?;
            out.flush()?;
            (before, fetched_at) = (after, now);
            shown += 1;
        }
        Ok(Exit::Done)
    }
}

/// Collects the counters of the proxies that answered.
fn collect_counters(results: &[CallResult<ProxyStatus>]) -> Counters {
    let mut counters = Counters::new();
    for status in results.iter().flat_map(|call_result| &call_result.result) {
        for counter in &status.counters {
            let key = (counter.name.clone(), status.proxy.name.clone());
            counters.insert(key, counter.value);
        }
    }
    counters
}

/// Returns a table of the counters that increased, as rates summed over all proxies.
fn rate_table(before: &Counters, after: &Counters, elapsed: Duration) -> Table<2> {
    let mut sums: BTreeMap<&str, u64> = BTreeMap::new();
    for (key, value) in after {
        // After a restart of its process, a counter starts at zero again. Its decrease counts as no
        // increase.
        let earlier = before.get(key).copied().unwrap_or(*value);
        *sums.entry(&*key.0).or_default() += value.saturating_sub(earlier);
    }
    let mut increases: Vec<(u64, &str)> = sums.into_iter().map(|(name, sum)| (sum, name)).collect();
    increases.retain(|(sum, _)| *sum > 0);
    increases.sort_unstable_by(|a, b| b.cmp(a));
    let mut table = Table::new(["COUNTER", "PER SECOND"]);
    for (sum, name) in increases.into_iter().take(COUNTERS_SHOWN_MAX) {
        let rate = sum as f64 / elapsed.as_secs_f64().max(f64::EPSILON);
        table.row([name.to_owned(), format!("{rate:.1}")]);
    }
    table
}

/// Returns the totals of the fleet on one line.
fn summary_line(results: &[CallResult<ProxyStatus>]) -> String {
    let statuses: Vec<&ProxyStatus> = results
        .iter()
        .flat_map(|call_result| &call_result.result)
        .collect();
    let callers: u64 = statuses.iter().map(|status| status.callers).sum();
    let in_flight: u64 = statuses.iter().map(|status| status.in_flight).sum();
    let unanswered = results.len() - statuses.len();
    format!(
        "{} proxies, {unanswered} without an answer, {callers} callers, {in_flight} statements in flight\n",
        results.len(),
    )
}
