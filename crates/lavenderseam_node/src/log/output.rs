//! Standard output, written without ever waiting for its reader.

use std::collections::VecDeque;

use serde::Serialize;

/// Bytes buffered at most.
const ROOM: usize = 64 << 10;
/// Bytes that a pipe takes without blocking when it is ready for writing (`PIPE_BUF` on Linux).
const CHUNK: usize = 4_096;

/// Lines that wait for the reader.
#[derive(Debug, Default)]
pub(crate) struct Output {
    buffer: VecDeque<u8>,
    lost: u32,
}

impl Output {
    /// Adds a line; one that finds no room is lost and counted.
    pub(crate) fn line(&mut self, line: &impl Serialize) {
        match serde_json::to_vec(line) {
            Ok(bytes) if self.buffer.len() + bytes.len() < ROOM => {
                self.buffer.extend(bytes);
                self.buffer.push_back(b'\n');
            }
            Ok(_) | Err(_) => self.lost += 1,
        }
    }

    /// Lines lost since this was last asked.
    pub(crate) fn take_lost(&mut self) -> u32 {
        std::mem::take(&mut self.lost)
    }

    /// Writes as much as the reader has room for.
    pub(crate) fn flush(&mut self) {
        while !self.buffer.is_empty() && is_writable() {
            let (front, _) = self.buffer.as_slices();
            let chunk = &front[..front.len().min(CHUNK)];
            // SAFETY: the pointer and the length are those of a live slice.
            let written =
                unsafe { libc::write(libc::STDOUT_FILENO, chunk.as_ptr().cast(), chunk.len()) };
            let Ok(written) = usize::try_from(written) else {
                return;
            };
            self.buffer.drain(..written);
        }
    }
}

fn is_writable() -> bool {
    let mut poll = libc::pollfd {
        fd: libc::STDOUT_FILENO,
        events: libc::POLLOUT,
        revents: 0,
    };
    // SAFETY: the pointer is to one live `pollfd`.
    let ready = unsafe { libc::poll(&raw mut poll, 1, 0) };
    ready == 1 && poll.revents & libc::POLLOUT != 0
}
