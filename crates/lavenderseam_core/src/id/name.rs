//! Validated names.

use std::fmt;
use std::str::FromStr;

/// Longest accepted name, in bytes.
const LENGTH_LIMIT: usize = 63;

/// Why a name was rejected.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Error {
    /// The name is empty.
    Empty,
    /// The name has more than 63 bytes; holds its length in bytes.
    Long(usize),
    /// The name has a character other than `a-z`, `0-9`, `-` and `.`.
    Character(char),
}

impl fmt::Display for Error {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Empty => write!(formatter, "a name must not be empty"),
            Self::Long(length) => {
                write!(
                    formatter,
                    "a name has at most {LENGTH_LIMIT} bytes, not {length}"
                )
            }
            Self::Character(character) => write!(
                formatter,
                "a name holds only a-z, 0-9, '-' and '.', not {character:?}"
            ),
        }
    }
}

impl std::error::Error for Error {}

fn validate(text: &str) -> Result<(), Error> {
    if text.is_empty() {
        return Err(Error::Empty);
    }
    if text.len() > LENGTH_LIMIT {
        return Err(Error::Long(text.len()));
    }
    let allowed = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '-' || c == '.';
    match text.chars().find(|c| !allowed(*c)) {
        Some(character) => Err(Error::Character(character)),
        None => Ok(()),
    }
}

macro_rules! name {
    ($(#[$meta:meta])* $name:ident) => {
        $(#[$meta])*
        #[derive(
            Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize,
            serde::Deserialize,
        )]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(std::sync::Arc<str>);

        impl $name {
            /// Validates `text` as a name.
            ///
            /// # Errors
            ///
            /// Returns [`Error`] if the text is empty, too long or has a forbidden character.
            pub fn new(text: &str) -> Result<Self, Error> {
                validate(text)?;
                Ok(Self(text.into()))
            }

            /// The name as text.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                formatter.write_str(&self.0)
            }
        }

        impl FromStr for $name {
            type Err = Error;

            fn from_str(text: &str) -> Result<Self, Error> {
                Self::new(text)
            }
        }

        impl TryFrom<String> for $name {
            type Error = Error;

            fn try_from(text: String) -> Result<Self, Error> {
                Self::new(&text)
            }
        }

        impl From<$name> for String {
            fn from(name: $name) -> Self {
                name.0.as_ref().to_owned()
            }
        }
    };
}

name!(
    /// A service that callers reach at its addresses.
    Service
);
name!(
    /// A group of backend servers that serve the same services.
    Group
);
name!(
    /// A failure domain.
    Domain
);
name!(
    /// A region: failure domains with short delays between them.
    Region
);
name!(
    /// A backend server as the system sees it: one agent and the backend server beside it.
    Target
);
name!(
    /// A balancer process.
    Balancer
);
