//! QUIC failures as HTTP/3 sees them.

use std::sync::Arc;

use h3::quic::{ConnectionErrorIncoming, StreamErrorIncoming};
use quinn::{ConnectionError, ReadError, WriteError};

pub(crate) fn connection_error(error: ConnectionError) -> ConnectionErrorIncoming {
    match error {
        ConnectionError::ApplicationClosed(closed) => ConnectionErrorIncoming::ApplicationClose {
            error_code: closed.error_code.into(),
        },
        ConnectionError::TimedOut => ConnectionErrorIncoming::Timeout,
        other => ConnectionErrorIncoming::Undefined(Arc::new(other)),
    }
}

pub(crate) fn lost(error: ConnectionError) -> StreamErrorIncoming {
    StreamErrorIncoming::ConnectionErrorIncoming {
        connection_error: connection_error(error),
    }
}

pub(crate) fn read_error(error: ReadError) -> StreamErrorIncoming {
    match error {
        ReadError::Reset(code) => StreamErrorIncoming::StreamTerminated {
            error_code: code.into_inner(),
        },
        ReadError::ConnectionLost(error) => lost(error),
        other => StreamErrorIncoming::Unknown(Box::new(other)),
    }
}

pub(crate) fn write_error(error: WriteError) -> StreamErrorIncoming {
    match error {
        WriteError::Stopped(code) => StreamErrorIncoming::StreamTerminated {
            error_code: code.into_inner(),
        },
        WriteError::ConnectionLost(error) => lost(error),
        other => StreamErrorIncoming::Unknown(Box::new(other)),
    }
}
