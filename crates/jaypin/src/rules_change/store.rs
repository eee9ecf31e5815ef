//! The rules object on the platform.

use std::thread;
use std::time::Duration;

use jaypin_wire::{ChangeStatus, RulesChange, RulesObject};

use super::confirmed_put::{ConfirmedPut, Deadline, put_confirmed};
use super::parts::{read_parts, store_parts};
use crate::platform::{PlatformClient, RULES};

/// Maximum time for which a read that returns an outdated version is repeated.
const STALE_READ_TIMEOUT: Duration = Duration::from_secs(3);
/// Pause before such a read is repeated.
const STALE_READ_PAUSE: Duration = Duration::from_millis(200);
/// Maximum size of a rule file, in bytes; a file with 17,000 accounts has 3 MB.
const MAX_TEXT_BYTES: usize = 8 << 20;

/// A new version of the rules that is to be written.
#[derive(Debug, Clone)]
pub struct NewRules {
    /// Text of the rule file.
    pub text: String,
    /// Version on which the text is based.
    pub edited_from: u64,
    /// Record of the change: who applies it and who requested it.
    pub change: RulesChange,
}

/// The outcome of writing new rules.
#[derive(Debug)]
pub enum Applied {
    /// The rules were accepted as this version.
    Accepted(u64),
    /// The rules were accepted, and another change has replaced them since; its version.
    Superseded(u64),
    /// Another change was accepted first, and nothing was written; its version and rules.
    LostRace(u64, Box<RulesObject>),
}

/// Reads and writes the rules object.
#[derive(Debug)]
pub struct RulesStore<'a> {
    client: &'a PlatformClient,
}

impl<'a> RulesStore<'a> {
    /// Creates a store that uses a client of the platform.
    pub fn new(client: &'a PlatformClient) -> Self {
        Self { client }
    }

    /// Reads the rules and their version. Before the first rules are written, the version is 0 and
    /// the text is empty.
    pub fn read(&self) -> Result<(u64, RulesObject), String> {
        let found = self.client.get::<RulesObject>(RULES)?;
        let (version, mut object) = found.unwrap_or_default();
        read_parts(self.client, &mut object)?;
        Ok((version, object))
    }

    /// Reads the rules at the given version or a newer one.
    ///
    /// The platform may read from an outdated replica for a while. Without this check, the
    /// change would be compared with rules that are no longer in force.
    pub fn read_at_least(&self, version: u64) -> Result<(u64, RulesObject), String> {
        let deadline = Deadline::after(STALE_READ_TIMEOUT);
        loop {
            let (found, object) = self.read()?;
            if found >= version {
                return Ok((found, object));
            }
            if deadline.has_passed() {
                return Err(format!(
                    "expected version {version} of the rules, but the platform has version {found}"
                ));
            }
            thread::sleep(STALE_READ_PAUSE);
        }
    }

    /// Checks that the text of a rule file isn't larger than hosts have to store.
    pub fn check_size(text: &str) -> Result<(), String> {
        if text.len() > MAX_TEXT_BYTES {
            return Err(format!(
                "the file has {} bytes, expected at most {MAX_TEXT_BYTES}",
                text.len()
            ));
        }
        Ok(())
    }

    /// Writes the rules if the version on which they are based is still in force.
    pub fn write(
        &self,
        before: &RulesObject,
        new: &NewRules,
        deadline: Deadline,
    ) -> Result<Applied, String> {
        let mut object = before.with_change(new.text.clone(), new.change.clone());
        store_parts(self.client, &mut object, deadline)?;
        let id = &new.change.apply_id;
        let is_own_write = |found: &RulesObject| found.change_status(id) != ChangeStatus::Missing;
        let expected = new.edited_from;
        let outcome = put_confirmed(
            self.client,
            RULES,
            expected,
            &object,
            deadline,
            is_own_write,
        )?;
        Ok(match outcome {
            ConfirmedPut::Written(version) => self.accepted_or_superseded(id, version),
            ConfirmedPut::Conflict(version, mut found) => {
                read_parts(self.client, &mut found)?;
                Applied::LostRace(version, Box::new(found))
            }
        })
    }

    /// Reads the rules again to find out whether an accepted change was replaced meanwhile.
    fn accepted_or_superseded(&self, apply_id: &str, version: u64) -> Applied {
        match self.client.get::<RulesObject>(RULES) {
            Ok(Some((newer, found)))
                if found.change_status(apply_id) == ChangeStatus::Superseded =>
            {
                Applied::Superseded(newer)
            }
            _ => Applied::Accepted(version),
        }
    }
}
