//! Remote calls between the processes of one installation.
//!
//! Parameters and answers travel as JSON text under a tag keyed with the shared key. The tag of an
//! answer also covers the tag of its call, so an answer can't be taken for that of another call.
//! The same call may arrive twice, so methods must be idempotent.

use std::collections::HashMap;
use std::fmt;
use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use jsonrpsee::RpcModule;
use jsonrpsee::core::client::{ClientT, Error as ClientError};
use jsonrpsee::http_client::{HttpClient, HttpClientBuilder};
use jsonrpsee::types::ErrorObjectOwned;
use lavenderseam_core::value;
use lavenderseam_wire::Key;
use parking_lot::Mutex;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Longest time to open a connection.
const CONNECT_LIMIT: Duration = Duration::from_millis(500);
/// Longest time for a call.
const CALL_LIMIT: Duration = Duration::from_secs(2);
/// Largest message, in bytes.
pub(crate) const MESSAGE_LIMIT: u32 = 16 << 20;
/// Clients that are kept; all are dropped when there are more.
const CLIENT_LIMIT: usize = 512;
/// JSON-RPC error code of a call without the installation's tag.
const UNAUTHENTICATED: i32 = -32001;
/// JSON-RPC error code of a call that can't be read.
const MALFORMED: i32 = -32002;

value! {
    /// A text with its tag.
    pub struct Sealed {
        body: String,
        tag: String,
    }
}

/// Why a remote call failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Error {
    /// The process can't be reached, or didn't answer in time.
    Unreachable,
    /// The tag doesn't match: the other side doesn't hold the key.
    Unauthenticated,
    /// A call or an answer can't be read.
    Malformed,
    /// The other side refused the call; holds its JSON-RPC error code.
    Refused(i32),
}

/// Calls methods of other processes.
pub struct Remote {
    key: Key,
    clients: Mutex<HashMap<SocketAddr, HttpClient>>,
}

impl Remote {
    /// Calls under the key that the installation shares.
    #[must_use]
    pub fn new(key: &Key) -> Self {
        Self {
            key: purpose(key),
            clients: Mutex::default(),
        }
    }

    /// Calls a method of the process at an address.
    ///
    /// # Errors
    ///
    /// Returns [`Error`]; after [`Error::Unreachable`] the method may have run.
    pub async fn call<P: Serialize, A: DeserializeOwned>(
        &self,
        address: SocketAddr,
        method: &'static str,
        parameters: &P,
    ) -> Result<A, Error> {
        let sealed = Sealed::new(&self.key, method, parameters)?;
        let context = format!("{method} {}", sealed.tag);
        let client = self.client(address)?;
        let call = client.request::<Sealed, _>(method, [sealed]);
        let answered = tokio::time::timeout(CALL_LIMIT, call).await;
        let answer = answered.map_err(|_| Error::Unreachable)?;
        answer
            .map_err(|error| failure(&error))?
            .open(&self.key, &context)
    }

    fn client(&self, address: SocketAddr) -> Result<HttpClient, Error> {
        let mut clients = self.clients.lock();
        if let Some(client) = clients.get(&address) {
            return Ok(client.clone());
        }
        if clients.len() >= CLIENT_LIMIT {
            clients.clear();
        }
        let client = HttpClientBuilder::default()
            .connect_timeout(CONNECT_LIMIT)
            .request_timeout(CALL_LIMIT)
            .max_request_size(MESSAGE_LIMIT)
            .max_response_size(MESSAGE_LIMIT)
            .build(format!("http://{address}"))
            .map_err(|_| Error::Unreachable)?;
        clients.insert(address, client.clone());
        Ok(client)
    }
}

impl Sealed {
    fn new<T: Serialize>(key: &Key, context: &str, value: &T) -> Result<Self, Error> {
        let body = serde_json::to_string(value).map_err(|_| Error::Malformed)?;
        let tag = tag(key, context, &body);
        Ok(Self { body, tag })
    }

    fn open<T: DeserializeOwned>(&self, key: &Key, context: &str) -> Result<T, Error> {
        // Comparing keyed hashes of the tags takes the same time wherever they differ.
        let expected = tag(key, context, &self.body);
        if key.tag(expected.as_bytes()) != key.tag(self.tag.as_bytes()) {
            return Err(Error::Unauthenticated);
        }
        serde_json::from_str(&self.body).map_err(|_| Error::Malformed)
    }
}

/// Offers a method to other processes of the installation.
///
/// # Errors
///
/// Returns [`Error::Malformed`] if the module already has a method of this name.
pub fn offer<C, P, A, F>(
    module: &mut RpcModule<C>,
    key: &Key,
    method: &'static str,
    answer: impl Fn(std::sync::Arc<C>, P) -> F + Clone + Send + Sync + 'static,
) -> Result<(), Error>
where
    C: Send + Sync + 'static,
    P: DeserializeOwned + Send + 'static,
    A: Serialize + Send + 'static,
    F: Future<Output = A> + Send,
{
    let key = purpose(key);
    let registered = module.register_async_method(method, move |parameters, context, _| {
        let key = key.clone();
        let answer = answer.clone();
        async move {
            let sealed: Sealed = parameters.one().map_err(|_| error(&Error::Malformed))?;
            let asked = sealed.open(&key, method).map_err(|cause| error(&cause))?;
            let given = answer(context, asked).await;
            let of_call = format!("{method} {}", sealed.tag);
            Sealed::new(&key, &of_call, &given).map_err(|cause| error(&cause))
        }
    });
    registered.map(|_| ()).map_err(|_| Error::Malformed)
}

fn purpose(key: &Key) -> Key {
    key.derive("remote calls")
}

fn tag(key: &Key, context: &str, body: &str) -> String {
    let text = format!("{context}\n{body}");
    let tag = key.tag(text.as_bytes());
    tag.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn error(cause: &Error) -> ErrorObjectOwned {
    let code = match cause {
        Error::Unauthenticated => UNAUTHENTICATED,
        _ => MALFORMED,
    };
    ErrorObjectOwned::owned(code, cause.to_string(), None::<()>)
}

fn failure(error: &ClientError) -> Error {
    match error {
        ClientError::Call(object) => Error::Refused(object.code()),
        ClientError::ParseError(_) => Error::Malformed,
        _ => Error::Unreachable,
    }
}

impl fmt::Display for Error {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreachable => formatter.write_str("the process didn't answer"),
            Self::Unauthenticated => formatter.write_str("the call is not authenticated"),
            Self::Malformed => formatter.write_str("the call or its answer can't be read"),
            Self::Refused(code) => write!(formatter, "the process refused the call ({code})"),
        }
    }
}

impl std::error::Error for Error {}
