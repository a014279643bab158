//! `endivereach-lab run`, `list` and `report`: run experiments and show their results.

use crate::report;
use crate::scenario;
use crate::summary::Summary;
use anyhow::Context;
use argh::FromArgs;
use std::path::PathBuf;

/// Run one experiment and print its summary as a JSON object on the last line.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "run")]
pub struct RunCommand {
    /// the experiment's name, as `list` prints it
    #[argh(positional)]
    scenario: String,
    /// the seed of all random choices
    #[argh(option, default = "1")]
    seed: u64,
    /// print nothing but the JSON object
    #[argh(switch)]
    json: bool,
    /// where logs and data go; a new temporary folder by default
    #[argh(option)]
    folder: Option<PathBuf>,
    /// a folder to save the summary in, for `report`
    #[argh(option)]
    save: Option<PathBuf>,
}

impl RunCommand {
    /// Runs the experiment. Exits the process with status 1 when an invariant or an expectation was
    /// violated.
    ///
    /// # Errors
    ///
    /// Returns an error when the experiment can't be carried out.
    pub fn run(self) -> anyhow::Result<()> {
        let scenario = scenario::find(&self.scenario).with_context(|| {
            format!(
                "there is no experiment {:?}; see the list command",
                self.scenario
            )
        })?;
        let folder = self.folder.clone().unwrap_or_else(|| {
            let folder_name = format!(
                "endivereach-{}-{}-{}",
                scenario.name,
                self.seed,
                std::process::id()
            );
            std::env::temp_dir().join(folder_name)
        });
        let keep_folder = self.folder.is_some();
        let summary = scenario.run(self.seed, &folder)?;
        if let Some(save) = &self.save {
            std::fs::create_dir_all(save)?;
            let file_name = format!("{}-{}.json", scenario.name, self.seed);
            std::fs::write(
                save.join(file_name),
                serde_json::to_string_pretty(&summary)?,
            )?;
        }
        if !self.json {
            print_summary(&summary);
        }
        println!("{}", serde_json::to_string(&summary)?);
        if !summary.ok {
            eprintln!("logs and data are in {}", folder.display());
            std::process::exit(1);
        }
        if !keep_folder {
            std::fs::remove_dir_all(&folder)?;
        }
        Ok(())
    }
}

fn print_summary(summary: &Summary) {
    println!("experiment   {} (seed {})", summary.scenario, summary.seed);
    println!("violations   {:?}", summary.violations);
    println!(
        "done         {} ({:.0} a second)",
        summary.done, summary.statements_per_s
    );
    println!(
        "not done     {} not run, {} unknown, {} broken, failed {:?}",
        summary.not_run, summary.unknown, summary.broken, summary.failed
    );
    println!(
        "latency      p50 {:.1} ms, p99 {:.1} ms",
        summary.latency_ms.p50_us as f64 / 1000.0,
        summary.latency_ms.p99_us as f64 / 1000.0
    );
    println!("longest gap  {} ms", summary.failover_gap_ms);
    if let Some(share) = summary.replica_read_share {
        println!("replicas     {:.1}% of the reads", share * 100.0);
    }
    for missed in &summary.missed {
        println!("missed       {missed}");
    }
}

/// List the experiments, one line each.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "list")]
pub struct ListCommand {}

impl ListCommand {
    /// Prints the experiments.
    ///
    /// # Errors
    ///
    /// Never returns an error; every subcommand has this signature.
    pub fn run(self) -> anyhow::Result<()> {
        for scenario in scenario::all() {
            println!("{:24} {}", scenario.name, scenario.summary);
        }
        Ok(())
    }
}

/// Write an HTML page with plots from saved runs.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "report")]
pub struct ReportCommand {
    /// the folder that `run --save` wrote to
    #[argh(positional)]
    runs: PathBuf,
    /// the page to write
    #[argh(option, default = "PathBuf::from(\"report.html\")")]
    out: PathBuf,
}

impl ReportCommand {
    /// Writes the page.
    ///
    /// # Errors
    ///
    /// Returns an error when a saved run can't be read or the page can't be written.
    pub fn run(self) -> anyhow::Result<()> {
        let mut runs = Vec::new();
        let entries = std::fs::read_dir(&self.runs).with_context(|| {
            format!(
                "can't read {}; name the folder of --save",
                self.runs.display()
            )
        })?;
        for entry in entries {
            let path = entry?.path();
            if path
                .extension()
                .is_some_and(|extension| extension == "json")
            {
                let text = std::fs::read_to_string(&path)?;
                let run: Summary = serde_json::from_str(&text)
                    .with_context(|| format!("{} isn't a saved run", path.display()))?;
                runs.push(run);
            }
        }
        runs.sort_by(|a, b| (&a.scenario, a.seed).cmp(&(&b.scenario, b.seed)));
        std::fs::write(&self.out, report::render(&runs))?;
        println!("{} runs in {}", runs.len(), self.out.display());
        Ok(())
    }
}
