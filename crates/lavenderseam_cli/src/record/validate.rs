//! Validation of a record before it is written.

use lavenderseam_core::id;
use lavenderseam_core::record::{
    Document, Domain, Drain, Error as ReadError, Group, Kind, Record, Schema, Service, Slots,
};

use super::Error;

/// Validates a record that an operator wants to write.
///
/// # Errors
///
/// Returns [`Error::InvalidValue`] for the first value that is not allowed.
pub fn validate(document: &Document) -> Result<(), Error> {
    let name = &document.name;
    match document.kind {
        Kind::Service => {
            validate_name(document, id::Service::new(name).err())?;
            validate_service(document, &decode::<Service>(document)?)
        }
        Kind::BackendGroup => {
            validate_name(document, id::Group::new(name).err())?;
            validate_group(document, &decode::<Group>(document)?)
        }
        Kind::FailureDomain => {
            validate_name(document, id::Domain::new(name).err())?;
            decode::<Domain>(document).map(|_| ())
        }
        Kind::Drain => {
            validate_name(document, id::Target::new(name).err())?;
            validate_drain(document, &decode::<Drain>(document)?)
        }
        kind => Err(Error::invalid(
            document.id(),
            "kind",
            format!("\"{kind}\""),
            "Service, BackendGroup, FailureDomain, Drain; the processes write the others",
        )),
    }
}

/// Returns an error if the name of the record was rejected.
fn validate_name(document: &Document, error: Option<id::Error>) -> Result<(), Error> {
    match error {
        None => Ok(()),
        Some(error) => {
            let found = format!("{:?}", document.name);
            Err(Error::invalid(document.kind, "name", found, error))
        }
    }
}

/// Decodes the record in a document.
fn decode<R: Record>(doc: &Document) -> Result<R, Error> {
    R::read(doc).map_err(|error| match error {
        ReadError::Field {
            field,
            found,
            allowed,
            ..
        } => Error::invalid(doc.id(), format_args!("spec.{field}"), found, allowed),
        ReadError::Schema { found, .. } => {
            let allowed = if doc.kind == Kind::Drain {
                "1"
            } else {
                "1 or 2"
            };
            Error::invalid(doc.id(), "schema", found, allowed)
        }
        ReadError::Kind { expected, found } => Error::invalid(doc.id(), "kind", found, expected),
    })
}

fn validate_service(document: &Document, service: &Service) -> Result<(), Error> {
    if service.addresses.is_empty() {
        let allowed = "a list of one or more addresses such as \"192.0.2.1:443\"";
        return Err(Error::invalid(
            document.id(),
            "spec.addresses",
            "[]",
            allowed,
        ));
    }
    Ok(())
}

fn validate_group(document: &Document, group: &Group) -> Result<(), Error> {
    let allowed_count = "a whole number, 1 or more";
    if group.slots == Slots(0) {
        return Err(Error::invalid(
            document.id(),
            "spec.slots",
            0,
            allowed_count,
        ));
    }
    if group.connections == 0 {
        return Err(Error::invalid(
            document.id(),
            "spec.connections",
            0,
            allowed_count,
        ));
    }
    if group.cold_slots == Slots(0) || group.cold_slots > group.slots {
        let allowed = format!("a whole number, 1 to {}, which is spec.slots", group.slots);
        let found = group.cold_slots;
        return Err(Error::invalid(
            document.id(),
            "spec.cold_slots",
            found,
            allowed,
        ));
    }
    Ok(())
}

fn validate_drain(document: &Document, drain: &Drain) -> Result<(), Error> {
    if drain.target.as_str() != document.name {
        let found = format!("\"{}\"", drain.target);
        let allowed = format!("\"{}\", which is the record's name", document.name);
        return Err(Error::invalid(document.id(), "spec.target", found, allowed));
    }
    Ok(())
}

/// Returns the spec fields that this program knows for a kind at a schema version.
pub(super) fn known_fields(kind: Kind, schema: Schema) -> &'static [&'static str] {
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
