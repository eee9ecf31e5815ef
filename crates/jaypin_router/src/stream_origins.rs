//! At which versions streams began, as hosts remember it for each other.
//!
//! The host at which a stream began has often died when the stream's caller resumes it elsewhere.
//! This is soft state: it is sent once, expires, and is not restored when all hosts that have it
//! end.

use std::collections::hash_map::Entry;
use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use crate::{AccountKey, AttemptKey, RequestNumber, ServiceKey, VersionKey, VersionsSeen};

/// Maximum number of streams that a host remembers.
const MAX_STREAMS: usize = 16_384;
/// Longest time for which a host remembers a stream, whatever its caller's timeout.
const MAX_LIFETIME: Duration = Duration::from_mins(2);

/// Identifies a stream over all attempts of its caller. It contains the account, so that no account
/// can look up or change the streams of another one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct StreamKey {
    /// The client account.
    pub account: AccountKey,
    /// The attempt that began the stream.
    pub attempt: AttemptKey,
}

/// The version at which a stream began.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StreamOrigin {
    /// The stream.
    pub stream: StreamKey,
    /// The version.
    pub version: VersionKey,
    /// Time for which the stream may be resumed.
    pub lifetime: Duration,
}

/// A question for the version of a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StreamQuery {
    /// Number of the request that resumes the stream, at the host that asks.
    pub number: RequestNumber,
    /// The stream.
    pub stream: StreamKey,
    /// The service that runs it.
    pub service: ServiceKey,
    /// Time within which it began.
    pub window: Duration,
}

/// The answer to a [`StreamQuery`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StreamAnswer {
    /// Number of the request, from the query.
    pub number: RequestNumber,
    /// The stream, from the query. A host that restarts uses the same numbers again.
    pub stream: StreamKey,
    /// The version at which it began, if the host remembers it.
    pub version: Option<VersionKey>,
    /// Versions of the service within the queried time.
    pub seen: VersionsSeen,
}

/// A message between hosts about the versions of streams.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StreamMessage {
    /// A stream began.
    Began(StreamOrigin),
    /// A caller resumes a stream.
    Query(StreamQuery),
    /// Answers a query.
    Answer(StreamAnswer),
}

/// What a host remembers of a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KnownOrigin {
    /// It began at this version.
    At(VersionKey),
    /// Different versions were reported for it.
    Contradictory,
}

/// The streams that a host remembers.
#[derive(Debug, Default)]
pub struct StreamOrigins {
    by_stream: HashMap<StreamKey, Remembered>,
    /// Streams of each account, in the order in which they are to be forgotten.
    by_account: HashMap<AccountKey, VecDeque<(Instant, StreamKey)>>,
    dropped: u64,
}

#[derive(Debug)]
struct Remembered {
    origin: KnownOrigin,
    until: Instant,
}

impl StreamOrigins {
    /// Remembers the version of a stream.
    pub fn insert(&mut self, origin: StreamOrigin, now: Instant) {
        let until = now + origin.lifetime.min(MAX_LIFETIME);
        let at = KnownOrigin::At(origin.version);
        let is_full = self.by_stream.len() >= MAX_STREAMS;
        match self.by_stream.entry(origin.stream) {
            Entry::Occupied(known) => {
                let known = known.into_mut();
                known.until = known.until.max(until);
                if known.origin != at {
                    known.origin = KnownOrigin::Contradictory;
                }
                return;
            }
            Entry::Vacant(vacant) => vacant.insert(Remembered { origin: at, until }),
        };
        let of_account = self.by_account.entry(origin.stream.account).or_default();
        of_account.push_back((until, origin.stream));
        if is_full {
            self.drop_one();
        }
    }

    /// Returns what is known of a stream.
    #[must_use]
    pub fn get(&self, stream: &StreamKey, now: Instant) -> Option<KnownOrigin> {
        let known = self.by_stream.get(stream)?;
        (now < known.until).then_some(known.origin)
    }

    /// Forgets streams that can't be resumed any more.
    pub fn expire(&mut self, now: Instant) {
        let by_stream = &mut self.by_stream;
        self.by_account.retain(|_, streams| {
            while let Some((until, stream)) = streams.pop_front_if(|it| it.0 <= now) {
                match by_stream.get(&stream).map(|it| it.until) {
                    // It was resumed in the meantime.
                    Some(later) if later > until => streams.push_back((later, stream)),
                    _ => {
                        by_stream.remove(&stream);
                    }
                }
            }
            !streams.is_empty()
        });
    }

    /// Drops the oldest stream of the account that has the most, so that no account displaces the
    /// streams of others.
    fn drop_one(&mut self) {
        let largest = self.by_account.values_mut().max_by_key(|it| it.len());
        if let Some((_, stream)) = largest.and_then(VecDeque::pop_front) {
            self.by_stream.remove(&stream);
            self.dropped += 1;
        }
    }

    /// Returns the number of remembered streams.
    #[must_use]
    pub fn len(&self) -> usize {
        self.by_stream.len()
    }

    /// Returns whether no stream is remembered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.by_stream.is_empty()
    }

    /// Returns the number of streams that were dropped for lack of room.
    #[must_use]
    pub fn dropped(&self) -> u64 {
        self.dropped
    }
}
