//! `jaypin-bench`: demonstration, load and experiments.

mod cli;

use jaypin_bench::{Run, demo, history, load, plot, streams, torture};

type AnyError = Box<dyn std::error::Error + Send + Sync>;

#[tokio::main]
async fn main() -> Result<(), AnyError> {
    let args = cli::parse()?;
    match args.command.as_str() {
        "demo" => demo().await,
        "load" => one_run(&args).await,
        "compare" => compare(&args).await,
        "plot" => draw(&args),
        "check" => check(&args),
        "streams" => many_streams(&args).await,
        "torture" => under_faults(&args).await,
        _ => {
            println!("{}", cli::USAGE);
            Ok(())
        }
    }
}

async fn one_run(args: &cli::Args) -> Result<(), AnyError> {
    let report = load::run(&args.load).await?;
    print!("{}", report.table());
    write(args, &serde_json::to_value(&report)?)
}

async fn compare(args: &cli::Args) -> Result<(), AnyError> {
    let reports = load::compare(&args.load, &args.policies, &args.loads, &args.seeds).await?;
    print!("{}", load::comparison_table(&reports));
    write(args, &serde_json::to_value(&reports)?)
}

async fn many_streams(args: &cli::Args) -> Result<(), AnyError> {
    let report = streams(args.count).await?;
    print!("{}", report.table());
    write(args, &serde_json::to_value(&report)?)
}

async fn under_faults(args: &cli::Args) -> Result<(), AnyError> {
    let report = torture::torture(&args.torture()).await?;
    print!("{}", report.table());
    write(args, &serde_json::to_value(&report)?)?;
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
    let file = args.file.as_deref().ok_or("a history's file is missing")?;
    let history = serde_json::from_str(&std::fs::read_to_string(file)?)?;
    let outcome = history::check(&history);
    println!("{}", serde_json::to_string_pretty(&outcome)?);
    if outcome.violations.is_empty() {
        Ok(())
    } else {
        Err(format!("{} promises are broken", outcome.violations.len()).into())
    }
}

fn write(args: &cli::Args, value: &serde_json::Value) -> Result<(), AnyError> {
    if let Some(path) = &args.json {
        std::fs::write(path, serde_json::to_string_pretty(value)?)?;
    }
    Ok(())
}

fn draw(args: &cli::Args) -> Result<(), AnyError> {
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
