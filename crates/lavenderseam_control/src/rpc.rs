//! Authenticated JSON-RPC calls between the processes of one installation.
//!
//! Parameters and results travel as JSON text with an authentication tag, a keyed hash under the
//! shared key. The tag of a response also covers the tag of its request, so a response can't be
//! replayed as the response to another request. A request may be delivered twice, so methods must
//! be idempotent.

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
use lavenderseam_wire::SymmetricKey;
use parking_lot::Mutex;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Timeout for a whole call, including the connection.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum size of a request or response body.
pub(crate) const MAX_MESSAGE_BYTES: u32 = 16 << 20;
/// Maximum number of cached clients, one for each address. The whole cache is cleared when it is
/// full.
const MAX_CACHED_CLIENTS: usize = 512;
/// JSON-RPC error code for a request whose authentication tag doesn't match.
const UNAUTHENTICATED_CODE: i32 = -32001;
/// JSON-RPC error code for a request that can't be parsed.
const MALFORMED_CODE: i32 = -32002;

value! {
    /// JSON text with its authentication tag in hexadecimal digits.
    pub struct AuthenticatedPayload {
        body: String,
        tag: String,
    }
}

/// Error of an RPC call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Error {
    /// The process can't be reached or didn't respond in time.
    Unreachable,
    /// The authentication tag doesn't match: the other process doesn't hold the shared key.
    Unauthenticated,
    /// A request or response can't be parsed.
    Malformed,
    /// The other process rejected the call; holds its JSON-RPC error code.
    Rejected(i32),
}

/// Client for RPC methods of other processes; a resource of every daemon.
pub struct RpcClient {
    key: SymmetricKey,
    clients: Mutex<HashMap<SocketAddr, HttpClient>>,
}

impl RpcClient {
    /// Creates a client that authenticates its calls with a key derived from the shared key.
    #[must_use]
    pub fn new(key: &SymmetricKey) -> Self {
        Self {
            key: derive_rpc_key(key),
            clients: Mutex::default(),
        }
    }

    /// Calls a method of the process at an address.
    ///
    /// # Errors
    ///
    /// Returns [`Error`]. After [`Error::Unreachable`] the method may have run or not.
    pub async fn call<P: Serialize, A: DeserializeOwned>(
        &self,
        address: SocketAddr,
        method: &'static str,
        parameters: &P,
    ) -> Result<A, Error> {
        let request = AuthenticatedPayload::new(&self.key, method, parameters)?;
        let response_context = format!("{method} {}", request.tag);
        let client = self.client(address)?;
        let call = client.request::<AuthenticatedPayload, _>(method, [request]);
        let result = tokio::time::timeout(CALL_TIMEOUT, call).await;
        let response = result.map_err(|_| Error::Unreachable)?;
        response
            .map_err(|error| convert_client_error(&error))?
            .verify(&self.key, &response_context)
    }

    /// Returns the cached client for an address, or creates one.
    fn client(&self, address: SocketAddr) -> Result<HttpClient, Error> {
        let mut clients = self.clients.lock();
        if let Some(client) = clients.get(&address) {
            return Ok(client.clone());
        }
        if clients.len() >= MAX_CACHED_CLIENTS {
            clients.clear();
        }
        let client = HttpClientBuilder::default()
            .connect_timeout(CONNECT_TIMEOUT)
            .request_timeout(CALL_TIMEOUT)
            .max_request_size(MAX_MESSAGE_BYTES)
            .max_response_size(MAX_MESSAGE_BYTES)
            .build(format!("http://{address}"))
            .map_err(|_| Error::Unreachable)?;
        clients.insert(address, client.clone());
        Ok(client)
    }
}

impl AuthenticatedPayload {
    /// Serializes a value and authenticates it together with its context.
    fn new<T: Serialize>(key: &SymmetricKey, context: &str, value: &T) -> Result<Self, Error> {
        let body = serde_json::to_string(value).map_err(|_| Error::Malformed)?;
        let tag = authentication_tag(key, context, &body);
        Ok(Self { body, tag })
    }

    /// Verifies the authentication tag and parses the body.
    fn verify<T: DeserializeOwned>(&self, key: &SymmetricKey, context: &str) -> Result<T, Error> {
        // Comparing keyed hashes of the tags, rather than the tags themselves, leaks no timing
        // information about the position where they differ.
        let expected = authentication_tag(key, context, &self.body);
        if key.authentication_tag(expected.as_bytes())
            != key.authentication_tag(self.tag.as_bytes())
        {
            return Err(Error::Unauthenticated);
        }
        serde_json::from_str(&self.body).map_err(|_| Error::Malformed)
    }
}

/// Registers a method that other processes of the installation can call.
///
/// # Errors
///
/// Returns [`Error::Malformed`] if the module already has a method of this name.
pub fn register_method<C, P, A, F>(
    module: &mut RpcModule<C>,
    key: &SymmetricKey,
    method: &'static str,
    handler: impl Fn(std::sync::Arc<C>, P) -> F + Clone + Send + Sync + 'static,
) -> Result<(), Error>
where
    C: Send + Sync + 'static,
    P: DeserializeOwned + Send + 'static,
    A: Serialize + Send + 'static,
    F: Future<Output = A> + Send,
{
    let key = derive_rpc_key(key);
    let registered = module.register_async_method(method, move |parameters, context, _| {
        let key = key.clone();
        let handler = handler.clone();
        async move {
            let request: AuthenticatedPayload = parameters
                .one()
                .map_err(|_| error_object(&Error::Malformed))?;
            let parameters = request
                .verify(&key, method)
                .map_err(|cause| error_object(&cause))?;
            let result = handler(context, parameters).await;
            let response_context = format!("{method} {}", request.tag);
            AuthenticatedPayload::new(&key, &response_context, &result)
                .map_err(|cause| error_object(&cause))
        }
    });
    registered.map(|_| ()).map_err(|_| Error::Malformed)
}

/// Derives the key that authenticates RPC messages.
fn derive_rpc_key(key: &SymmetricKey) -> SymmetricKey {
    key.derive("remote calls")
}

/// Returns the authentication tag of a body in its context, in hexadecimal digits.
fn authentication_tag(key: &SymmetricKey, context: &str, body: &str) -> String {
    let text = format!("{context}\n{body}");
    let tag = key.authentication_tag(text.as_bytes());
    tag.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Converts an error to the JSON-RPC error of a response. Its message is sent to the caller.
fn error_object(cause: &Error) -> ErrorObjectOwned {
    let code = match cause {
        Error::Unauthenticated => UNAUTHENTICATED_CODE,
        _ => MALFORMED_CODE,
    };
    ErrorObjectOwned::owned(code, cause.to_string(), None::<()>)
}

/// Converts an error of the JSON-RPC client.
fn convert_client_error(error: &ClientError) -> Error {
    match error {
        ClientError::Call(object) => Error::Rejected(object.code()),
        ClientError::ParseError(_) => Error::Malformed,
        _ => Error::Unreachable,
    }
}

impl fmt::Display for Error {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreachable => formatter.write_str("the process is unreachable or timed out"),
            Self::Unauthenticated => formatter.write_str("the call is not authenticated"),
            Self::Malformed => formatter.write_str("the call or its answer can't be read"),
            Self::Rejected(code) => write!(
                formatter,
                "the process rejected the call with JSON-RPC error {code}"
            ),
        }
    }
}

impl std::error::Error for Error {}
