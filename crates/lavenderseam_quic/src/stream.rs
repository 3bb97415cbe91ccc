//! Implements the transport traits of the `h3` crate on quinn's connections and streams.
//!
//! Dropping a [`SendStream`] that isn't finished resets the stream, so a truncated response never
//! looks complete. Each request's stream has a [`Stopped`] future that resolves when the caller has
//! cancelled the response or has received all of it.

use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};

use bytes::{Buf, Bytes, BytesMut};
use futures::FutureExt;
use futures::future::{BoxFuture, Fuse};
use h3::error::Code;
use h3::quic::{self, ConnectionErrorIncoming, StreamErrorIncoming, StreamId, WriteBuf};
use parking_lot::Mutex;
use quinn::{ConnectionError, StoppedError, VarInt};

use crate::h3_error::{connection_error, connection_lost, read_error, write_error};

/// Maximum number of bytes that one read takes from a stream.
const READ_LIMIT_BYTES: usize = 16 * 1024;

/// Pending operation that opens or accepts a stream.
type PendingStream<T> = Option<BoxFuture<'static, Result<T, ConnectionError>>>;
/// The sending and receiving halves of a bidirectional stream.
type StreamHalves = (quinn::SendStream, quinn::RecvStream);

/// Resolves when the caller has stopped a stream (`Some`) or has received all of it (`None`). It is
/// fused, because it must not be polled again.
pub type Stopped = Fuse<BoxFuture<'static, Result<Option<VarInt>, StoppedError>>>;

/// A QUIC connection that carries HTTP/3.
pub struct Connection {
    connection: quinn::Connection,
    pending_accept_bidi: PendingStream<StreamHalves>,
    pending_accept_uni: PendingStream<quinn::RecvStream>,
    opener: StreamOpener,
    latest_stopped: Arc<Mutex<Option<Stopped>>>,
}

/// Opens streams on a connection.
pub struct StreamOpener {
    connection: quinn::Connection,
    pending_open_bidi: PendingStream<StreamHalves>,
    pending_open_uni: PendingStream<quinn::SendStream>,
}

/// A bidirectional stream.
pub struct BidiStream<B: Buf> {
    send: SendStream<B>,
    recv: RecvStream,
}

/// The sending half of a stream; resets the stream if it is dropped unfinished.
pub struct SendStream<B: Buf> {
    stream: quinn::SendStream,
    pending_data: Option<WriteBuf<B>>,
    finished: bool,
}

/// The receiving half of a stream.
pub struct RecvStream {
    stream: quinn::RecvStream,
}

impl Connection {
    /// Wraps an established connection.
    #[must_use]
    pub fn new(connection: quinn::Connection) -> Self {
        Self {
            opener: StreamOpener::new(connection.clone()),
            connection,
            pending_accept_bidi: None,
            pending_accept_uni: None,
            latest_stopped: Arc::default(),
        }
    }

    /// Returns the slot with the [`Stopped`] future of the bidirectional stream that was accepted
    /// last.
    #[must_use]
    pub fn latest_stopped(&self) -> Arc<Mutex<Option<Stopped>>> {
        Arc::clone(&self.latest_stopped)
    }
}

impl StreamOpener {
    fn new(connection: quinn::Connection) -> Self {
        Self {
            connection,
            pending_open_bidi: None,
            pending_open_uni: None,
        }
    }
}

impl<B: Buf> BidiStream<B> {
    fn new((send, recv): StreamHalves) -> Self {
        Self {
            send: SendStream::new(send),
            recv: RecvStream { stream: recv },
        }
    }
}

impl<B: Buf> SendStream<B> {
    fn new(stream: quinn::SendStream) -> Self {
        Self {
            stream,
            pending_data: None,
            finished: false,
        }
    }
}

impl<B: Buf> Drop for SendStream<B> {
    fn drop(&mut self) {
        if !self.finished {
            let code = VarInt::from_u64(Code::H3_INTERNAL_ERROR.value());
            // Resetting fails only if the stream is reset or closed already.
            let _ = self.stream.reset(code.unwrap_or(VarInt::MAX));
        }
    }
}

impl<B: Buf> quic::Connection<B> for Connection {
    type RecvStream = RecvStream;
    type OpenStreams = StreamOpener;

    fn poll_accept_recv(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<Result<RecvStream, ConnectionErrorIncoming>> {
        let connection = self.connection.clone();
        let accept = || async move { connection.accept_uni().await }.boxed();
        let pending = self.pending_accept_uni.get_or_insert_with(accept);
        let result = ready!(pending.as_mut().poll(context));
        self.pending_accept_uni = None;
        let stream = result.map_err(connection_error)?;
        Poll::Ready(Ok(RecvStream { stream }))
    }

    fn poll_accept_bidi(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<Result<BidiStream<B>, ConnectionErrorIncoming>> {
        let connection = self.connection.clone();
        let accept = || async move { connection.accept_bi().await }.boxed();
        let pending = self.pending_accept_bidi.get_or_insert_with(accept);
        let result = ready!(pending.as_mut().poll(context));
        self.pending_accept_bidi = None;
        let halves = result.map_err(connection_error)?;
        *self.latest_stopped.lock() = Some(halves.0.stopped().boxed().fuse());
        Poll::Ready(Ok(BidiStream::new(halves)))
    }

    fn opener(&self) -> StreamOpener {
        StreamOpener::new(self.connection.clone())
    }
}

impl<B: Buf> quic::OpenStreams<B> for Connection {
    type BidiStream = BidiStream<B>;
    type SendStream = SendStream<B>;

    fn poll_open_bidi(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<Result<BidiStream<B>, StreamErrorIncoming>> {
        self.opener.poll_open_bidi(context)
    }

    fn poll_open_send(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<Result<SendStream<B>, StreamErrorIncoming>> {
        self.opener.poll_open_send(context)
    }

    fn close(&mut self, code: Code, reason: &[u8]) {
        close_connection(&self.connection, code, reason);
    }
}

impl<B: Buf> quic::OpenStreams<B> for StreamOpener {
    type BidiStream = BidiStream<B>;
    type SendStream = SendStream<B>;

    fn poll_open_bidi(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<Result<BidiStream<B>, StreamErrorIncoming>> {
        let connection = self.connection.clone();
        let open = || async move { connection.open_bi().await }.boxed();
        let pending = self.pending_open_bidi.get_or_insert_with(open);
        let result = ready!(pending.as_mut().poll(context));
        self.pending_open_bidi = None;
        Poll::Ready(result.map(BidiStream::new).map_err(connection_lost))
    }

    fn poll_open_send(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<Result<SendStream<B>, StreamErrorIncoming>> {
        let connection = self.connection.clone();
        let open = || async move { connection.open_uni().await }.boxed();
        let pending = self.pending_open_uni.get_or_insert_with(open);
        let result = ready!(pending.as_mut().poll(context));
        self.pending_open_uni = None;
        Poll::Ready(result.map(SendStream::new).map_err(connection_lost))
    }

    fn close(&mut self, code: Code, reason: &[u8]) {
        close_connection(&self.connection, code, reason);
    }
}

impl<B: Buf> quic::SendStream<B> for SendStream<B> {
    fn poll_ready(&mut self, context: &mut Context<'_>) -> Poll<Result<(), StreamErrorIncoming>> {
        if let Some(data) = &mut self.pending_data {
            while data.has_remaining() {
                let stream = Pin::new(&mut self.stream);
                let written = ready!(quinn::SendStream::poll_write(stream, context, data.chunk()));
                data.advance(written.map_err(write_error)?);
            }
        }
        self.pending_data = None;
        Poll::Ready(Ok(()))
    }

    fn send_data<T: Into<WriteBuf<B>>>(&mut self, data: T) -> Result<(), StreamErrorIncoming> {
        self.pending_data = Some(data.into());
        Ok(())
    }

    fn poll_finish(&mut self, _: &mut Context<'_>) -> Poll<Result<(), StreamErrorIncoming>> {
        self.finished = true;
        let result = self.stream.finish();
        Poll::Ready(result.map_err(|error| StreamErrorIncoming::Unknown(Box::new(error))))
    }

    fn reset(&mut self, code: u64) {
        self.finished = true;
        let code = VarInt::from_u64(code).unwrap_or(VarInt::MAX);
        // Resetting fails only if the stream is closed already.
        let _ = self.stream.reset(code);
    }

    fn send_id(&self) -> StreamId {
        stream_id(self.stream.id())
    }
}

impl quic::RecvStream for RecvStream {
    type Buf = Bytes;

    fn poll_data(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<Result<Option<Bytes>, StreamErrorIncoming>> {
        let mut buffer = BytesMut::zeroed(READ_LIMIT_BYTES);
        let length = ready!(self.stream.poll_read(context, &mut buffer)).map_err(read_error)?;
        if length == 0 {
            return Poll::Ready(Ok(None));
        }
        buffer.truncate(length);
        Poll::Ready(Ok(Some(buffer.freeze())))
    }

    fn stop_sending(&mut self, code: u64) {
        let code = VarInt::from_u64(code).unwrap_or(VarInt::MAX);
        // Stopping fails only if the stream is closed already.
        let _ = self.stream.stop(code);
    }

    fn recv_id(&self) -> StreamId {
        stream_id(self.stream.id())
    }
}

impl<B: Buf> quic::SendStream<B> for BidiStream<B> {
    fn poll_ready(&mut self, context: &mut Context<'_>) -> Poll<Result<(), StreamErrorIncoming>> {
        self.send.poll_ready(context)
    }

    fn send_data<T: Into<WriteBuf<B>>>(&mut self, data: T) -> Result<(), StreamErrorIncoming> {
        self.send.send_data(data)
    }

    fn poll_finish(&mut self, context: &mut Context<'_>) -> Poll<Result<(), StreamErrorIncoming>> {
        self.send.poll_finish(context)
    }

    fn reset(&mut self, code: u64) {
        self.send.reset(code);
    }

    fn send_id(&self) -> StreamId {
        self.send.send_id()
    }
}

impl<B: Buf> quic::RecvStream for BidiStream<B> {
    type Buf = Bytes;

    fn poll_data(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<Result<Option<Bytes>, StreamErrorIncoming>> {
        self.recv.poll_data(context)
    }

    fn stop_sending(&mut self, code: u64) {
        self.recv.stop_sending(code);
    }

    fn recv_id(&self) -> StreamId {
        self.recv.recv_id()
    }
}

impl<B: Buf> quic::BidiStream<B> for BidiStream<B> {
    type SendStream = SendStream<B>;
    type RecvStream = RecvStream;

    fn split(self) -> (SendStream<B>, RecvStream) {
        (self.send, self.recv)
    }
}

fn close_connection(connection: &quinn::Connection, code: Code, reason: &[u8]) {
    let code = VarInt::from_u64(code.value()).unwrap_or(VarInt::MAX);
    connection.close(code, reason);
}

fn stream_id(id: quinn::StreamId) -> StreamId {
    // Both crates use the 62-bit stream ids of QUIC, so the conversion can't fail.
    StreamId::try_from(u64::from(id)).unwrap_or_else(|_| unreachable!("stream id {id}"))
}
