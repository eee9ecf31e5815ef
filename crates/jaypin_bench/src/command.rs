//! The command line of `jaypin`, as operators use it.

use std::process::Command;

use crate::binary;

/// What a command gave.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CommandOutput {
    /// Exit code; none when a signal ended it.
    pub code: Option<i32>,
    /// What it printed.
    pub stdout: String,
    /// What it said beside.
    pub stderr: String,
}

/// Runs `jaypin` to its end, with an operators' token when there is one.
///
/// # Panics
/// When the program was not built or can't be started.
pub async fn jaypin(args: &[&str], token: Option<&str>) -> CommandOutput {
    let mut command = Command::new(binary("jaypin").expect("jaypin is built"));
    command.args(args);
    if let Some(token) = token {
        command.env("JAYPIN_OPERATOR_TOKEN", token);
    }
    // Not on the runtime's own thread: the stand-ins that it talks to run there.
    let output = tokio::task::spawn_blocking(move || command.output());
    let output = output.await.expect("no panic").expect("it runs");
    CommandOutput {
        code: output.status.code(),
        stdout: String::from_utf8_lossy(&output.stdout).into_owned(),
        stderr: String::from_utf8_lossy(&output.stderr).into_owned(),
    }
}
