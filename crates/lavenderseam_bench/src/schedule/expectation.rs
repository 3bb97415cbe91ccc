//! What is expected of a run.

use std::fmt;

use super::reader::Reader;
use crate::Error;

/// Bound of a measure.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Bound {
    /// At most this.
    Most(f64),
    /// At least this.
    Least(f64),
}

/// A measure and its bound.
#[derive(Clone, Debug, PartialEq)]
pub struct Expectation {
    /// Name of the measure.
    pub measure: String,
    /// Its bound.
    pub bound: Bound,
}

/// Measures that can be expected, with whether more is better.
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
    pub(crate) fn read(mut reader: Reader) -> Result<Vec<Self>, Error> {
        let mut expectations = Vec::new();
        for key in reader.keys() {
            let known = MEASURES.iter().find(|(name, _)| *name == key);
            let Some((_, more_is_better)) = known else {
                continue;
            };
            let number = reader.number(&key, 0.0, "a number, 0 or more")?;
            expectations.push(Self {
                measure: key,
                bound: if *more_is_better {
                    Bound::Least(number)
                } else {
                    Bound::Most(number)
                },
            });
        }
        let names: Vec<&str> = MEASURES.iter().map(|(name, _)| *name).collect();
        reader.finish(&names.join(", "))?;
        Ok(expectations)
    }

    /// Whether a value of the measure meets the bound.
    #[must_use]
    pub fn holds(&self, value: f64) -> bool {
        match self.bound {
            Bound::Most(most) => value <= most,
            Bound::Least(least) => value >= least,
        }
    }
}

impl fmt::Display for Bound {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Most(most) => write!(formatter, "at most {most}"),
            Self::Least(least) => write!(formatter, "at least {least}"),
        }
    }
}
