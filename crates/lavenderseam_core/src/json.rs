//! JSON that other writers may have left in the store.
//!
//! The decoder of a whole answer fails at the first part that it can't read: one that is nested too
//! deeply, a number that is too large, or bytes that are no text. One such entry would hide all others
//! in the answer. So an answer that can't be decoded as a whole is split at its brackets, commas and
//! colons, and each entry is decoded on its own.

use serde::Deserialize;
use serde_json::{Map, Value};

/// Depth to which an unreadable entry is split: from a change of an object to a field of an element in
/// its content.
const ENTRY_DEPTH: u32 = 5;

/// Entry of a list in an answer.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// The entry; parts that can't be decoded are null.
    pub value: Value,
    /// Why a part can't be decoded; `None` if all can.
    pub damage: Option<String>,
}

/// An answer: the entries of its list, and its other members.
#[derive(Clone, Debug, PartialEq)]
pub struct Answer {
    /// Entries of the list.
    pub entries: Vec<Entry>,
    /// Members of the answer other than the list.
    pub members: Map<String, Value>,
}

impl Answer {
    /// Decodes an answer with a list in the member `list`.
    ///
    /// # Errors
    ///
    /// Fails if the answer isn't an object with such a list.
    pub fn decode(text: &[u8], list: &str) -> Result<Self, serde_json::Error> {
        let error = match serde_json::from_slice::<Map<String, Value>>(text) {
            Ok(members) => return Self::from_members(members, list),
            Err(error) => error,
        };
        let Some(split) = split_members(text) else {
            return Err(error);
        };
        let (mut entries, mut members) = (None, Map::new());
        for (name, value) in split {
            let Ok(name) = serde_json::from_slice::<String>(name) else {
                continue;
            };
            if name == list {
                let elements = split_elements(value);
                entries = elements.map(|texts| texts.into_iter().map(Entry::decode).collect());
            } else if let Ok(value) = serde_json::from_slice(value) {
                members.insert(name, value);
            }
        }
        let entries = entries.ok_or(error)?;
        Ok(Self { entries, members })
    }

    fn from_members(
        mut members: Map<String, Value>,
        list: &str,
    ) -> Result<Self, serde_json::Error> {
        let values = Vec::<Value>::deserialize(members.remove(list).unwrap_or_default())?;
        let entries = values.into_iter().map(Entry::from).collect();
        Ok(Self { entries, members })
    }
}

impl Entry {
    /// Decodes an entry; parts that can't be decoded become null.
    #[must_use]
    pub fn decode(text: &[u8]) -> Self {
        match serde_json::from_slice::<Value>(text) {
            Ok(value) => Self::from(value),
            Err(error) => Self {
                value: decode_readable(text, ENTRY_DEPTH),
                damage: Some(error.to_string()),
            },
        }
    }
}

impl From<Value> for Entry {
    fn from(value: Value) -> Self {
        let damage = None;
        Self { value, damage }
    }
}

/// Decodes a value, with null in place of each part that can't be decoded down to a depth.
fn decode_readable(text: &[u8], depth: u32) -> Value {
    if let Ok(value) = serde_json::from_slice(text) {
        return value;
    }
    let Some(depth) = depth.checked_sub(1) else {
        return Value::Null;
    };
    if let Some(members) = split_members(text) {
        let decode = |(name, value): (&[u8], &[u8])| {
            let name = serde_json::from_slice(name).ok()?;
            Some((name, decode_readable(value, depth)))
        };
        return Value::Object(members.into_iter().filter_map(decode).collect());
    }
    if let Some(elements) = split_elements(text) {
        let elements = elements.into_iter();
        return elements
            .map(|element| decode_readable(element, depth))
            .collect();
    }
    Value::Null
}

/// Splits an object into the texts of its names and values; `None` if the text is no object.
fn split_members(text: &[u8]) -> Option<Vec<(&[u8], &[u8])>> {
    let members = split(strip(text, b'{', b'}')?, b',')?;
    let mut pairs = Vec::with_capacity(members.len());
    for member in members {
        let name = *split(member, b':')?.first()?;
        let value = member.get(name.len() + 1..)?;
        pairs.push((name.trim_ascii(), value.trim_ascii()));
    }
    Some(pairs)
}

/// Splits an array into the texts of its elements; `None` if the text is no array.
fn split_elements(text: &[u8]) -> Option<Vec<&[u8]>> {
    let elements = split(strip(text, b'[', b']')?, b',')?;
    Some(elements.into_iter().map(<[u8]>::trim_ascii).collect())
}

/// Returns the text between two brackets.
fn strip(text: &[u8], open: u8, close: u8) -> Option<&[u8]> {
    text.trim_ascii()
        .strip_prefix(&[open])?
        .strip_suffix(&[close])
}

/// Splits a text at a separator, where that is neither in a string nor in brackets; `None` if a string
/// or bracket isn't closed.
fn split(text: &[u8], separator: u8) -> Option<Vec<&[u8]>> {
    let (mut parts, mut start) = (Vec::new(), 0);
    let (mut depth, mut in_string, mut escaped) = (0_usize, false, false);
    for (index, byte) in text.iter().copied().enumerate() {
        match byte {
            _ if escaped => escaped = false,
            b'\\' if in_string => escaped = true,
            b'"' => in_string = !in_string,
            _ if in_string => {}
            b'[' | b'{' => depth += 1,
            b']' | b'}' => depth = depth.checked_sub(1)?,
            _ if byte == separator && depth == 0 => {
                parts.push(&text[start..index]);
                start = index + 1;
            }
            _ => {}
        }
    }
    let rest = &text[start..];
    if !parts.is_empty() || !rest.trim_ascii().is_empty() {
        parts.push(rest);
    }
    (depth == 0 && !in_string).then_some(parts)
}
