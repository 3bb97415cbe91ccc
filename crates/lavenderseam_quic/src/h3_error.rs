//! Converts quinn's errors into those of the `h3` crate.

use std::sync::Arc;

use h3::quic::{ConnectionErrorIncoming, StreamErrorIncoming};
use quinn::{ConnectionError, ReadError, WriteError};

/// Converts the reason why a connection ended.
pub(crate) fn connection_error(error: ConnectionError) -> ConnectionErrorIncoming {
    match error {
        ConnectionError::ApplicationClosed(closed) => ConnectionErrorIncoming::ApplicationClose {
            error_code: closed.error_code.into(),
        },
        ConnectionError::TimedOut => ConnectionErrorIncoming::Timeout,
        other => ConnectionErrorIncoming::Undefined(Arc::new(other)),
    }
}

/// Converts the reason why a connection ended into the error of one of its streams.
pub(crate) fn connection_lost(error: ConnectionError) -> StreamErrorIncoming {
    StreamErrorIncoming::ConnectionErrorIncoming {
        connection_error: connection_error(error),
    }
}

/// Converts an error when reading from a stream.
pub(crate) fn read_error(error: ReadError) -> StreamErrorIncoming {
    match error {
        ReadError::Reset(code) => StreamErrorIncoming::StreamTerminated {
            error_code: code.into_inner(),
        },
        ReadError::ConnectionLost(error) => connection_lost(error),
        other => StreamErrorIncoming::Unknown(Box::new(other)),
    }
}

/// Converts an error when writing to a stream.
pub(crate) fn write_error(error: WriteError) -> StreamErrorIncoming {
    match error {
        WriteError::Stopped(code) => StreamErrorIncoming::StreamTerminated {
            error_code: code.into_inner(),
        },
        WriteError::ConnectionLost(error) => connection_lost(error),
        other => StreamErrorIncoming::Unknown(Box::new(other)),
    }
}
