//! How long a caller's connection may be without a request.

use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use hyper::rt::{Sleep, Timer};
use jaypin_router::CallerLimits;
use tokio::sync::watch;
use tokio::time::{Instant, sleep_until};

/// Shortest timeout of a connection without a request, whatever the configuration states.
///
/// The same timer bounds a request header that never ends and the idle time between two
/// requests, and callers reuse connections for most of the configured idle time.
pub const MIN_IDLE_TIME: Duration = Duration::from_secs(20);
/// Longest timeout of such a connection, so that no configured time overflows.
const MAX_IDLE_TIME: Duration = Duration::from_hours(24);
/// Factor on the configured idle time, so that no request is sent while this host closes the
/// connection.
const IDLE_FACTOR: f64 = 1.3;

/// The idle time by the configuration in use, shared by all connections of a host.
#[derive(Debug)]
pub struct IdleTime(watch::Sender<Duration>);

impl Default for IdleTime {
    fn default() -> Self {
        Self(watch::Sender::new(MIN_IDLE_TIME))
    }
}

impl IdleTime {
    /// Sets the idle time of all connections, also of those that are open.
    pub fn set(&self, limits: &CallerLimits) {
        let time = limits.idle_time.min(MAX_IDLE_TIME).mul_f64(IDLE_FACTOR);
        self.0.send_replace(time.max(MIN_IDLE_TIME));
    }

    /// Returns the timer of a connection.
    pub fn timer(&self) -> IdleTimer {
        IdleTimer(self.0.subscribe())
    }
}

/// Timer of the HTTP library, whose sleeps last for at least the idle time by the configuration in
/// use at their end.
///
/// Guards against a connection that closes while its caller, which knows a longer idle time, still
/// uses it.
#[derive(Debug)]
pub struct IdleTimer(watch::Receiver<Duration>);

impl Timer for IdleTimer {
    fn sleep(&self, duration: Duration) -> Pin<Box<dyn Sleep>> {
        self.sleep_until(self.now() + duration)
    }

    fn sleep_until(&self, deadline: std::time::Instant) -> Pin<Box<dyn Sleep>> {
        Box::pin(IdleSleep {
            since: Instant::now(),
            idle_time: self.0.clone(),
            sleep: Box::pin(sleep_until(deadline.into())),
        })
    }
}

#[derive(Debug)]
struct IdleSleep {
    since: Instant,
    idle_time: watch::Receiver<Duration>,
    sleep: Pin<Box<tokio::time::Sleep>>,
}

impl Sleep for IdleSleep {}

impl Future for IdleSleep {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<()> {
        loop {
            ready!(self.sleep.as_mut().poll(cx));
            let end = self.since + *self.idle_time.borrow();
            if end <= self.sleep.deadline() {
                return Poll::Ready(());
            }
            self.sleep.as_mut().reset(end);
        }
    }
}
