//! Selection of records by kind and name.

use lavenderseam_core::record::{Id, Kind};

use crate::record::Error;

/// Selects all records, those of a kind, or a single one.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Selector {
    kind: Option<Kind>,
    name: Option<String>,
}

impl Selector {
    /// Parses command-line arguments: none, a kind, or a kind and a name.
    ///
    /// # Errors
    ///
    /// Returns [`Error::InvalidValue`] for an unknown kind or more than two arguments.
    pub fn new(arguments: &[String]) -> Result<Self, Error> {
        if let Some(word) = arguments.get(2) {
            let found = format!("{word:?}");
            return Err(Error::invalid(
                "arguments",
                "record",
                found,
                "a kind and a name",
            ));
        }
        let parse_kind = |word: &String| {
            let found = format!("{word:?}");
            let kinds = Kind::ALL.map(Kind::as_str).join(", ");
            let kind = word.parse::<Kind>();
            kind.map_err(|_| Error::invalid("arguments", "kind", found, kinds))
        };
        Ok(Self {
            kind: arguments.first().map(parse_kind).transpose()?,
            name: arguments.get(1).cloned(),
        })
    }

    /// Returns the kind of the selected records; `None` for all kinds.
    #[must_use]
    pub fn kind(&self) -> Option<Kind> {
        self.kind
    }

    /// Returns the identity of the selected record, if it is a single one.
    #[must_use]
    pub fn id(&self) -> Option<Id> {
        Some(Id::new(self.kind?, self.name.as_ref()?))
    }

    /// Returns `true` if a record is selected.
    #[must_use]
    pub fn matches(&self, id: &Id) -> bool {
        let kind_matches = self.kind.is_none_or(|kind| kind == id.kind);
        let name_matches = self.name.as_ref().is_none_or(|name| *name == id.name);
        kind_matches && name_matches
    }
}
