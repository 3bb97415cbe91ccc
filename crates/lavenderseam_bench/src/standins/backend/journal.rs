//! The backend server's journal: a file that survives the process, so that a killed backend server
//! still tells what it ran.

use std::fs::File;
use std::io::Write;
use std::path::Path;

use parking_lot::Mutex;

use crate::Error;

/// One line of a journal; times are in milliseconds since the epoch.
#[derive(Clone, Debug, PartialEq)]
pub enum Line {
    /// A request or feed arrived.
    Arrival(u64),
    /// A request began to run.
    Began(u64),
    /// An edit ran.
    Run {
        /// The edit's id.
        id: String,
        /// When.
        at_ms: u64,
    },
    /// More work than ever while cold, over what is borne.
    Overload(f64),
    /// It fell over.
    Fall(u64),
}

/// Appends to a journal.
#[derive(Debug)]
pub struct Journal {
    file: Mutex<File>,
}

impl Journal {
    /// Opens a journal for appending.
    ///
    /// # Errors
    ///
    /// Returns [`Error::File`].
    pub fn open(path: &Path) -> Result<Self, Error> {
        let file = File::options().create(true).append(true).open(path);
        let file = file.map_err(|cause| Error::file(path, cause))?;
        Ok(Self {
            file: Mutex::new(file),
        })
    }

    /// Appends a line.
    pub fn note(&self, line: &Line) {
        let text = match line {
            Line::Arrival(at) => format!("arrival {at}\n"),
            Line::Began(at) => format!("began {at}\n"),
            Line::Run { id, at_ms } => format!("run {at_ms} {id}\n"),
            Line::Overload(peak) => format!("overload {peak}\n"),
            Line::Fall(at) => format!("fall {at}\n"),
        };
        // A journal that can't be written would falsify every count, so the stand-in gives up.
        if self.file.lock().write_all(text.as_bytes()).is_err() {
            std::process::abort();
        }
    }

    /// Reads a journal; one that doesn't exist is empty.
    ///
    /// # Errors
    ///
    /// Returns [`Error::File`] if it can't be read, and [`Error::Setting`] naming a malformed line.
    pub fn read(path: &Path) -> Result<Vec<Line>, Error> {
        if !path.exists() {
            return Ok(Vec::new());
        }
        let text = std::fs::read_to_string(path).map_err(|cause| Error::file(path, cause))?;
        let parsed = text.lines().map(|line| {
            parse(line).ok_or_else(|| Error::setting(path.display(), line, "a line of a journal"))
        });
        parsed.collect()
    }
}

fn parse(line: &str) -> Option<Line> {
    let (word, rest) = line.split_once(' ')?;
    match word {
        "arrival" => rest.parse().ok().map(Line::Arrival),
        "began" => rest.parse().ok().map(Line::Began),
        "overload" => rest.parse().ok().map(Line::Overload),
        "fall" => rest.parse().ok().map(Line::Fall),
        "run" => {
            let (at, id) = rest.split_once(' ')?;
            Some(Line::Run {
                id: id.to_owned(),
                at_ms: at.parse().ok()?,
            })
        }
        _ => None,
    }
}
