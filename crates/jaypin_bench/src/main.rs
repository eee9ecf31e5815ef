//! `jaypin-bench`: demonstration, load and experiments.

mod cli;

use jaypin_bench::{demo, load};

type AnyError = Box<dyn std::error::Error + Send + Sync>;

#[tokio::main]
async fn main() -> Result<(), AnyError> {
    let args = cli::parse()?;
    match args.command.as_str() {
        "demo" => demo().await,
        "load" => one_run(&args).await,
        "compare" => compare(&args).await,
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

fn write(args: &cli::Args, value: &serde_json::Value) -> Result<(), AnyError> {
    if let Some(path) = &args.json {
        std::fs::write(path, serde_json::to_string_pretty(value)?)?;
    }
    Ok(())
}
