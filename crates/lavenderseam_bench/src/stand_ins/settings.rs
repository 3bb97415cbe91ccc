//! Loads the settings of a stand-in.

use std::path::Path;

use serde::de::DeserializeOwned;

use crate::Error;

/// Reads settings from a TOML file.
///
/// # Errors
///
/// Returns [`Error::File`] if the file can't be read and [`Error::InvalidSetting`] if it can't be
/// parsed.
pub fn load_settings<T: DeserializeOwned>(path: &Path) -> Result<T, Error> {
    let text = std::fs::read_to_string(path).map_err(|source| Error::file(path, source))?;
    toml::from_str(&text)
        .map_err(|source| Error::setting(path.display(), source.message(), "a settings file"))
}
