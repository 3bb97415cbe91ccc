//! Live feeds that survive the move to another flow.

use std::time::Duration;

use bytes::{Buf, Bytes, BytesMut};
use http::{HeaderValue, Method, StatusCode, header as field};
use lavenderseam_core::request::backoff;

use crate::caller::Head;
use crate::{Caller, Failure, header};

/// Field that names the last event received.
const LAST_EVENT_ID: &str = "last-event-id";
/// Time before the first retry of a feed that can't be opened.
const BACKOFF: Duration = Duration::from_millis(50);
/// Longest time before a retry of a feed that can't be opened.
const BACKOFF_LIMIT: Duration = Duration::from_secs(2);

/// One event of a live feed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// Its id, if it has one.
    pub id: Option<String>,
    /// Its data; several lines are joined by line feeds.
    pub data: String,
}

/// A live feed; it is opened anew after its last event whenever its flow ends.
pub struct Feed {
    caller: Caller,
    path: String,
    open: Option<Head>,
    opened: bool,
    buffer: BytesMut,
    last_id: Option<String>,
}

impl Caller {
    /// A live feed; it is opened by the first call of [`Feed::next`].
    #[must_use]
    pub fn feed(&self, path: &str) -> Feed {
        Feed {
            caller: self.clone(),
            path: path.to_owned(),
            open: None,
            opened: false,
            buffer: BytesMut::new(),
            last_id: None,
        }
    }
}

impl Feed {
    /// The next event, however often the feed has to be opened anew for it.
    ///
    /// # Errors
    ///
    /// Returns the last failure if the feed can't be opened within a time.
    pub async fn next(&mut self, time: Duration) -> Result<Event, Failure> {
        let next = async {
            loop {
                if let Some(event) = self.parse() {
                    return event;
                }
                self.receive().await;
            }
        };
        tokio::time::timeout(time, next)
            .await
            .map_err(|_| Failure::Late)
    }

    /// Takes more data in, or opens the feed.
    async fn receive(&mut self) {
        let Some(open) = &mut self.open else {
            self.open().await;
            return;
        };
        match open.stream.recv_data().await {
            Ok(Some(mut data)) => {
                let data = data.copy_to_bytes(data.remaining());
                self.buffer.extend_from_slice(&data);
            }
            // Ended by the agent, or broken: an event that is not whole comes again.
            Ok(None) | Err(_) => {
                open.lease.link().leave();
                self.open = None;
                self.buffer.clear();
            }
        }
    }

    /// Opens the feed after the last event received.
    async fn open(&mut self) {
        let mut count = 0;
        loop {
            match self.attempt().await {
                Ok(head) => {
                    self.open = Some(head);
                    if std::mem::replace(&mut self.opened, true) {
                        self.caller.shared.statistics.lock().feeds_moved += 1;
                    }
                    return;
                }
                Err(failure) => {
                    let wait = backoff(count, BACKOFF, BACKOFF_LIMIT, rand::random());
                    let wait = wait.max(failure.retry_after().unwrap_or_default());
                    tokio::time::sleep(wait).await;
                    count += 1;
                }
            }
        }
    }

    async fn attempt(&self) -> Result<Head, Failure> {
        let mut request = self.caller.shared.request(Method::GET, &self.path);
        let headers = request.headers_mut();
        let feed = HeaderValue::from_static("text/event-stream");
        headers.insert(field::ACCEPT, feed);
        if let Some(id) = &self.last_id {
            headers.insert(LAST_EVENT_ID, header::value(id));
        }
        let head = self.caller.shared.send(request, Bytes::new(), None).await?;
        if head.response.status() == StatusCode::OK {
            Ok(head)
        } else {
            Err(Failure::Broken)
        }
    }

    /// Takes a whole event out of the buffer.
    fn parse(&mut self) -> Option<Event> {
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
            self.last_id.clone_from(&id);
        }
        Some(Event { id, data })
    }
}
