//! Formatting of a log record as one line of JSON.

use std::io::{self, Write};

use env_logger::fmt::Formatter;
use log::Record;
use log::kv::{Key, Value, VisitSource};
use serde_json::Map;

/// Suffix of the names of fields that hold a time. In these a 0 means that there is no time.
const DURATION_SUFFIX: &str = "_ms";
/// Suffix of the names of fields that hold a number of tokens. A 0 says nothing in these.
const TOKENS_SUFFIX: &str = "_tokens";

/// Writes `time`, `level`, `msg`, and the record's key-value pairs.
pub fn write(buf: &mut Formatter, record: &Record<'_>) -> io::Result<()> {
    let mut fields = JsonFields(Map::new());
    let time = buf.timestamp_millis().to_string();
    fields.0.insert("time".to_owned(), time.into());
    let level = record.level().as_str();
    fields.0.insert("level".to_owned(), level.into());
    let msg = record.args().to_string();
    fields.0.insert("msg".to_owned(), msg.into());
    // A field that can't be read is omitted, so that the line is still written.
    let _ = record.key_values().visit(&mut fields);
    serde_json::to_writer(&mut *buf, &fields.0)?;
    writeln!(buf)
}

struct JsonFields(Map<String, serde_json::Value>);

impl<'kvs> VisitSource<'kvs> for JsonFields {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), log::kv::Error> {
        let value = match value.to_u64() {
            Some(number) => number.into(),
            None => value.to_string().into(),
        };
        if !is_empty(key.as_str(), &value) {
            self.0.insert(key.as_str().to_owned(), value);
        }
        Ok(())
    }
}

/// Returns whether a field has no value and is omitted. A refusal has neither a backend server
/// nor times of events; without these fields a log has a tenth fewer bytes when most requests are
/// refused.
fn is_empty(name: &str, value: &serde_json::Value) -> bool {
    let is_empty_at_0 = name.ends_with(DURATION_SUFFIX) || name.ends_with(TOKENS_SUFFIX);
    value.as_str().is_some_and(str::is_empty) || is_empty_at_0 && value.as_u64() == Some(0)
}
