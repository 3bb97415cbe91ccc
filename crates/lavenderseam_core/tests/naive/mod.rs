//! Naive versions that the real core is compared with.

pub mod view;
