//! `jaypin-bench`: demonstration, load generator, fault injection and history checker.

mod cli;

use jaypin_bench::{Run, demo, history, load, plot, streams, torture};

type AnyError = Box<dyn std::error::Error + Send + Sync>;

#[tokio::main]
async fn main() -> Result<(), AnyError> {
    let args = cli::parse()?;
    match args.command.as_str() {
        "demo" => demo().await,
        "load" => run_load(&args).await,
        "compare" => compare(&args).await,
        "plot" => draw_plot(&args),
        "check" => check(&args),
        "streams" => run_streams(&args).await,
        "torture" => run_torture(&args).await,
        _ => {
            println!("{}", cli::USAGE);
            Ok(())
        }
    }
}

async fn run_load(args: &cli::Args) -> Result<(), AnyError> {
    let report = load::run(&args.load).await?;
    print!("{}", report.table());
    write_json(args, &serde_json::to_value(&report)?)
}

async fn compare(args: &cli::Args) -> Result<(), AnyError> {
    let reports = load::compare(&args.load, &args.policies, &args.loads, &args.seeds).await?;
    print!("{}", load::comparison_table(&reports));
    write_json(args, &serde_json::to_value(&reports)?)
}

async fn run_streams(args: &cli::Args) -> Result<(), AnyError> {
    let report = streams(args.count).await?;
    print!("{}", report.table());
    write_json(args, &serde_json::to_value(&report)?)
}

async fn run_torture(args: &cli::Args) -> Result<(), AnyError> {
    let report = torture::torture(&args.torture()).await?;
    print!("{}", report.table());
    write_json(args, &serde_json::to_value(&report)?)?;
    if let Some(path) = &args.history {
        std::fs::write(path, serde_json::to_string(&report.history)?)?;
    }
    if report.check.violations.is_empty() {
        Ok(())
    } else {
        Err("promises are broken".into())
    }
}

fn check(args: &cli::Args) -> Result<(), AnyError> {
    let file = args
        .file
        .as_deref()
        .ok_or("the history file argument is missing")?;
    let history = serde_json::from_str(&std::fs::read_to_string(file)?)?;
    let outcome = history::check(&history);
    println!("{}", serde_json::to_string_pretty(&outcome)?);
    if outcome.violations.is_empty() {
        Ok(())
    } else {
        Err(format!("{} promises are broken", outcome.violations.len()).into())
    }
}

fn write_json(args: &cli::Args, value: &serde_json::Value) -> Result<(), AnyError> {
    if let Some(path) = &args.json {
        std::fs::write(path, serde_json::to_string_pretty(value)?)?;
    }
    Ok(())
}

fn draw_plot(args: &cli::Args) -> Result<(), AnyError> {
    let input = args
        .file
        .as_deref()
        .ok_or("a file written by `compare --json` is missing")?;
    let out = args.out.as_deref().ok_or("--out is missing")?;
    let runs: Vec<Run> = serde_json::from_str(&std::fs::read_to_string(input)?)?;
    std::fs::write(out, plot(&runs)?)?;
    println!("{out}: {} runs", runs.len());
    Ok(())
}
