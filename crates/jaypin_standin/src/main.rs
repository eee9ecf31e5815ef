//! `jaypin-standin`: runs one test double as a separate process.

use std::time::Duration;

use jaypin_standin::{App, AppConfig, Engine, EngineConfig, Platform, Proxy};
use lexopt::prelude::*;

const USAGE: &str = "\
usage: jaypin-standin engine   [--listen IP:PORT] [--slots N] [--gap-ms N] [--prefill-rate N]
       jaypin-standin app      [--listen IP:PORT] [--work-ms N]
       jaypin-standin platform [--listen IP:PORT]
       jaypin-standin proxy    --target IP:PORT [--listen IP:PORT]
Each prints `listening on IP:PORT` and runs until it is stopped.";

#[derive(Debug, Default)]
struct Args {
    kind: String,
    listen: Option<String>,
    slots: Option<usize>,
    gap_ms: Option<u64>,
    prefill_rate: Option<f64>,
    work_ms: Option<u64>,
    target: Option<String>,
}

type AnyError = Box<dyn std::error::Error>;

fn parse() -> Result<Args, lexopt::Error> {
    let mut args = Args::default();
    let mut parser = lexopt::Parser::from_env();
    while let Some(arg) = parser.next()? {
        match arg {
            Long("listen") => args.listen = Some(parser.value()?.parse()?),
            Long("slots") => args.slots = Some(parser.value()?.parse()?),
            Long("gap-ms") => args.gap_ms = Some(parser.value()?.parse()?),
            Long("prefill-rate") => args.prefill_rate = Some(parser.value()?.parse()?),
            Long("work-ms") => args.work_ms = Some(parser.value()?.parse()?),
            Long("target") => args.target = Some(parser.value()?.parse()?),
            Long("help") => "help".clone_into(&mut args.kind),
            Value(kind) if args.kind.is_empty() => args.kind = kind.parse()?,
            _ => return Err(arg.unexpected()),
        }
    }
    Ok(args)
}

#[tokio::main]
async fn main() -> Result<(), AnyError> {
    let args = parse()?;
    let listen = args
        .listen
        .clone()
        .unwrap_or_else(|| "127.0.0.1:0".to_owned());
    match args.kind.as_str() {
        "engine" => {
            let engine = Engine::start(engine_config(&args, listen)).await?;
            println!("listening on {}", engine.address);
            run_forever().await
        }
        "app" => {
            let mut cfg = AppConfig {
                address: listen,
                ..AppConfig::default()
            };
            if let Some(work) = args.work_ms {
                cfg.work = Duration::from_millis(work);
            }
            let app = App::start(cfg).await?;
            println!("listening on {}", app.address);
            run_forever().await
        }
        "platform" => {
            let platform = Platform::start(&listen).await?;
            println!("listening on {}", platform.address);
            run_forever().await
        }
        "proxy" => {
            let target = args
                .target
                .as_deref()
                .ok_or("--target is missing")?
                .parse()?;
            let proxy = Proxy::start(&listen, target).await?;
            println!("listening on {}", proxy.address);
            run_forever().await
        }
        _ => {
            println!("{USAGE}");
            Ok(())
        }
    }
}

fn engine_config(args: &Args, listen: String) -> EngineConfig {
    let mut cfg = EngineConfig {
        address: listen,
        ..EngineConfig::default()
    };
    if let Some(slots) = args.slots {
        cfg.slots = slots;
    }
    if let Some(gap) = args.gap_ms {
        cfg.gap = Duration::from_millis(gap);
    }
    if let Some(rate) = args.prefill_rate {
        cfg.prefill_rate = rate;
    }
    cfg
}

async fn run_forever() -> Result<(), AnyError> {
    std::future::pending::<()>().await;
    Ok(())
}
