//! Server-sent event streams that are reopened when their flow ends.

use std::time::Duration;

use bytes::{Buf, Bytes, BytesMut};
use http::{HeaderValue, Method, StatusCode, header as field};
use lavenderseam_core::request::backoff_delay;

use crate::caller::ResponseHead;
use crate::{Caller, Failure, header};

/// Request header with the id of the last event received.
const LAST_EVENT_ID: &str = "last-event-id";
/// Backoff before the first retry to open a feed.
const INITIAL_BACKOFF: Duration = Duration::from_millis(50);
/// Upper limit of the backoff before a retry to open a feed.
const MAX_BACKOFF: Duration = Duration::from_secs(2);

/// Server-sent event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// Event id, if the event has one.
    pub id: Option<String>,
    /// Event data; the values of several `data` lines are joined by line feeds.
    pub data: String,
}

/// Stream of server-sent events; whenever its flow ends, it is reopened after the last event.
pub struct Feed {
    caller: Caller,
    path: String,
    response: Option<ResponseHead>,
    opened_before: bool,
    buffer: BytesMut,
    last_event_id: Option<String>,
}

impl Caller {
    /// Returns a stream of server-sent events, which the first call of [`Feed::next`] opens.
    #[must_use]
    pub fn feed(&self, path: &str) -> Feed {
        Feed {
            caller: self.clone(),
            path: path.to_owned(),
            response: None,
            opened_before: false,
            buffer: BytesMut::new(),
            last_event_id: None,
        }
    }
}

impl Feed {
    /// Returns the next event; reopens the feed as often as necessary.
    ///
    /// # Errors
    ///
    /// Returns [`Failure::DeadlineExceeded`] if no event is received within the timeout.
    pub async fn next(&mut self, timeout: Duration) -> Result<Event, Failure> {
        let next_event = async {
            loop {
                if let Some(event) = self.take_event() {
                    return event;
                }
                self.receive().await;
            }
        };
        tokio::time::timeout(timeout, next_event)
            .await
            .map_err(|_| Failure::DeadlineExceeded)
    }

    /// Receives more data, or opens the feed if it isn't open.
    async fn receive(&mut self) {
        let Some(response) = &mut self.response else {
            self.open().await;
            return;
        };
        match response.stream.recv_data().await {
            Ok(Some(mut data)) => {
                let data = data.copy_to_bytes(data.remaining());
                self.buffer.extend_from_slice(&data);
            }
            // The agent ended the stream or the connection was lost. An incomplete event is sent
            // again on the reopened feed.
            Ok(None) | Err(_) => {
                response.guard.connection().mark_closing();
                self.response = None;
                self.buffer.clear();
            }
        }
    }

    /// Opens the feed after the last event received, with retries.
    async fn open(&mut self) {
        let mut retries = 0;
        loop {
            match self.try_open().await {
                Ok(head) => {
                    self.response = Some(head);
                    if std::mem::replace(&mut self.opened_before, true) {
                        self.caller.shared.statistics.lock().feeds_reopened += 1;
                    }
                    return;
                }
                Err(failure) => {
                    let delay =
                        backoff_delay(retries, INITIAL_BACKOFF, MAX_BACKOFF, rand::random());
                    let delay = delay.max(failure.retry_after().unwrap_or_default());
                    tokio::time::sleep(delay).await;
                    retries += 1;
                }
            }
        }
    }

    /// Attempts to open the feed once.
    async fn try_open(&self) -> Result<ResponseHead, Failure> {
        let mut request = self.caller.shared.request(Method::GET, &self.path);
        let headers = request.headers_mut();
        let event_stream = HeaderValue::from_static("text/event-stream");
        headers.insert(field::ACCEPT, event_stream);
        if let Some(id) = &self.last_event_id {
            headers.insert(LAST_EVENT_ID, header::to_value(id));
        }
        let head = self.caller.shared.send(request, Bytes::new(), None).await?;
        if head.response.status() == StatusCode::OK {
            Ok(head)
        } else {
            Err(Failure::ConnectionLost)
        }
    }

    /// Removes the first complete event from the buffer and parses it.
    fn take_event(&mut self) -> Option<Event> {
        let end = self.buffer.windows(2).position(|pair| pair == b"\n\n")?;
        let block = self.buffer.split_to(end + 2);
        let text = String::from_utf8_lossy(&block);
        let mut id = None;
        let mut data: Vec<&str> = Vec::new();
        for line in text.lines() {
            let (name, value) = line.split_once(':').unwrap_or((line, ""));
            let value = value.strip_prefix(' ').unwrap_or(value);
            match name {
                "id" => id = Some(value.to_owned()),
                "data" => data.push(value),
                _ => {}
            }
        }
        let data = data.join("\n");
        if id.is_some() {
            self.last_event_id.clone_from(&id);
        }
        Some(Event { id, data })
    }
}
