//! Wire format of the use of accounts.

use jaypin_core::AccountId;
use jaypin_router::AccountUse;

use super::{WireError, encode};

/// Account and units.
type WireUnits = (String, f64);
/// Granted units, low levels, whether they are forwarded.
pub type WireAccountUse = (Vec<WireUnits>, Vec<WireUnits>, bool);

/// Encodes the use of accounts.
///
/// # Errors
/// Fails if the CBOR library does.
pub fn encode_account_use(account_use: &AccountUse) -> Result<Vec<u8>, WireError> {
    let wire = |units: &[(AccountId, f64)]| -> Vec<WireUnits> {
        let units = units.iter();
        units
            .map(|(account, it)| (account.to_string(), *it))
            .collect()
    };
    let wire: WireAccountUse = (
        wire(&account_use.granted),
        wire(&account_use.low_levels),
        account_use.is_forwarded,
    );
    encode(&wire)
}

/// Reads the use of accounts.
///
/// # Errors
/// Fails if a number in it is not finite.
pub fn read_account_use(wire: WireAccountUse) -> Result<AccountUse, WireError> {
    let (granted, low_levels, is_forwarded) = wire;
    let mut units = granted.iter().chain(&low_levels);
    if !units.all(|(_, units)| units.is_finite()) {
        return Err(WireError::Number);
    }
    let read = |units: Vec<WireUnits>| {
        let units = units.into_iter();
        units
            .map(|(account, it)| (AccountId::from(account), it))
            .collect()
    };
    Ok(AccountUse {
        granted: read(granted),
        low_levels: read(low_levels),
        is_forwarded,
    })
}
