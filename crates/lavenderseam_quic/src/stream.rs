//! HTTP/3 over QUIC streams that never end short.
//!
//! A dropped [`Send`] resets its stream unless it was finished, so an answer that was cut never
//! looks complete. Each request's stream comes with a [`Watch`] that tells whether the caller
//! has given up the answer or has received all of it.

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

use crate::failure::{connection_error, lost, read_error, write_error};

/// Bytes read from a stream at once.
const READ_LENGTH: usize = 16 * 1024;

type Opening<T> = Option<BoxFuture<'static, Result<T, ConnectionError>>>;
type Pair = (quinn::SendStream, quinn::RecvStream);

/// Resolves, once only, when the caller has stopped a stream or has received all of it.
pub type Watch = Fuse<BoxFuture<'static, Result<Option<VarInt>, StoppedError>>>;

/// A QUIC connection for HTTP/3.
pub struct Connection {
    connection: quinn::Connection,
    accepting: Opening<Pair>,
    accepting_uni: Opening<quinn::RecvStream>,
    opener: Opener,
    latest: Arc<Mutex<Option<Watch>>>,
}

/// Opens streams.
pub struct Opener {
    connection: quinn::Connection,
    opening: Opening<Pair>,
    opening_uni: Opening<quinn::SendStream>,
}

/// Both directions of a stream.
pub struct Stream<B: Buf> {
    send: Send<B>,
    recv: Recv,
}

/// The sending direction of a stream; resets it when dropped unfinished.
pub struct Send<B: Buf> {
    stream: quinn::SendStream,
    writing: Option<WriteBuf<B>>,
    finished: bool,
}

/// The receiving direction of a stream.
pub struct Recv {
    stream: quinn::RecvStream,
}

impl Connection {
    /// A connection that has been accepted.
    #[must_use]
    pub fn new(connection: quinn::Connection) -> Self {
        Self {
            opener: Opener::new(connection.clone()),
            connection,
            accepting: None,
            accepting_uni: None,
            latest: Arc::default(),
        }
    }

    /// Holds the watch of the stream accepted last.
    #[must_use]
    pub fn latest(&self) -> Arc<Mutex<Option<Watch>>> {
        Arc::clone(&self.latest)
    }
}

impl Opener {
    fn new(connection: quinn::Connection) -> Self {
        Self {
            connection,
            opening: None,
            opening_uni: None,
        }
    }
}

impl<B: Buf> Stream<B> {
    fn new((send, recv): Pair) -> Self {
        Self {
            send: Send::new(send),
            recv: Recv { stream: recv },
        }
    }
}

impl<B: Buf> Send<B> {
    fn new(stream: quinn::SendStream) -> Self {
        Self {
            stream,
            writing: None,
            finished: false,
        }
    }
}

impl<B: Buf> Drop for Send<B> {
    fn drop(&mut self) {
        if !self.finished {
            let code = VarInt::from_u64(Code::H3_INTERNAL_ERROR.value());
            // A stream that is reset or closed already needs no other end.
            let _ = self.stream.reset(code.unwrap_or(VarInt::MAX));
        }
    }
}

impl<B: Buf> quic::Connection<B> for Connection {
    type RecvStream = Recv;
    type OpenStreams = Opener;

    fn poll_accept_recv(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<Result<Recv, ConnectionErrorIncoming>> {
        let connection = self.connection.clone();
        let accept = || async move { connection.accept_uni().await }.boxed();
        let accepting = self.accepting_uni.get_or_insert_with(accept);
        let result = ready!(accepting.as_mut().poll(context));
        self.accepting_uni = None;
        let stream = result.map_err(connection_error)?;
        Poll::Ready(Ok(Recv { stream }))
    }

    fn poll_accept_bidi(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<Result<Stream<B>, ConnectionErrorIncoming>> {
        let connection = self.connection.clone();
        let accept = || async move { connection.accept_bi().await }.boxed();
        let accepting = self.accepting.get_or_insert_with(accept);
        let result = ready!(accepting.as_mut().poll(context));
        self.accepting = None;
        let pair = result.map_err(connection_error)?;
        *self.latest.lock() = Some(pair.0.stopped().boxed().fuse());
        Poll::Ready(Ok(Stream::new(pair)))
    }

    fn opener(&self) -> Opener {
        Opener::new(self.connection.clone())
    }
}

impl<B: Buf> quic::OpenStreams<B> for Connection {
    type BidiStream = Stream<B>;
    type SendStream = Send<B>;

    fn poll_open_bidi(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<Result<Stream<B>, StreamErrorIncoming>> {
        self.opener.poll_open_bidi(context)
    }

    fn poll_open_send(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<Result<Send<B>, StreamErrorIncoming>> {
        self.opener.poll_open_send(context)
    }

    fn close(&mut self, code: Code, reason: &[u8]) {
        close(&self.connection, code, reason);
    }
}

impl<B: Buf> quic::OpenStreams<B> for Opener {
    type BidiStream = Stream<B>;
    type SendStream = Send<B>;

    fn poll_open_bidi(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<Result<Stream<B>, StreamErrorIncoming>> {
        let connection = self.connection.clone();
        let open = || async move { connection.open_bi().await }.boxed();
        let opening = self.opening.get_or_insert_with(open);
        let result = ready!(opening.as_mut().poll(context));
        self.opening = None;
        Poll::Ready(result.map(Stream::new).map_err(lost))
    }

    fn poll_open_send(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<Result<Send<B>, StreamErrorIncoming>> {
        let connection = self.connection.clone();
        let open = || async move { connection.open_uni().await }.boxed();
        let opening = self.opening_uni.get_or_insert_with(open);
        let result = ready!(opening.as_mut().poll(context));
        self.opening_uni = None;
        Poll::Ready(result.map(Send::new).map_err(lost))
    }

    fn close(&mut self, code: Code, reason: &[u8]) {
        close(&self.connection, code, reason);
    }
}

impl<B: Buf> quic::SendStream<B> for Send<B> {
    fn poll_ready(&mut self, context: &mut Context<'_>) -> Poll<Result<(), StreamErrorIncoming>> {
        if let Some(data) = &mut self.writing {
            while data.has_remaining() {
                let stream = Pin::new(&mut self.stream);
                let written = ready!(quinn::SendStream::poll_write(stream, context, data.chunk()));
                data.advance(written.map_err(write_error)?);
            }
        }
        self.writing = None;
        Poll::Ready(Ok(()))
    }

    fn send_data<T: Into<WriteBuf<B>>>(&mut self, data: T) -> Result<(), StreamErrorIncoming> {
        self.writing = Some(data.into());
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
        // A stream that is closed already needs no other end.
        let _ = self.stream.reset(code);
    }

    fn send_id(&self) -> StreamId {
        id(self.stream.id())
    }
}

impl quic::RecvStream for Recv {
    type Buf = Bytes;

    fn poll_data(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<Result<Option<Bytes>, StreamErrorIncoming>> {
        let mut buffer = BytesMut::zeroed(READ_LENGTH);
        let length = ready!(self.stream.poll_read(context, &mut buffer)).map_err(read_error)?;
        if length == 0 {
            return Poll::Ready(Ok(None));
        }
        buffer.truncate(length);
        Poll::Ready(Ok(Some(buffer.freeze())))
    }

    fn stop_sending(&mut self, code: u64) {
        let code = VarInt::from_u64(code).unwrap_or(VarInt::MAX);
        // A stream that is closed already needs no other end.
        let _ = self.stream.stop(code);
    }

    fn recv_id(&self) -> StreamId {
        id(self.stream.id())
    }
}

impl<B: Buf> quic::SendStream<B> for Stream<B> {
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

impl<B: Buf> quic::RecvStream for Stream<B> {
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

impl<B: Buf> quic::BidiStream<B> for Stream<B> {
    type SendStream = Send<B>;
    type RecvStream = Recv;

    fn split(self) -> (Send<B>, Recv) {
        (self.send, self.recv)
    }
}

fn close(connection: &quinn::Connection, code: Code, reason: &[u8]) {
    let code = VarInt::from_u64(code.value()).unwrap_or(VarInt::MAX);
    connection.close(code, reason);
}

fn id(id: quinn::StreamId) -> StreamId {
    // QUIC stream ids fit the type by definition.
    StreamId::try_from(u64::from(id)).unwrap_or_else(|_| unreachable!("stream id {id}"))
}
