//! Parses tables of an experiment file key by key and reports invalid values and unknown keys.

use toml::{Table, Value};

use crate::Error;

/// A table whose keys are taken one by one; keys that remain at the end are reported as unknown.
pub(crate) struct TableReader {
    /// Prefix of the full keys in this table; empty or ending in a dot.
    key_prefix: String,
    table: Table,
}

impl TableReader {
    /// Parses a whole experiment file.
    pub(crate) fn parse(text: &str) -> Result<Self, Error> {
        let table = text.parse::<Table>();
        let table = table.map_err(|error| {
            let line = error.span().map_or(1, |span| line_number(text, span.start));
            Error::setting(format!("line {line}"), error.message(), "TOML")
        })?;
        Ok(Self {
            key_prefix: String::new(),
            table,
        })
    }

    /// Returns a reader for a table under a key of this table.
    fn nested(&self, key: &str, table: Table) -> Self {
        Self {
            key_prefix: format!("{}.", self.full_key(key)),
            table,
        }
    }

    /// Returns the full key in the file, with the keys of the enclosing tables.
    pub(crate) fn full_key(&self, key: &str) -> String {
        format!("{}{key}", self.key_prefix)
    }

    /// Takes a string that must be present.
    pub(crate) fn take_string(&mut self, key: &str, allowed: &str) -> Result<String, Error> {
        match self.table.remove(key) {
            Some(Value::String(string)) => Ok(string),
            other => Err(self.invalid_value(key, other.as_ref(), allowed)),
        }
    }

    /// Takes an optional string; returns an empty string if it is absent.
    pub(crate) fn take_optional_string(
        &mut self,
        key: &str,
        allowed: &str,
    ) -> Result<String, Error> {
        if self.table.contains_key(key) {
            return self.take_string(key, allowed);
        }
        Ok(String::new())
    }

    /// Takes an optional boolean; returns `false` if it is absent.
    pub(crate) fn take_bool(&mut self, key: &str) -> Result<bool, Error> {
        match self.table.remove(key) {
            None => Ok(false),
            Some(Value::Boolean(value)) => Ok(value),
            other => Err(self.invalid_value(key, other.as_ref(), "true or false")),
        }
    }

    /// Takes an optional number, 0 or more; returns the default if it is absent.
    pub(crate) fn take_number(
        &mut self,
        key: &str,
        default: f64,
        allowed: &str,
    ) -> Result<f64, Error> {
        match self.table.remove(key) {
            None => Ok(default),
            Some(Value::Float(number)) if number >= 0.0 => Ok(number),
            Some(Value::Integer(number)) if number >= 0 => Ok(number as f64),
            other => Err(self.invalid_value(key, other.as_ref(), allowed)),
        }
    }

    /// Takes an optional integer, 0 or more; returns the default if it is absent.
    pub(crate) fn take_count(&mut self, key: &str, default: u64) -> Result<u64, Error> {
        match self.table.remove(key) {
            None => Ok(default),
            Some(Value::Integer(number)) if number >= 0 => Ok(number.unsigned_abs()),
            other => Err(self.invalid_value(key, other.as_ref(), "an integer, 0 or more")),
        }
    }

    /// Takes an integer, 0 or more, that must be present.
    pub(crate) fn take_required_count(&mut self, key: &str) -> Result<u64, Error> {
        if !self.table.contains_key(key) {
            return Err(self.invalid_value(key, None, "an integer, 0 or more"));
        }
        self.take_count(key, 0)
    }

    /// Takes an optional table; returns an empty one if it is absent.
    pub(crate) fn take_table(&mut self, key: &str) -> Result<Self, Error> {
        match self.table.remove(key) {
            None => Ok(self.nested(key, Table::new())),
            Some(Value::Table(table)) => Ok(self.nested(key, table)),
            other => Err(self.invalid_value(key, other.as_ref(), "a table")),
        }
    }

    /// Takes an optional array of tables; returns an empty list if it is absent.
    pub(crate) fn take_tables(&mut self, key: &str) -> Result<Vec<Self>, Error> {
        let entries = match self.table.remove(key) {
            None => Vec::new(),
            Some(Value::Array(entries)) => entries,
            other => return Err(self.invalid_value(key, other.as_ref(), "an array of tables")),
        };
        let mut tables = Vec::new();
        for (index, entry) in entries.into_iter().enumerate() {
            match entry {
                Value::Table(table) => tables.push(self.nested(&format!("{key}[{index}]"), table)),
                other => return Err(self.invalid_value(key, Some(&other), "an array of tables")),
            }
        }
        Ok(tables)
    }

    /// Returns the keys that have not been taken.
    pub(crate) fn remaining_keys(&self) -> Vec<String> {
        self.table.keys().cloned().collect()
    }

    /// Returns an error if a key has not been taken; `known` lists the keys that are allowed.
    pub(crate) fn finish(self, known: &str) -> Result<(), Error> {
        match self.table.iter().next() {
            None => Ok(()),
            Some((key, value)) => Err(Error::setting(self.full_key(key), value, known)),
        }
    }

    /// Returns the error for an invalid or missing value of a key.
    pub(crate) fn invalid_value(&self, key: &str, value: Option<&Value>, allowed: &str) -> Error {
        let value = value.map_or_else(|| "missing".to_owned(), Value::to_string);
        Error::setting(self.full_key(key), value, allowed)
    }
}

/// Returns the line number, from 1, of a byte offset in a text.
fn line_number(text: &str, byte_offset: usize) -> usize {
    text.bytes()
        .take(byte_offset)
        .filter(|byte| *byte == b'\n')
        .count()
        + 1
}
