//! Straightforward reference implementations that the core is compared with.

pub mod view;
