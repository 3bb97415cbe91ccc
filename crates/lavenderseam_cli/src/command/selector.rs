//! Which records a command is about.

use lavenderseam_core::record::{Id, Kind};

use crate::record::Error;

/// Which records a command is about: all, those of a kind, or one.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Selector {
    kind: Option<Kind>,
    name: Option<String>,
}

impl Selector {
    /// A selector from the words of a command line: none, a kind, or a kind and a name.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Key`] for an unknown kind or a word too many.
    pub fn new(words: &[String]) -> Result<Self, Error> {
        if let Some(word) = words.get(2) {
            let found = format!("{word:?}");
            return Err(Error::key(
                "arguments",
                "record",
                found,
                "a kind and a name",
            ));
        }
        let parse = |word: &String| {
            let found = format!("{word:?}");
            let kinds = Kind::ALL.map(Kind::as_str).join(", ");
            let kind = word.parse::<Kind>();
            kind.map_err(|_| Error::key("arguments", "kind", found, kinds))
        };
        Ok(Self {
            kind: words.first().map(parse).transpose()?,
            name: words.get(1).cloned(),
        })
    }

    /// The kind, if one is given.
    #[must_use]
    pub fn kind(&self) -> Option<Kind> {
        self.kind
    }

    /// The one record, if it is about one.
    #[must_use]
    pub fn id(&self) -> Option<Id> {
        Some(Id::new(self.kind?, self.name.as_ref()?))
    }

    /// Whether the command is about a record.
    #[must_use]
    pub fn selects(&self, id: &Id) -> bool {
        let of_kind = self.kind.is_none_or(|kind| kind == id.kind);
        let named = self.name.as_ref().is_none_or(|name| *name == id.name);
        of_kind && named
    }
}
