//! Parses the command line.

use std::time::Duration;

use jaypin_bench::load::{LoadConfig, Mix};
use jaypin_bench::torture::TortureConfig;
use lexopt::prelude::*;

/// Text that `--help` prints.
pub const USAGE: &str = "\
usage: jaypin-bench demo
         Runs an engine, an application worker and three hosts as separate processes,
         streams a request through each host, then exits.
       jaypin-bench load [OPTIONS]
         Makes one run and prints its figures.
       jaypin-bench compare --policies P,P --loads L,L --seeds S,S [OPTIONS]
         Makes a run for each load, seed and policy and prints one table.
       jaypin-bench plot FILE.json --out FILE.svg
         Plots the output of `compare --json`.
       jaypin-bench check FILE
         Checks a history written by `torture` against every promise.
       jaypin-bench torture --seed N --minutes M --hosts H [--callers N] [--history FILE]
         Injects faults under load and checks the history against every promise.
       jaypin-bench streams [--count N]
         Runs N concurrent streams through one host and some directly, and times calls.
options of a run:
  --mix lanyang|hanbit     request mix (lanyang)
  --policy NAME            grants, local or baseline (grants)
  --load FACTOR            load over the engines' capacity (1.0)
  --hosts N --engines N --apps N   sizes (13, 20, 3)
  --duration S --warmup S --cooldown S   measured, before, after (20, 5, 5)
  --seed N                 seed of the arrivals (1)
  --report-lag-ms N        age of load reports (1000)
  --retries N              retries of a refused request (0)
  --slow-engine FACTOR --kill-host --kill-scheduler   faults halfway through a run
  --settings LINE          an additional line for every host's settings
  --log FILTER             filter of the hosts' logs (error)
  --json FILE              also write the figures as JSON";

/// Parsed command line.
#[derive(Debug, Default)]
pub struct Args {
    /// Name of the command; empty for help.
    pub command: String,
    /// Number of concurrent streams, for `streams`.
    pub count: usize,
    /// Length of a `torture` run, in minutes.
    pub minutes: f64,
    /// Number of callers, for `torture`.
    pub callers: usize,
    /// Output file for the history of a `torture` run.
    pub history: Option<String>,
    /// Input file of `plot` and `check`.
    pub file: Option<String>,
    /// Configuration of a load run.
    pub load: LoadConfig,
    /// Policies, for `compare`.
    pub policies: Vec<String>,
    /// Load factors, for `compare`.
    pub loads: Vec<f64>,
    /// Seeds, for `compare`.
    pub seeds: Vec<u64>,
    /// Output file for the report as JSON.
    pub json: Option<String>,
    /// Output file of `plot`.
    pub out: Option<String>,
}

impl Args {
    /// Returns the configuration of a `torture` run.
    pub fn torture(&self) -> TortureConfig {
        TortureConfig {
            seed: self.load.seed,
            length: Duration::from_secs_f64(self.minutes * 60.0),
            hosts: self.load.hosts,
            callers: self.callers,
            ..TortureConfig::default()
        }
    }
}

/// Parses the arguments of the process.
pub fn parse() -> Result<Args, lexopt::Error> {
    let mut args = Args {
        policies: vec!["grants".to_owned(), "baseline".to_owned()],
        loads: vec![1.0],
        seeds: vec![1],
        count: 500,
        minutes: 1.0,
        callers: 60,
        ..Args::default()
    };
    let mut parser = lexopt::Parser::from_env();
    while let Some(arg) = parser.next()? {
        match arg {
            Long("help") | Short('h') => {
                args.command.clear();
                return Ok(args);
            }
            Long("count") => args.count = parser.value()?.parse()?,
            Long("minutes") => args.minutes = parser.value()?.parse()?,
            Long("callers") => args.callers = parser.value()?.parse()?,
            Long("history") => args.history = Some(parser.value()?.string()?),
            Long("json") => args.json = Some(parser.value()?.string()?),
            Long("out") => args.out = Some(parser.value()?.string()?),
            Long("policies") => args.policies = list(&mut parser)?,
            Long("loads") => args.loads = list(&mut parser)?,
            Long("seeds") => args.seeds = list(&mut parser)?,
            Long(name) => {
                let name = name.to_owned();
                run_option(&mut args.load, &name, &mut parser)?;
            }
            Value(command) if args.command.is_empty() => args.command = command.string()?,
            Value(file) if args.file.is_none() => args.file = Some(file.string()?),
            _ => return Err(arg.unexpected()),
        }
    }
    Ok(args)
}

fn run_option(
    load: &mut LoadConfig,
    name: &str,
    parser: &mut lexopt::Parser,
) -> Result<(), lexopt::Error> {
    match name {
        "mix" => {
            let name = parser.value()?.string()?;
            load.mix = Mix::named(&name).ok_or_else(|| format!("no such mix: {name}"))?;
        }
        "policy" => load.policy = parser.value()?.string()?,
        "load" => load.load = parser.value()?.parse()?,
        "hosts" => load.hosts = parser.value()?.parse()?,
        "engines" => load.engines = parser.value()?.parse()?,
        "apps" => load.apps = parser.value()?.parse()?,
        "duration" => load.duration = seconds(parser)?,
        "warmup" => load.warmup = seconds(parser)?,
        "cooldown" => load.cooldown = seconds(parser)?,
        "seed" => load.seed = parser.value()?.parse()?,
        "report-lag-ms" => load.report_lag = Duration::from_millis(parser.value()?.parse()?),
        "retries" => load.retries = parser.value()?.parse()?,
        "slow-engine" => load.faults.slow_engine = Some(parser.value()?.parse()?),
        "kill-host" => load.faults.kill_host = true,
        "kill-scheduler" => load.faults.kill_scheduler = true,
        "settings" => {
            load.settings.push_str(&parser.value()?.string()?);
            load.settings.push('\n');
        }
        "log" => load.log = parser.value()?.string()?,
        other => return Err(format!("no such option: --{other}").into()),
    }
    Ok(())
}

fn seconds(parser: &mut lexopt::Parser) -> Result<Duration, lexopt::Error> {
    Ok(Duration::from_secs(parser.value()?.parse()?))
}

fn list<T>(parser: &mut lexopt::Parser) -> Result<Vec<T>, lexopt::Error>
where
    T: std::str::FromStr,
    T::Err: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let value = parser.value()?.string()?;
    value
        .split(',')
        .map(|part| std::ffi::OsString::from(part).parse())
        .collect()
}
