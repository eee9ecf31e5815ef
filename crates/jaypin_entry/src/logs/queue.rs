//! A bounded queue between those who log and the one thread that writes.

use std::io::{self, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use crossbeam::channel::{Receiver, Sender, TrySendError, bounded};

/// Lines that may wait to be written: some seconds of the heaviest load.
const MAX_QUEUED_LINES: usize = 512;
/// Places of these that only warnings and errors may take: ordinary lines are dropped
/// first.
const RESERVED_FOR_WARNINGS: usize = 128;
/// How the lines of warnings and errors begin: fields are in order of their names, so the
/// level is looked for.
const WARNING_LEVELS: [&[u8]; 2] = [b"\"level\":\"WARN\"", b"\"level\":\"ERROR\""];

/// Takes lines without waiting.
///
/// Guards against a reader of standard output that stalls: writes to a full pipe block, and
/// every request would wait for it. Lines beyond the queue are dropped and counted, and one
/// line tells how many once there is room.
#[derive(Debug)]
pub struct LogQueue {
    lines: Sender<Vec<u8>>,
    dropped: Arc<Dropped>,
}

/// Lines dropped and not yet told, by kind.
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
    /// Starts the thread that writes.
    ///
    /// # Errors
    /// Gives what starting it gave.
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
            let told = writeln!(
                out,
                "{{\"level\":\"WARN\",\"msg\":\"log lines dropped\",\"ordinary\":{ordinary},\"warnings\":{warnings}}}"
            );
            if told.is_err() {
                return;
            }
        }
        // Nobody reads any more, so nobody can be told.
        if out.write_all(&line).is_err() {
            return;
        }
    }
}
