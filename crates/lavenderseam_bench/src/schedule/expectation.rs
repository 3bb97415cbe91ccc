//! Expected results of a run.

use std::fmt;

use super::table_reader::TableReader;
use crate::Error;

/// Bound on the value of a measure.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Bound {
    /// The measure must be at most this value.
    AtMost(f64),
    /// The measure must be at least this value.
    AtLeast(f64),
}

/// An expectation: a measure and the bound that it must meet.
#[derive(Clone, Debug, PartialEq)]
pub struct Expectation {
    /// Name of the measure.
    pub measure: String,
    /// Bound on the value of the measure.
    pub bound: Bound,
}

/// Measures that an experiment can set a bound on. The flag is `true` if a higher value is better,
/// so that the bound is a minimum.
const MEASURES: [(&str, bool); 24] = [
    ("flows_opened", true),
    ("flows_broken", false),
    ("flows_given_up", false),
    ("requests_sent", true),
    ("answered", true),
    ("refused_not_run", false),
    ("outcome_unknown", false),
    ("answers_wrong", false),
    ("ran_twice", false),
    ("refused_but_ran", false),
    ("wrong_service", false),
    ("imbalance", false),
    ("overload_peak", false),
    ("packets_to_domain_out_ms", false),
    ("new_work_to_leaving_ms", false),
    ("config_in_force_ms", false),
    ("config_reverts", false),
    ("served_share", true),
    ("feed_gaps", false),
    ("feed_repeats", false),
    ("feed_silence_ms", false),
    ("race_lost", false),
    ("stops_failed", false),
    ("crashed", false),
];

impl Expectation {
    /// Parses the `expect` table of an experiment file.
    pub(crate) fn parse(mut reader: TableReader) -> Result<Vec<Self>, Error> {
        let mut expectations = Vec::new();
        for key in reader.remaining_keys() {
            let entry = MEASURES.iter().find(|(name, _)| *name == key);
            let Some((_, higher_is_better)) = entry else {
                continue;
            };
            let value = reader.take_number(&key, 0.0, "a number, 0 or more")?;
            expectations.push(Self {
                measure: key,
                bound: if *higher_is_better {
                    Bound::AtLeast(value)
                } else {
                    Bound::AtMost(value)
                },
            });
        }
        let names: Vec<&str> = MEASURES.iter().map(|(name, _)| *name).collect();
        reader.finish(&names.join(", "))?;
        Ok(expectations)
    }

    /// Returns `true` if a value of the measure meets the bound.
    #[must_use]
    pub fn is_met_by(&self, value: f64) -> bool {
        match self.bound {
            Bound::AtMost(maximum) => value <= maximum,
            Bound::AtLeast(minimum) => value >= minimum,
        }
    }
}

impl fmt::Display for Bound {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::AtMost(maximum) => write!(formatter, "at most {maximum}"),
            Self::AtLeast(minimum) => write!(formatter, "at least {minimum}"),
        }
    }
}
