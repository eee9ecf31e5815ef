//! One host as the fleet sees it, and the table of all of them.

use std::collections::BTreeMap;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{HostId, Incarnation};

/// Buckets that the table is compared by; differing ones are exchanged whole.
pub const BUCKET_COUNT: usize = 16;

/// What is believed of a host; a later one outweighs an earlier one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum MemberStatus {
    /// It takes work.
    Alive,
    /// It finishes what it has.
    Leaving,
    /// A peer hears nothing from it.
    Suspect,
    /// Its process is gone.
    Dead,
}

impl MemberStatus {
    /// The status in one word.
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

/// The entry of one host. The greater of two entries is the newer one, on every host,
/// so that tables converge in whatever order entries arrive.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Member {
    /// Run of its process.
    pub incarnation: Incarnation,
    /// Raised by the host itself when it learns that it was taken for gone.
    pub revision: u32,
    /// What is believed of it.
    pub status: MemberStatus,
}

impl Member {
    /// The entry of a process that just started.
    #[must_use]
    pub fn alive(incarnation: Incarnation) -> Self {
        Self {
            incarnation,
            revision: 0,
            status: MemberStatus::Alive,
        }
    }

    /// The same run with another status.
    #[must_use]
    pub fn with_status(self, status: MemberStatus) -> Self {
        Self { status, ..self }
    }

    /// Whether a peer believes it to be gone.
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

/// What is believed of every host that was heard of.
#[derive(Debug, Clone, Default)]
pub struct MemberTable {
    entries: BTreeMap<HostId, Member>,
    bucket_hashes: [u64; BUCKET_COUNT],
}

impl MemberTable {
    /// Takes an entry; says whether it is new or newer.
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

    /// The entry of a host.
    #[must_use]
    pub fn get(&self, host: &str) -> Option<Member> {
        self.entries.get(host).copied()
    }

    /// All entries.
    pub fn iter(&self) -> impl Iterator<Item = (&HostId, &Member)> {
        self.entries.iter()
    }

    /// Drops entries that are of no use any more.
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

    /// Hashes of the buckets; equal tables have equal ones.
    #[must_use]
    pub fn bucket_hashes(&self) -> [u64; BUCKET_COUNT] {
        self.bucket_hashes
    }

    /// Hash of the whole table.
    #[must_use]
    pub fn hash(&self) -> u64 {
        self.bucket_hashes
            .iter()
            .fold(0, |all, bucket| all ^ bucket)
    }

    /// Entries of some buckets.
    #[must_use]
    pub fn in_buckets(&self, buckets: &[u8]) -> Vec<(HostId, Member)> {
        self.entries
            .iter()
            .filter(|(host, _)| buckets.contains(&bucket_number(host)))
            .map(|(host, member)| (host.clone(), *member))
            .collect()
    }
}

/// Bucket of a host in the table.
#[must_use]
pub fn bucket_number(host: &str) -> u8 {
    u8::try_from(bucket_index(host)).unwrap_or_default()
}

fn bucket_index(host: &str) -> usize {
    let hash = xxh3_64_with_seed(host.as_bytes(), 0);
    usize::try_from(hash % BUCKET_COUNT as u64).unwrap_or_default()
}
