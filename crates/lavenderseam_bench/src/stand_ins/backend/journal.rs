//! Journal of a simulated backend server: a file that outlives the process, so that the requests
//! of a killed backend server remain known.

use std::fs::File;
use std::io::Write;
use std::path::Path;

use parking_lot::Mutex;

use crate::Error;

/// One entry of a journal; times are in milliseconds since the Unix epoch.
#[derive(Clone, Debug, PartialEq)]
pub enum JournalEntry {
    /// A request or feed arrived.
    Arrival(u64),
    /// A request started to run.
    Started(u64),
    /// An edit ran.
    EditRun {
        /// Id of the edit.
        id: String,
        /// Start of the edit.
        at_ms: u64,
    },
    /// New highest ratio of concurrent requests to the limit while cold.
    Overload(f64),
    /// The backend server crashed from overload.
    Crash(u64),
}

/// Journal file that is open for appending.
#[derive(Debug)]
pub struct Journal {
    file: Mutex<File>,
}

impl Journal {
    /// Opens or creates a journal for appending.
    ///
    /// # Errors
    ///
    /// Returns [`Error::File`] if the file can't be opened.
    pub fn open(path: &Path) -> Result<Self, Error> {
        let file = File::options().create(true).append(true).open(path);
        let file = file.map_err(|source| Error::file(path, source))?;
        Ok(Self {
            file: Mutex::new(file),
        })
    }

    /// Appends an entry; aborts the process if the file can't be written.
    pub fn append_entry(&self, line: &JournalEntry) {
        let text = match line {
            JournalEntry::Arrival(at) => format!("arrival {at}\n"),
            JournalEntry::Started(at) => format!("began {at}\n"),
            JournalEntry::EditRun { id, at_ms } => format!("run {at_ms} {id}\n"),
            JournalEntry::Overload(peak_overload) => format!("overload {peak_overload}\n"),
            JournalEntry::Crash(at) => format!("fall {at}\n"),
        };
        // A missing entry would falsify the counts that are read from the journal.
        if self.file.lock().write_all(text.as_bytes()).is_err() {
            std::process::abort();
        }
    }

    /// Reads a journal. A file that doesn't exist is an empty journal.
    ///
    /// # Errors
    ///
    /// Returns [`Error::File`] if it can't be read, and [`Error::InvalidSetting`] naming a
    /// malformed line.
    pub fn read(path: &Path) -> Result<Vec<JournalEntry>, Error> {
        if !path.exists() {
            return Ok(Vec::new());
        }
        let text = std::fs::read_to_string(path).map_err(|source| Error::file(path, source))?;
        let parsed = text.lines().map(|line| {
            parse(line).ok_or_else(|| Error::setting(path.display(), line, "a line of a journal"))
        });
        parsed.collect()
    }
}

fn parse(line: &str) -> Option<JournalEntry> {
    let (tag, value) = line.split_once(' ')?;
    match tag {
        "arrival" => value.parse().ok().map(JournalEntry::Arrival),
        "began" => value.parse().ok().map(JournalEntry::Started),
        "overload" => value.parse().ok().map(JournalEntry::Overload),
        "fall" => value.parse().ok().map(JournalEntry::Crash),
        "run" => {
            let (at, id) = value.split_once(' ')?;
            Some(JournalEntry::EditRun {
                id: id.to_owned(),
                at_ms: at.parse().ok()?,
            })
        }
        _ => None,
    }
}
