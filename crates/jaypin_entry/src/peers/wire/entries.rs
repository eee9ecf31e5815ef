//! Wire format of backend server entries.

use jaypin_core::{BackendId, FailureDomain, ServiceId};
use jaypin_router::{BackendRecord, BackendStatus, EntryChange, SoftwareVersion, StorePoint};

use super::{WireError, decode, encode};

/// Start time, service, address, failure domain, slots, whether it is ready, version.
type WireRecord = (u64, String, String, String, u32, bool, String);

/// Era and revision.
pub type WirePoint = (u64, u64);
/// Change of an entry: id, point, and the record unless the entry was removed.
pub type WireChange = (String, WirePoint, Option<WireRecord>);

/// Changes of entries as one host sends them to another.
#[derive(Debug, Clone, PartialEq)]
pub struct EntryChanges {
    /// Point up to which they are complete.
    pub point: StorePoint,
    /// Whether they are all entries, instead of those that changed.
    pub is_whole: bool,
    /// The changes.
    pub changes: Vec<EntryChange>,
}

/// Encodes changes of entries.
///
/// # Errors
/// Fails if the CBOR library does.
pub fn encode_entry_changes(updates: &EntryChanges) -> Result<Vec<u8>, WireError> {
    let changes: Vec<WireChange> = updates.changes.iter().map(wire_change).collect();
    encode(&(wire_point(updates.point), updates.is_whole, changes))
}

/// Decodes changes of entries.
///
/// # Errors
/// Fails if the bytes are not changes of entries.
pub fn decode_entry_changes(bytes: &[u8]) -> Result<EntryChanges, WireError> {
    let (point, is_whole, changes): (WirePoint, bool, Vec<WireChange>) = decode(bytes)?;
    Ok(EntryChanges {
        point: read_point(point),
        is_whole,
        changes: changes.into_iter().map(read_change).collect(),
    })
}

/// Encodes entries of backend servers.
///
/// # Errors
/// Fails if the CBOR library does.
pub fn encode_entries(entries: &[EntryChange]) -> Result<Vec<u8>, WireError> {
    let wire: Vec<WireChange> = entries.iter().map(wire_change).collect();
    encode(&wire)
}

/// Decodes entries of backend servers.
///
/// # Errors
/// Fails if the bytes are not a list of entries.
pub fn decode_entries(bytes: &[u8]) -> Result<Vec<EntryChange>, WireError> {
    let wire: Vec<WireChange> = decode(bytes)?;
    Ok(wire.into_iter().map(read_change).collect())
}

pub fn wire_point(point: StorePoint) -> WirePoint {
    (point.era, point.revision)
}

pub fn read_point((era, revision): WirePoint) -> StorePoint {
    StorePoint { era, revision }
}

pub fn wire_change(change: &EntryChange) -> WireChange {
    match change {
        EntryChange::Removed { id, point } => (id.to_string(), wire_point(*point), None),
        EntryChange::Stated { record, point } => {
            let stated = (
                record.started,
                record.service.to_string(),
                record.address.clone(),
                record.failure_domain.to_string(),
                record.slots,
                record.status == BackendStatus::Ready,
                record.version.to_string(),
            );
            (record.id.to_string(), wire_point(*point), Some(stated))
        }
    }
}

pub fn read_change((id, point, record_fields): WireChange) -> EntryChange {
    let point = read_point(point);
    let Some((started, service, address, failure_domain, slots, is_ready, version)) = record_fields
    else {
        let id = BackendId::from(id);
        return EntryChange::Removed { id, point };
    };
    let status = if is_ready {
        BackendStatus::Ready
    } else {
        BackendStatus::Leaving
    };
    let record = BackendRecord {
        id: BackendId::from(id),
        started,
        service: ServiceId::from(service),
        address,
        failure_domain: FailureDomain::from(failure_domain),
        slots,
        status,
        version: SoftwareVersion::from(version),
    };
    EntryChange::Stated { record, point }
}
