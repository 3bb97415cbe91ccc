//! Non-blocking buffered writer to standard output.

use std::collections::VecDeque;

use serde::Serialize;

/// Maximum size of the buffer.
const MAX_BUFFER_BYTES: usize = 64 << 10;
/// Maximum size of one write: the bytes that a pipe accepts without blocking once `poll` reports it
/// writable (`PIPE_BUF` on Linux).
const MAX_WRITE_BYTES: usize = 4_096;

/// Lines that are not yet written to standard output.
#[derive(Debug, Default)]
pub(crate) struct OutputBuffer {
    buffer: VecDeque<u8>,
    /// Number of lines dropped since the last call of `take_dropped_lines`.
    dropped_lines: u32,
}

impl OutputBuffer {
    /// Appends a line as JSON; drops and counts it if the buffer is full or it can't be serialized.
    pub(crate) fn push_line(&mut self, line: &impl Serialize) {
        match serde_json::to_vec(line) {
            Ok(bytes) if self.buffer.len() + bytes.len() < MAX_BUFFER_BYTES => {
                self.buffer.extend(bytes);
                self.buffer.push_back(b'\n');
            }
            Ok(_) | Err(_) => self.dropped_lines += 1,
        }
    }

    /// Returns the number of lines dropped since the previous call, and resets it.
    pub(crate) fn take_dropped_lines(&mut self) -> u32 {
        std::mem::take(&mut self.dropped_lines)
    }

    /// Writes as much of the buffer as standard output accepts without blocking.
    pub(crate) fn flush(&mut self) {
        while !self.buffer.is_empty() && is_writable() {
            let (front, _) = self.buffer.as_slices();
            let chunk = &front[..front.len().min(MAX_WRITE_BYTES)];
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

/// Returns `true` if standard output accepts a write without blocking.
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
