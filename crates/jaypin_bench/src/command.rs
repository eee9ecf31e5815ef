//! Runs the `jaypin` program as operators do.

use std::process::Command;

use crate::binary;

/// Exit code and output of a command.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CommandOutput {
    /// Exit code; none when a signal terminated the process.
    pub code: Option<i32>,
    /// Standard output.
    pub stdout: String,
    /// Standard error.
    pub stderr: String,
}

/// Runs `jaypin` until it exits, with the operator token if one is given.
///
/// # Panics
/// When the program was not built or can't be started.
pub async fn jaypin(args: &[&str], token: Option<&str>) -> CommandOutput {
    let mut command = Command::new(binary("jaypin").expect("jaypin is built"));
    command.args(args);
    if let Some(token) = token {
        command.env("JAYPIN_OPERATOR_TOKEN", token);
    }
    // The command blocks, and the stand-ins that it connects to run on the runtime's thread.
    let output = tokio::task::spawn_blocking(move || command.output());
    let output = output.await.expect("no panic").expect("it runs");
    CommandOutput {
        code: output.status.code(),
        stdout: String::from_utf8_lossy(&output.stdout).into_owned(),
        stderr: String::from_utf8_lossy(&output.stderr).into_owned(),
    }
}
