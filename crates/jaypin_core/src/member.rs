//! Membership status of one host, and the table of all hosts.

use std::collections::BTreeMap;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{HostId, Incarnation};

/// Number of buckets of the membership table. Peers compare tables by bucket hashes and
/// exchange all entries of the buckets that differ.
pub const BUCKET_COUNT: usize = 16;

/// Status of a host. Of two entries with the same incarnation and revision, the one with
/// the later variant here is newer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum MemberStatus {
    /// It accepts new work.
    Alive,
    /// It is shutting down: it finishes its requests and accepts no new work.
    Leaving,
    /// A peer receives nothing from it.
    Suspect,
    /// Its process has exited, or it stayed suspect until the timeout.
    Dead,
}

impl MemberStatus {
    /// Returns the name of the status.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Alive => "alive",
            Self::Leaving => "leaving",
            Self::Suspect => "suspect",
            Self::Dead => "dead",
        }
    }
}

/// Entry of one host in the membership table. The greater of two entries is the newer
/// one on every host, so tables converge in whatever order entries arrive.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Member {
    /// Incarnation of its process.
    pub incarnation: Incarnation,
    /// Number that the host itself raises to refute that it is suspect or dead.
    pub revision: u32,
    /// Status of the host.
    pub status: MemberStatus,
}

impl Member {
    /// Creates the entry of a process that just started.
    #[must_use]
    pub fn alive(incarnation: Incarnation) -> Self {
        Self {
            incarnation,
            revision: 0,
            status: MemberStatus::Alive,
        }
    }

    /// Returns the entry with another status.
    #[must_use]
    pub fn with_status(self, status: MemberStatus) -> Self {
        Self { status, ..self }
    }

    /// Returns whether the host is suspect or dead.
    #[must_use]
    pub fn is_suspected(&self) -> bool {
        self.status >= MemberStatus::Suspect
    }

    fn hash(&self, host: &str) -> u64 {
        let run = xxh3_64_with_seed(host.as_bytes(), self.incarnation);
        let state = (u64::from(self.revision) << 8) | self.status as u64;
        xxh3_64_with_seed(host.as_bytes(), run ^ state)
    }
}

/// Entries of all hosts that this host received an entry for, or created one for.
#[derive(Debug, Clone, Default)]
pub struct MemberTable {
    entries: BTreeMap<HostId, Member>,
    bucket_hashes: [u64; BUCKET_COUNT],
}

impl MemberTable {
    /// Applies an entry if it is newer than the one in the table. Returns whether the
    /// table changed.
    pub fn apply(&mut self, host: &HostId, member: Member) -> bool {
        let known = self.entries.get(host);
        if known.is_some_and(|known| *known >= member) {
            return false;
        }
        let bucket = bucket_index(host);
        self.bucket_hashes[bucket] ^= member.hash(host);
        if let Some(old) = self.entries.insert(host.clone(), member) {
            self.bucket_hashes[bucket] ^= old.hash(host);
        }
        true
    }

    /// Returns the entry of a host; none when the host is unknown.
    #[must_use]
    pub fn get(&self, host: &str) -> Option<Member> {
        self.entries.get(host).copied()
    }

    /// Iterates over all entries, ordered by host id.
    pub fn iter(&self) -> impl Iterator<Item = (&HostId, &Member)> {
        self.entries.iter()
    }

    /// Removes the entries for which `keep` returns false.
    pub fn retain(&mut self, keep: impl Fn(&HostId, &Member) -> bool) {
        let hashes = &mut self.bucket_hashes;
        self.entries.retain(|host, member| {
            let kept = keep(host, member);
            if !kept {
                hashes[bucket_index(host)] ^= member.hash(host);
            }
            kept
        });
    }

    /// Returns one hash per bucket; equal tables have equal hashes.
    #[must_use]
    pub fn bucket_hashes(&self) -> [u64; BUCKET_COUNT] {
        self.bucket_hashes
    }

    /// Returns the hash of all entries; equal tables have equal hashes.
    #[must_use]
    pub fn hash(&self) -> u64 {
        self.bucket_hashes
            .iter()
            .fold(0, |all, bucket| all ^ bucket)
    }

    /// Returns the entries of the given buckets.
    #[must_use]
    pub fn in_buckets(&self, buckets: &[u8]) -> Vec<(HostId, Member)> {
        self.entries
            .iter()
            .filter(|(host, _)| buckets.contains(&bucket_number(host)))
            .map(|(host, member)| (host.clone(), *member))
            .collect()
    }
}

/// Returns the number of the bucket that holds a host's entry.
#[must_use]
pub fn bucket_number(host: &str) -> u8 {
    u8::try_from(bucket_index(host)).unwrap_or_default()
}

fn bucket_index(host: &str) -> usize {
    let hash = xxh3_64_with_seed(host.as_bytes(), 0);
    usize::try_from(hash % BUCKET_COUNT as u64).unwrap_or_default()
}
