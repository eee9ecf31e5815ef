//! A bounded queue between those who log and the one thread that writes.

use std::io::{self, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use crossbeam::channel::{Receiver, Sender, TrySendError, bounded};

/// Lines that may wait to be written: some seconds of the heaviest load.
const MOST_LINES: usize = 512;

/// Takes lines without waiting.
///
/// Guards against a reader of standard output that stalls: writes to a full pipe block, and
/// every request would wait for it. Lines beyond the queue are dropped and counted, and one
/// line tells how many once there is room.
#[derive(Debug)]
pub struct LogQueue {
    lines: Sender<Vec<u8>>,
    dropped: Arc<AtomicU64>,
}

impl LogQueue {
    /// Starts the thread that writes.
    ///
    /// # Errors
    /// Gives what starting it gave.
    pub fn start(out: impl Write + Send + 'static) -> io::Result<Self> {
        let (lines, queue) = bounded(MOST_LINES);
        let dropped = Arc::new(AtomicU64::new(0));
        let counted = dropped.clone();
        std::thread::Builder::new()
            .name("logs".to_owned())
            .spawn(move || write_lines(&queue, &counted, out))?;
        Ok(Self { lines, dropped })
    }
}

impl Write for LogQueue {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        if let Err(TrySendError::Full(_)) = self.lines.try_send(buf.to_vec()) {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn write_lines(queue: &Receiver<Vec<u8>>, dropped: &AtomicU64, mut out: impl Write) {
    for line in queue {
        let lost = dropped.swap(0, Ordering::Relaxed);
        if lost > 0 {
            let told = writeln!(
                out,
                "{{\"level\":\"WARN\",\"msg\":\"log lines dropped\",\"count\":{lost}}}"
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
