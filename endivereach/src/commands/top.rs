//! `endivereach top`: what every proxy does, once an interval.

use super::ViaOption;
use super::status::ask;
use crate::exit::Exit;
use crate::fleet::Answer;
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

/// The pause between two rounds.
const INTERVAL: Duration = Duration::from_secs(2);

/// How many counters are shown, the fastest first.
const COUNTERS_SHOWN: usize = 12;

/// shows what every proxy does, once an interval
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "top")]
pub(crate) struct Top {
    /// the platform's address
    #[argh(option)]
    platform: SocketAddr,
    /// the pause between two rounds, such as 2s
    #[argh(option, default = "TimeSpan::from(INTERVAL)")]
    interval: TimeSpan,
    /// how many rounds to show; without it, until interrupted
    #[argh(option)]
    rounds: Option<u32>,
    /// reach an address through another: TO=THROUGH
    #[argh(option)]
    via: Vec<ViaOption>,
}

/// The counters of one round.
type Counters = BTreeMap<(Box<str>, ProxyName), u64>;

impl Top {
    /// Runs the command.
    pub(crate) fn run(&self, out: &mut impl Write) -> anyhow::Result<Exit> {
        let mut before = counters(&ask(self.platform, &self.via)?);
        let mut asked_at = Instant::now();
        let mut shown = 0;
        while self.rounds.is_none_or(|rounds| shown < rounds) {
            thread::sleep(self.interval.get());
            let answers = ask(self.platform, &self.via)?;
            let (now, elapsed) = (Instant::now(), asked_at.elapsed());
            let after = counters(&answers);
            write!(out, "{}", rates(&before, &after, elapsed))?;
            writeln!(out, "{}", summary(&answers))?;
            out.flush()?;
            (before, asked_at) = (after, now);
            shown += 1;
        }
        Ok(Exit::Done)
    }
}

fn counters(answers: &[Answer<ProxyStatus>]) -> Counters {
    let mut counters = Counters::new();
    for status in answers.iter().flat_map(|answer| &answer.result) {
        for counter in &status.counters {
            let key = (counter.name.clone(), status.proxy.name.clone());
            counters.insert(key, counter.value);
        }
    }
    counters
}

/// Shows the counters that moved, as rates over the fleet.
fn rates(before: &Counters, after: &Counters, elapsed: Duration) -> Table<2> {
    let mut sums: BTreeMap<&str, u64> = BTreeMap::new();
    for (key, value) in after {
        // A counter that went back belongs to a process that was restarted.
        let earlier = before.get(key).copied().unwrap_or(*value);
        *sums.entry(&*key.0).or_default() += value.saturating_sub(earlier);
    }
    let mut moved: Vec<(u64, &str)> = sums.into_iter().map(|(name, sum)| (sum, name)).collect();
    moved.retain(|(sum, _)| *sum > 0);
    moved.sort_unstable_by(|a, b| b.cmp(a));
    let mut table = Table::new(["COUNTER", "PER SECOND"]);
    for (sum, name) in moved.into_iter().take(COUNTERS_SHOWN) {
        let rate = sum as f64 / elapsed.as_secs_f64().max(f64::EPSILON);
        table.row([name.to_owned(), format!("{rate:.1}")]);
    }
    table
}

fn summary(answers: &[Answer<ProxyStatus>]) -> String {
    let known: Vec<&ProxyStatus> = answers.iter().flat_map(|answer| &answer.result).collect();
    let callers: u64 = known.iter().map(|status| status.callers).sum();
    let in_flight: u64 = known.iter().map(|status| status.in_flight).sum();
    let silent = answers.len() - known.len();
    format!(
        "{} proxies, {silent} silent, {callers} callers, {in_flight} statements in flight\n",
        answers.len(),
    )
}
