//! Names and numbers that identify services, backend servers, failure domains and processes.
//!
//! Names are short labels that operators write; a [`Tag`] is the fixed-size form of a target's
//! name that travels in datagrams and connection ids.

mod name;
mod tag;

pub use name::{Balancer, Domain, Error, Group, Region, Service, Target};
pub use tag::Tag;

number! {
    /// One run of a process; a restart draws a new one.
    pub struct Incarnation(u64);
}
