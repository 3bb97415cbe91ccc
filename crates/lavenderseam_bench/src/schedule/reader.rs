//! Reads tables of an experiment file key by key and names whatever can't be used.

use toml::{Table, Value};

use crate::Error;

/// A table that is read key by key; keys that are left over are errors.
pub(crate) struct Reader {
    path: String,
    table: Table,
}

impl Reader {
    /// Reads a whole file.
    pub(crate) fn parse(text: &str) -> Result<Self, Error> {
        let table = text.parse::<Table>();
        let table = table.map_err(|cause| {
            let line = cause.span().map_or(1, |span| line(text, span.start));
            Error::setting(format!("line {line}"), cause.message(), "TOML")
        })?;
        Ok(Self {
            path: String::new(),
            table,
        })
    }

    fn nested(&self, key: &str, table: Table) -> Self {
        Self {
            path: format!("{}.", self.key(key)),
            table,
        }
    }

    /// Name of a key within the file.
    pub(crate) fn key(&self, key: &str) -> String {
        format!("{}{key}", self.path)
    }

    /// Takes a text.
    pub(crate) fn text(&mut self, key: &str, allowed: &str) -> Result<String, Error> {
        match self.table.remove(key) {
            Some(Value::String(text)) => Ok(text),
            other => Err(self.rejected(key, other.as_ref(), allowed)),
        }
    }

    /// Takes a text that may be absent.
    pub(crate) fn optional_text(&mut self, key: &str, allowed: &str) -> Result<String, Error> {
        if self.table.contains_key(key) {
            return self.text(key, allowed);
        }
        Ok(String::new())
    }

    /// Takes a truth value; an absent one is false.
    pub(crate) fn flag(&mut self, key: &str) -> Result<bool, Error> {
        match self.table.remove(key) {
            None => Ok(false),
            Some(Value::Boolean(flag)) => Ok(flag),
            other => Err(self.rejected(key, other.as_ref(), "true or false")),
        }
    }

    /// Takes a number that has a default.
    pub(crate) fn number(&mut self, key: &str, default: f64, allowed: &str) -> Result<f64, Error> {
        match self.table.remove(key) {
            None => Ok(default),
            Some(Value::Float(number)) if number >= 0.0 => Ok(number),
            Some(Value::Integer(number)) if number >= 0 => Ok(number as f64),
            other => Err(self.rejected(key, other.as_ref(), allowed)),
        }
    }

    /// Takes a whole number that has a default.
    pub(crate) fn count(&mut self, key: &str, default: u64) -> Result<u64, Error> {
        match self.table.remove(key) {
            None => Ok(default),
            Some(Value::Integer(number)) if number >= 0 => Ok(number.unsigned_abs()),
            other => Err(self.rejected(key, other.as_ref(), "a whole number, 0 or more")),
        }
    }

    /// Takes a whole number that must be present.
    pub(crate) fn mandatory_count(&mut self, key: &str) -> Result<u64, Error> {
        if !self.table.contains_key(key) {
            return Err(self.rejected(key, None, "a whole number, 0 or more"));
        }
        self.count(key, 0)
    }

    /// Takes a table; an absent one is empty.
    pub(crate) fn table(&mut self, key: &str) -> Result<Self, Error> {
        match self.table.remove(key) {
            None => Ok(self.nested(key, Table::new())),
            Some(Value::Table(table)) => Ok(self.nested(key, table)),
            other => Err(self.rejected(key, other.as_ref(), "a table")),
        }
    }

    /// Takes a list of tables; an absent one is empty.
    pub(crate) fn tables(&mut self, key: &str) -> Result<Vec<Self>, Error> {
        let entries = match self.table.remove(key) {
            None => Vec::new(),
            Some(Value::Array(entries)) => entries,
            other => return Err(self.rejected(key, other.as_ref(), "a list of tables")),
        };
        let mut tables = Vec::new();
        for (index, entry) in entries.into_iter().enumerate() {
            match entry {
                Value::Table(table) => tables.push(self.nested(&format!("{key}[{index}]"), table)),
                other => return Err(self.rejected(key, Some(&other), "a list of tables")),
            }
        }
        Ok(tables)
    }

    /// The keys that have not been taken.
    pub(crate) fn keys(&self) -> Vec<String> {
        self.table.keys().cloned().collect()
    }

    /// Fails if a key has not been taken.
    pub(crate) fn finish(self, known: &str) -> Result<(), Error> {
        match self.table.iter().next() {
            None => Ok(()),
            Some((key, value)) => Err(Error::setting(self.key(key), value, known)),
        }
    }

    /// An error about a key.
    pub(crate) fn rejected(&self, key: &str, value: Option<&Value>, allowed: &str) -> Error {
        let value = value.map_or_else(|| "missing".to_owned(), Value::to_string);
        Error::setting(self.key(key), value, allowed)
    }
}

fn line(text: &str, position: usize) -> usize {
    text.bytes()
        .take(position)
        .filter(|byte| *byte == b'\n')
        .count()
        + 1
}
