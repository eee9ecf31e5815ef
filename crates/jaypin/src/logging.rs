//! Structured logs: one line for each event, with `key=value` pairs after the message.

use std::io::Write;

/// Starts logging to standard error; `RUST_LOG` sets the filter, `info` by default.
pub fn start() {
    let env = env_logger::Env::default().default_filter_or("info");
    env_logger::Builder::from_env(env)
        .format(|buf, record| {
            let time = buf.timestamp_millis();
            write!(
                buf,
                "time={time} level={} target={}",
                record.level(),
                record.target()
            )?;
            write!(buf, " msg={:?}", record.args().to_string())?;
            let mut pairs = Pairs(buf);
            let _ = record.key_values().visit(&mut pairs);
            writeln!(buf)
        })
        .init();
}

/// Writes the key-value pairs of a record to its log line.
struct Pairs<'a>(&'a mut env_logger::fmt::Formatter);

impl<'kvs> log::kv::VisitSource<'kvs> for Pairs<'_> {
    fn visit_pair(
        &mut self,
        key: log::kv::Key<'kvs>,
        value: log::kv::Value<'kvs>,
    ) -> Result<(), log::kv::Error> {
        write!(self.0, " {key}={:?}", value.to_string()).map_err(log::kv::Error::from)
    }
}
