//! `jaypin explain --log`: explains a request from the log of an entry host, which may have
//! exited.

use std::io::{self, BufRead};

use serde::Deserialize;

use super::{Failure, Outcome};

/// A log line of an entry host about a call or the end of a request; other fields of the line
/// are ignored.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct RequestLine {
    time: String,
    id: String,
    outcome: String,
    backend: String,
    /// Milliseconds since the request arrived.
    ms: u64,
    /// Milliseconds from the arrival to the first event; 0 if there was none.
    first_ms: u64,
    /// Longest time between two events, in milliseconds.
    pause_ms: u64,
    /// Inputs of the decision.
    why: String,
}

impl RequestLine {
    fn sentence(&self) -> String {
        let Self {
            time, ms, why, id, ..
        } = self;
        if self.backend.is_empty() {
            return format!("{time} {id}: after {ms} ms {}: {why}", self.outcome);
        }
        let events = match self.first_ms {
            0 => String::new(),
            first => format!(
                ", first event after {first} ms, longest pause {} ms",
                self.pause_ms
            ),
        };
        let (outcome, backend) = (&self.outcome, &self.backend);
        format!(
            "{time} {id}: call to {backend} ended as {outcome} after {ms} ms{events}; chosen by: {why}"
        )
    }
}

/// Prints a sentence for each log line about a request, in the order of the log.
pub fn print(id: &str, log: impl BufRead) -> Outcome {
    let mut found = 0;
    for line in log.lines() {
        let line = line.map_err(|error| Failure::Failed(error.to_string()))?;
        // Other lines may have fields of other types, and a log may be truncated in the middle of
        // a line; such lines are skipped.
        let Ok(line) = serde_json::from_str::<RequestLine>(&line) else {
            continue;
        };
        if line.id == id {
            found += 1;
            println!("{}", line.sentence());
        }
    }
    if found == 0 {
        return Err(Failure::Failed(format!(
            "the log has no line about request {id}"
        )));
    }
    Ok(())
}

/// Opens a log file, or standard input for `-`.
pub fn open(name: &str) -> Result<Box<dyn BufRead>, Failure> {
    if name == "-" {
        return Ok(Box::new(io::stdin().lock()));
    }
    let file = std::fs::File::open(name);
    let file = file.map_err(|error| Failure::Usage(format!("{name}: {error}")))?;
    Ok(Box::new(io::BufReader::new(file)))
}
