//! `jaypin explain --log`: sentences from the log of a host that is gone.

use std::io::{self, BufRead};

use serde::Deserialize;

use super::{Failure, Outcome};

/// A line of an entry host's log about one request.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct RequestLine {
    time: String,
    id: String,
    outcome: String,
    backend: String,
    /// Milliseconds since the request arrived.
    ms: u64,
    /// Milliseconds to its first event; 0 where none came.
    first_ms: u64,
    /// Longest time between two events, in milliseconds.
    pause_ms: u64,
    /// What the decision rested on.
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

/// Prints what a log says of a request, in order.
pub fn print(id: &str, log: impl BufRead) -> Outcome {
    let mut found = 0;
    for line in log.lines() {
        let line = line.map_err(|error| Failure::Failed(error.to_string()))?;
        // Other lines have other fields, and a log may be cut in the middle of one.
        let Ok(line) = serde_json::from_str::<RequestLine>(&line) else {
            continue;
        };
        if line.id == id {
            found += 1;
            println!("{}", line.sentence());
        }
    }
    if found == 0 {
        return Err(Failure::Failed(format!("the log says nothing of {id}")));
    }
    Ok(())
}

/// Opens a log: a file, or standard input for `-`.
pub fn open(name: &str) -> Result<Box<dyn BufRead>, Failure> {
    if name == "-" {
        return Ok(Box::new(io::stdin().lock()));
    }
    let file = std::fs::File::open(name);
    let file = file.map_err(|error| Failure::Usage(format!("{name}: {error}")))?;
    Ok(Box::new(io::BufReader::new(file)))
}
