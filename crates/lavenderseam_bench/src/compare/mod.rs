//! Compares methods to find the target of a flow, in simulated time.
//!
//! The real core and simple models of other methods get the same flows, the same changes of the
//! records and the same delays until each process receives a change. All changes are planned, so
//! every broken flow is a fault of the method.

mod bloom_filters;
mod bucket_table;
mod core_lookup;
mod hashing_only;
mod method;
mod report;
mod runner;
mod simulation;

pub use report::{Report, Row};

use bloom_filters::BloomFilters;
use bucket_table::BucketTable;
use core_lookup::CoreLookup;
use hashing_only::HashingOnly;
use runner::measure;

/// Measures all methods with the same schedule.
#[must_use]
pub fn run(seed: u64) -> Report {
    Report {
        rows: vec![
            measure("hashing alone", HashingOnly::default(), seed),
            measure(
                "bucket table, 2 previous owners",
                BucketTable::default(),
                seed,
            ),
            measure(
                "Bloom filters of misplaced flows",
                BloomFilters::default(),
                seed,
            ),
            measure(
                "owners and walk, no cache",
                CoreLookup::with_cache(false),
                seed,
            ),
            measure("owners, walk and cache", CoreLookup::with_cache(true), seed),
            measure("routable connection ids", CoreLookup::with_tokens(), seed),
        ],
    }
}
