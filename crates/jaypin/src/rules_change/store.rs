//! The rules object on the platform.

use std::thread;
use std::time::Duration;

use jaypin_wire::{ChangeStatus, RulesChange, RulesObject};

use super::parts::{read_parts, store_parts};
use super::settle::{Deadline, Settled, put_settled};
use crate::platform::{PlatformClient, RULES};

/// How long an old copy of the rules is waited out.
const STALE_PATIENCE: Duration = Duration::from_secs(3);
/// Pause between two reads of an old copy.
const STALE_PAUSE: Duration = Duration::from_millis(200);
/// Largest rule file, in bytes; one of 17,000 accounts has 3 MB.
const MAX_TEXT: usize = 8 << 20;

/// Rules that are to be put in force.
#[derive(Debug, Clone)]
pub struct NewRules {
    /// The rule file.
    pub text: String,
    /// The version it was edited from.
    pub edited_from: u64,
    /// Who applies it, for whom.
    pub change: RulesChange,
}

/// What became of an apply.
#[derive(Debug)]
pub enum Applied {
    /// It is accepted, as this version.
    Accepted(u64),
    /// It was accepted, and another change has followed since.
    Superseded(u64),
    /// Another change came first; nothing was written.
    LostRace(u64, Box<RulesObject>),
}

/// Reads and writes the rules object.
#[derive(Debug)]
pub struct RulesStore<'a> {
    client: &'a PlatformClient,
}

impl<'a> RulesStore<'a> {
    /// Stands on a client of the platform.
    pub fn new(client: &'a PlatformClient) -> Self {
        Self { client }
    }

    /// Reads the rules with their version; version 0 and an empty file before the first.
    pub fn read(&self) -> Result<(u64, RulesObject), String> {
        let found = self.client.get::<RulesObject>(RULES)?;
        let (version, mut object) = found.unwrap_or_default();
        read_parts(self.client, &mut object)?;
        Ok((version, object))
    }

    /// Reads the rules from a copy that is not older than a version.
    ///
    /// Guards against a platform that answers from an old copy for a while: the change
    /// would be compared with rules that are in force no more.
    pub fn read_since(&self, version: u64) -> Result<(u64, RulesObject), String> {
        let patience = Deadline::after(STALE_PATIENCE);
        loop {
            let (found, object) = self.read()?;
            if found >= version {
                return Ok((found, object));
            }
            if patience.is_over() {
                return Err(format!(
                    "the platform shows version {found}, version {version} is not there"
                ));
            }
            thread::sleep(STALE_PAUSE);
        }
    }

    /// Says whether a file is one that hosts can be asked to hold.
    pub fn check_size(text: &str) -> Result<(), String> {
        if text.len() > MAX_TEXT {
            return Err(format!(
                "the file has {} bytes, expected at most {MAX_TEXT}",
                text.len()
            ));
        }
        Ok(())
    }

    /// Writes the rules if the version they were edited from is still in force.
    pub fn write(
        &self,
        before: &RulesObject,
        new: &NewRules,
        deadline: Deadline,
    ) -> Result<Applied, String> {
        let mut object = before.with_change(new.text.clone(), new.change.clone());
        store_parts(self.client, &mut object, deadline)?;
        let id = &new.change.apply_id;
        let is_ours = |found: &RulesObject| found.change_status(id) != ChangeStatus::Missing;
        let expected = new.edited_from;
        let settled = put_settled(self.client, RULES, expected, &object, deadline, is_ours)?;
        Ok(match settled {
            Settled::Written(version) => self.in_force(id, version),
            Settled::Conflict(version, mut found) => {
                read_parts(self.client, &mut found)?;
                Applied::LostRace(version, Box::new(found))
            }
        })
    }

    /// Tells an accepted change that was replaced meanwhile from the newest one.
    fn in_force(&self, apply_id: &str, version: u64) -> Applied {
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
