//! Names and numbers that identify services, backend servers, failure domains and processes.
//!
//! Names are short labels that operators write. A [`Tag`] is the fixed-size hash of a target's name
//! that datagrams and connection ids carry.

mod name;
mod tag;

pub use name::{Balancer, Domain, Error, Group, Region, Service, Target};
pub use tag::Tag;

number! {
    /// Identifies one run of a process; each restart draws a new random value.
    pub struct Incarnation(u64);
}
