//! Validated names of services, groups, domains, regions, targets and balancers.

use std::fmt;
use std::str::FromStr;

/// Maximum length of a name, in bytes.
const MAX_NAME_BYTES: usize = 63;

/// Reason why a text is rejected as a name.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Error {
    /// The name is empty.
    Empty,
    /// The name is longer than 63 bytes; holds its length in bytes.
    TooLong(usize),
    /// The name contains this character, which is none of `a-z`, `0-9`, `-` and `.`.
    InvalidCharacter(char),
}

impl fmt::Display for Error {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Empty => write!(formatter, "name is empty"),
            Self::TooLong(length) => {
                write!(
                    formatter,
                    "name is {length} bytes long; the maximum is {MAX_NAME_BYTES}"
                )
            }
            Self::InvalidCharacter(character) => write!(
                formatter,
                "name contains {character:?}; allowed characters are a-z, 0-9, '-' and '.'"
            ),
        }
    }
}

impl std::error::Error for Error {}

fn validate_name(text: &str) -> Result<(), Error> {
    if text.is_empty() {
        return Err(Error::Empty);
    }
    if text.len() > MAX_NAME_BYTES {
        return Err(Error::TooLong(text.len()));
    }
    let allowed = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '-' || c == '.';
    match text.chars().find(|c| !allowed(*c)) {
        Some(character) => Err(Error::InvalidCharacter(character)),
        None => Ok(()),
    }
}

macro_rules! define_name {
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
            /// Returns [`Error`] if the text is empty, too long or contains a character that is not
            /// allowed.
            pub fn new(text: &str) -> Result<Self, Error> {
                validate_name(text)?;
                Ok(Self(text.into()))
            }

            /// Returns the name as a string slice.
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

define_name!(
    /// Name of a service.
    Service
);
define_name!(
    /// Name of a group of backend servers that serve the same services.
    Group
);
define_name!(
    /// Name of a failure domain.
    Domain
);
define_name!(
    /// Name of a region: a set of failure domains with low latency between them.
    Region
);
define_name!(
    /// Name of a target: an agent together with the backend server beside it.
    Target
);
define_name!(
    /// Name of a balancer process.
    Balancer
);
