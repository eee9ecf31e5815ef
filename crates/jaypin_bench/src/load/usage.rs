//! Processor time and memory of processes, read from `/proc`.

use std::time::Duration;

/// Clock ticks per second in `/proc/PID/stat`; the kernel always reports 100 to programs.
const TICKS_PER_SECOND: u64 = 100;

/// Returns the user and system time of a process; none when it has exited.
#[must_use]
pub fn cpu_time(pid: u32) -> Option<Duration> {
    let text = std::fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
    // The program name, in parentheses, may contain spaces, so fields are counted after it.
    let fields: Vec<&str> = text.rsplit_once(')')?.1.split_whitespace().collect();
    let user: u64 = fields.get(11)?.parse().ok()?;
    let system: u64 = fields.get(12)?.parse().ok()?;
    Some(Duration::from_millis(
        (user + system) * 1_000 / TICKS_PER_SECOND,
    ))
}

/// Returns the current and the peak resident memory of a process, in KiB.
#[must_use]
pub fn resident_kib(pid: u32) -> Option<(u64, u64)> {
    let text = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let field = |name: &str| -> Option<u64> {
        let line = text.lines().find_map(|line| line.strip_prefix(name))?;
        line.split_whitespace().next()?.parse().ok()
    };
    Some((field("VmRSS:")?, field("VmHWM:")?))
}
