//! Formatter that writes log lines as JSON objects.

use std::fmt::Write;
use std::time::SystemTime;

use serde_json::{Map, Value, json};
use spdlog::formatter::{Formatter, FormatterContext};
use spdlog::{Record, StringBuf};

/// Separates the name of the component from the message in the payload of a log record.
const COMPONENT_SEPARATOR: &str = ": ";

/// Writes one JSON object per line with the fields `time` (milliseconds since the Unix epoch),
/// `level`, `part` (the component), `message`, and the key-value pairs of the record such as
/// `trace`.
#[derive(Clone, Copy, Debug)]
pub(crate) struct JsonFormatter;

impl Formatter for JsonFormatter {
    fn format(
        &self,
        record: &Record<'_>,
        line: &mut StringBuf,
        _context: &mut FormatterContext<'_>,
    ) -> spdlog::Result<()> {
        let object = Value::Object(to_json_object(record));
        writeln!(line, "{object}").map_err(spdlog::Error::FormatRecord)
    }
}

/// Returns the JSON object for a log record; numeric values stay numbers.
fn to_json_object(record: &Record<'_>) -> Map<String, Value> {
    let payload = record.payload();
    let (component, message) = payload
        .split_once(COMPONENT_SEPARATOR)
        .unwrap_or(("", payload));
    let mut object = Map::new();
    object.insert("time".to_owned(), json!(unix_milliseconds(record.time())));
    object.insert("level".to_owned(), json!(record.level().as_str()));
    object.insert("part".to_owned(), json!(component));
    object.insert("message".to_owned(), json!(message));
    for (key, value) in record.key_values() {
        let value = value
            .to_u64()
            .map_or_else(|| json!(value.to_string()), |n| json!(n));
        object.insert(key.as_str().to_owned(), value);
    }
    object
}

/// Returns the milliseconds since the Unix epoch.
fn unix_milliseconds(time: SystemTime) -> u64 {
    let since_epoch = time
        .duration_since(SystemTime::UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX)
}
