//! A bounded queue of log lines, and the thread that writes them.

use std::io::{self, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use crossbeam::channel::{Receiver, Sender, TrySendError, bounded};

/// Capacity of the queue in lines: a few seconds of the heaviest load.
const MAX_QUEUED_LINES: usize = 512;
/// Capacity that only warnings and errors may use: ordinary lines are dropped first.
const RESERVED_FOR_WARNINGS: usize = 128;
/// Parts by which lines of warnings and errors are recognized. Fields are sorted by name, so the
/// whole line is searched.
const WARNING_LEVELS: [&[u8]; 2] = [b"\"level\":\"WARN\"", b"\"level\":\"ERROR\""];

/// A writer that queues lines without blocking.
///
/// Guards against a reader of standard output that stalls: writes to a full pipe block, and
/// every request would wait for them. Lines that exceed the queue are dropped and counted, and
/// one line reports their number once there is room.
#[derive(Debug)]
pub struct LogQueue {
    lines: Sender<Vec<u8>>,
    dropped: Arc<Dropped>,
}

/// Number of lines that were dropped and not yet reported, by kind.
#[derive(Debug, Default)]
struct Dropped {
    ordinary: AtomicU64,
    warnings: AtomicU64,
}

fn is_warning(line: &[u8]) -> bool {
    let has = |part: &[u8]| line.windows(part.len()).any(|it| it == part);
    WARNING_LEVELS.iter().any(|part| has(part))
}

impl LogQueue {
    /// Starts the writer thread.
    ///
    /// # Errors
    /// Fails if the thread can't be started.
    pub fn start(out: impl Write + Send + 'static) -> io::Result<Self> {
        let (lines, queue) = bounded(MAX_QUEUED_LINES);
        let dropped = Arc::new(Dropped::default());
        let counted = dropped.clone();
        std::thread::Builder::new()
            .name("logs".to_owned())
            .spawn(move || write_lines(&queue, &counted, out))?;
        Ok(Self { lines, dropped })
    }
}

impl Write for LogQueue {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        let is_ordinary = !is_warning(buf);
        let has_room = self.lines.len() < MAX_QUEUED_LINES - RESERVED_FOR_WARNINGS;
        let is_dropped = is_ordinary && !has_room
            || matches!(
                self.lines.try_send(buf.to_vec()),
                Err(TrySendError::Full(_))
            );
        if is_dropped {
            let dropped = if is_ordinary {
                &self.dropped.ordinary
            } else {
                &self.dropped.warnings
            };
            dropped.fetch_add(1, Ordering::Relaxed);
        }
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn write_lines(queue: &Receiver<Vec<u8>>, dropped: &Dropped, mut out: impl Write) {
    for line in queue {
        let ordinary = dropped.ordinary.swap(0, Ordering::Relaxed);
        let warnings = dropped.warnings.swap(0, Ordering::Relaxed);
        if ordinary + warnings > 0 {
            let written = writeln!(
                out,
                "{{\"level\":\"WARN\",\"msg\":\"log lines dropped\",\"ordinary\":{ordinary},\"warnings\":{warnings}}}"
            );
            if written.is_err() {
                return;
            }
        }
        // The reader has closed the pipe, so nothing can be logged any more.
        if out.write_all(&line).is_err() {
            return;
        }
    }
}
