//! The cases of the second review, each of which starts real host processes.
//!
//! `case NAME RECORD` plays a case. It exits with 1 if the rule was broken, 0 if it held, and 2 if the
//! case couldn't run. With `TROUBLE=0` the disruption is left out.

#![allow(dead_code, reason = "each case uses a part of the stand-ins")]

mod fleet;
mod frozen_watch;
mod http;
mod json;
mod strangers;

use std::path::Path;
use std::process::exit;

/// How a case ended: the number of times that the rule was broken, or why it couldn't run.
pub type Outcome = Result<usize, String>;

/// Returns whether the disruption is played.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |it| it != "0")
}

fn main() {
    let args: Vec<_> = std::env::args().collect();
    let (Some(case), Some(path)) = (args.get(1), args.get(2)) else {
        eprintln!("usage: case NAME RECORD");
        exit(2);
    };
    let record = match fleet::Record::create(Path::new(path)) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("{path}: {error}");
            exit(2);
        }
    };
    let place = fleet::Place::new(case).unwrap_or_else(|error| {
        eprintln!("{error}");
        exit(2);
    });
    let outcome = match case.as_str() {
        "frozen-watch" => frozen_watch::play(&record, &place),
        "strangers" => strangers::play(&record, &place),
        _ => Err(format!("no such case: {case}")),
    };
    if std::env::var("KEEP").is_err() {
        let _ = std::fs::remove_dir_all(&place.folder);
    }
    let code = match outcome {
        Ok(0) => {
            record.line("the rule held");
            0
        }
        Ok(broken) => {
            record.line(&format!("the rule was broken {broken} times"));
            1
        }
        Err(error) => {
            record.line(&format!("the case couldn't run: {error}"));
            2
        }
    };
    println!("{case}: exit {code}");
    exit(code);
}
