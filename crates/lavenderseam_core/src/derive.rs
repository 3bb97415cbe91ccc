//! Macros that define types with the set of derives common to the workspace.

/// Defines a struct or enum that is cloned, compared and serialised by value.
#[macro_export]
macro_rules! value {
    ($(#[$meta:meta])* $vis:vis struct $($rest:tt)*) => {
        #[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
        $(#[$meta])*
        $vis struct $($rest)*
    };
    ($(#[$meta:meta])* $vis:vis enum $($rest:tt)*) => {
        #[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
        $(#[$meta])*
        $vis enum $($rest)*
    };
}

/// Defines a newtype over an unsigned integer that implements ordering, hashing, formatting,
/// parsing and serialisation as the integer.
#[macro_export]
macro_rules! number {
    ($(#[$meta:meta])* $vis:vis struct $name:ident($inner:ty);) => {
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize,
            serde::Deserialize,
        )]
        #[serde(transparent)]
        $(#[$meta])*
        $vis struct $name(pub $inner);

        impl std::fmt::Display for $name {
            fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                self.0.fmt(formatter)
            }
        }

        impl std::str::FromStr for $name {
            type Err = std::num::ParseIntError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                text.parse().map(Self)
            }
        }
    };
}
