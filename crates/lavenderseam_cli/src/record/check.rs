//! Checking one record before it is written.

use lavenderseam_core::id;
use lavenderseam_core::record::{
    Document, Domain, Drain, Error as Unreadable, Group, Kind, Record, Schema, Service, Slots,
};

use super::Error;

/// Checks a record that an operator wants to write.
///
/// # Errors
///
/// Returns [`Error::Key`] for the first value that isn't allowed.
pub fn check(document: &Document) -> Result<(), Error> {
    let name = &document.name;
    match document.kind {
        Kind::Service => {
            named(document, id::Service::new(name).err())?;
            service(document, &read::<Service>(document)?)
        }
        Kind::BackendGroup => {
            named(document, id::Group::new(name).err())?;
            group(document, &read::<Group>(document)?)
        }
        Kind::FailureDomain => {
            named(document, id::Domain::new(name).err())?;
            read::<Domain>(document).map(|_| ())
        }
        Kind::Drain => {
            named(document, id::Target::new(name).err())?;
            drain(document, &read::<Drain>(document)?)
        }
        kind => Err(Error::key(
            document.id(),
            "kind",
            format!("\"{kind}\""),
            "Service, BackendGroup, FailureDomain, Drain; the processes write the others",
        )),
    }
}

fn named(document: &Document, error: Option<id::Error>) -> Result<(), Error> {
    match error {
        None => Ok(()),
        Some(error) => {
            let found = format!("{:?}", document.name);
            Err(Error::key(document.kind, "name", found, error))
        }
    }
}

fn read<R: Record>(document: &Document) -> Result<R, Error> {
    R::read(document).map_err(|error| match error {
        Unreadable::Field {
            field,
            found,
            allowed,
            ..
        } => Error::key(document.id(), format_args!("spec.{field}"), found, allowed),
        Unreadable::Schema { found, .. } => {
            let allowed = if document.kind == Kind::Drain {
                "1"
            } else {
                "1 or 2"
            };
            Error::key(document.id(), "schema", found, allowed)
        }
        Unreadable::Kind { expected, found } => Error::key(document.id(), "kind", found, expected),
    })
}

fn service(document: &Document, service: &Service) -> Result<(), Error> {
    if service.addresses.is_empty() {
        let allowed = "a list of one or more addresses such as \"192.0.2.1:443\"";
        return Err(Error::key(document.id(), "spec.addresses", "[]", allowed));
    }
    Ok(())
}

fn group(document: &Document, group: &Group) -> Result<(), Error> {
    let count = "a whole number, 1 or more";
    if group.slots == Slots(0) {
        return Err(Error::key(document.id(), "spec.slots", 0, count));
    }
    if group.connections == 0 {
        return Err(Error::key(document.id(), "spec.connections", 0, count));
    }
    if group.cold_slots == Slots(0) || group.cold_slots > group.slots {
        let allowed = format!("a whole number, 1 to {}, which is spec.slots", group.slots);
        let found = group.cold_slots;
        return Err(Error::key(document.id(), "spec.cold_slots", found, allowed));
    }
    Ok(())
}

fn drain(document: &Document, drain: &Drain) -> Result<(), Error> {
    if drain.target.as_str() != document.name {
        let found = format!("\"{}\"", drain.target);
        let allowed = format!("\"{}\", which is the record's name", document.name);
        return Err(Error::key(document.id(), "spec.target", found, allowed));
    }
    Ok(())
}

/// The fields that this program knows for a kind at a schema version.
pub(super) fn known(kind: Kind, schema: Schema) -> &'static [&'static str] {
    match (kind, schema) {
        (Kind::Service, Schema(1)) => &["address", "group"],
        (Kind::Service, _) => &["addresses", "group"],
        (Kind::BackendGroup, Schema(1)) => &["slots", "connections"],
        (Kind::BackendGroup, _) => &["slots", "connections", "cold_slots", "drain_seconds"],
        (Kind::FailureDomain, Schema(1)) => &["state"],
        (Kind::FailureDomain, _) => &["state", "reason"],
        (Kind::Drain, _) => &["target"],
        _ => &[],
    }
}
