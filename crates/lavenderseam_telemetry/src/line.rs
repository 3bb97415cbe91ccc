//! Log lines as JSON objects.

use std::fmt::Write;
use std::time::SystemTime;

use serde_json::{Map, Value, json};
use spdlog::formatter::{Formatter, FormatterContext};
use spdlog::{Record, StringBuf};

/// Separates a line's fixed prefix from its message.
const SEPARATOR: &str = ": ";

/// One JSON object a line: `time` (ms since 1970), `level`, `part`, `message` and further fields
/// such as `trace`.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Json;

impl Formatter for Json {
    fn format(
        &self,
        record: &Record<'_>,
        line: &mut StringBuf,
        _context: &mut FormatterContext<'_>,
    ) -> spdlog::Result<()> {
        let object = Value::Object(object(record));
        writeln!(line, "{object}").map_err(spdlog::Error::FormatRecord)
    }
}

fn object(record: &Record<'_>) -> Map<String, Value> {
    let payload = record.payload();
    let (part, message) = payload.split_once(SEPARATOR).unwrap_or(("", payload));
    let mut object = Map::new();
    object.insert("time".to_owned(), json!(milliseconds(record.time())));
    object.insert("level".to_owned(), json!(record.level().as_str()));
    object.insert("part".to_owned(), json!(part));
    object.insert("message".to_owned(), json!(message));
    for (key, value) in record.key_values() {
        let value = value
            .to_u64()
            .map_or_else(|| json!(value.to_string()), |n| json!(n));
        object.insert(key.as_str().to_owned(), value);
    }
    object
}

fn milliseconds(time: SystemTime) -> u64 {
    let since = time
        .duration_since(SystemTime::UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}
