//! Entries of backend servers as bytes.

use jaypin_core::{BackendId, FailureDomain, ServiceId};
use jaypin_router::{BackendRecord, BackendStatus, EntryChange, SoftwareVersion, StorePoint};

use super::{WireError, decode, encode};

/// Start, service, address, failure domain, slots, whether it is ready, version.
type WireRecord = (u64, String, String, String, u32, bool, String);

/// Era and revision.
pub type WirePoint = (u64, u64);
/// A change of an entry: its id, point, and statement if it is not gone.
pub type WireChange = (String, WirePoint, Option<WireRecord>);

/// Writes entries of backend servers.
///
/// # Errors
/// Gives what the library gives.
pub fn encode_entries(entries: &[EntryChange]) -> Result<Vec<u8>, WireError> {
    let wire: Vec<WireChange> = entries.iter().map(wire_change).collect();
    encode(&wire)
}

/// Reads entries of backend servers.
///
/// # Errors
/// Says why the bytes are none.
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

pub fn read_change((id, point, statement): WireChange) -> EntryChange {
    let point = read_point(point);
    let Some((started, service, address, failure_domain, slots, is_ready, version)) = statement
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
