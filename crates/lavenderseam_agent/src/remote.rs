//! Remote call `request_outcome`: what became of a request that is bound to another agent.
//!
//! Both directions carry a tag under a key derived for remote calls; the answer's tag covers the
//! question's, so that it can't be taken for the answer to another one.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use jsonrpsee::RpcModule;
use jsonrpsee::core::client::ClientT;
use jsonrpsee::http_client::HttpClientBuilder;
use jsonrpsee::types::{ErrorObjectOwned, error::ErrorCode};
use lavenderseam_control::Views;
use lavenderseam_core::request::{Binding, Inquiry, Key as RequestKey};
use lavenderseam_wire::Key;
use serde::{Deserialize, Serialize};

use crate::answer::Answer;
use crate::ledger::Ledger;

/// Name of the method.
const METHOD: &str = "request_outcome";
/// Longest time that the other agent is waited for; a run that takes longer has its own deadline.
const TIMEOUT: Duration = Duration::from_secs(30);
/// Purpose of the key.
const PURPOSE: &str = "remote calls";

/// A text with its tag.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct Sealed {
    content: String,
    tag: [u8; 16],
}

/// The question.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct Question {
    key: String,
    binding: String,
}

/// The answer.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
enum Known {
    NotRun,
    Unknown,
    Finished(Answer),
}

/// Why another agent couldn't be asked.
#[derive(Debug)]
enum Error {
    /// The view has no such run.
    Gone,
    /// The call failed.
    Call(jsonrpsee::core::ClientError),
    /// The content can't be encoded or decoded.
    Malformed,
    /// The tag doesn't match.
    Tag,
}

/// Asks other agents.
pub(crate) struct Inquirer {
    key: Key,
    views: Arc<Views>,
}

impl Inquirer {
    /// `key` is the shared key.
    pub(crate) fn new(key: &Key, views: Arc<Views>) -> Self {
        Self {
            key: key.derive(PURPOSE),
            views,
        }
    }

    /// Asks the agent that a request is bound to; unknown if it can't be asked.
    pub(crate) async fn ask(&self, key: &RequestKey, binding: &Binding) -> Inquiry<Answer> {
        self.call(key, binding).await.unwrap_or(Inquiry::Unknown)
    }

    async fn call(&self, key: &RequestKey, binding: &Binding) -> Result<Inquiry<Answer>, Error> {
        let view = self.views.present();
        let target = view.target(binding.target).ok_or(Error::Gone)?;
        if target.incarnation != binding.incarnation {
            return Err(Error::Gone);
        }
        let question = Question {
            key: key.to_string(),
            binding: binding.to_string(),
        };
        let question = Sealed::new(&self.key, &[], &question)?;
        let client = HttpClientBuilder::default()
            .request_timeout(TIMEOUT)
            .build(format!("http://{}", target.rpc))
            .map_err(Error::Call)?;
        let answer: Sealed = client
            .request(METHOD, [&question])
            .await
            .map_err(Error::Call)?;
        let known: Known = answer.open(&self.key, &question.tag)?;
        Ok(known.into())
    }
}

/// The method as this agent offers it; `key` is the shared key.
pub(crate) fn module(key: &Key, ledger: Arc<Ledger>) -> Option<RpcModule<(Key, Arc<Ledger>)>> {
    let mut module = RpcModule::new((key.derive(PURPOSE), ledger));
    module
        .register_async_method(METHOD, |params, context, _| async move {
            let sealed: Sealed = params.one()?;
            answer(&context.0, &context.1, &sealed).await
        })
        .ok()?;
    Some(module)
}

async fn answer(key: &Key, ledger: &Ledger, sealed: &Sealed) -> Result<Sealed, ErrorObjectOwned> {
    let rejected = |_| ErrorObjectOwned::from(ErrorCode::InvalidParams);
    let question: Question = sealed.open(key, &[]).map_err(rejected)?;
    let request = question.key.parse().map_err(|_| Error::Malformed);
    let request = request.map_err(rejected)?;
    let binding = question.binding.parse().map_err(|_| Error::Malformed);
    let binding = binding.map_err(rejected)?;
    let known = Known::from(ledger.inquire(&request, &binding).await);
    Sealed::new(key, &sealed.tag, &known).map_err(rejected)
}

impl Sealed {
    /// Seals a content that belongs to what `context` identifies.
    fn new(key: &Key, context: &[u8], content: &impl Serialize) -> Result<Self, Error> {
        let content = serde_json::to_string(content).map_err(|_| Error::Malformed)?;
        let tag = key.tag(&covered(context, &content));
        Ok(Self { content, tag })
    }

    fn open<T: for<'a> Deserialize<'a>>(&self, key: &Key, context: &[u8]) -> Result<T, Error> {
        if !key.verifies(&covered(context, &self.content), &self.tag) {
            return Err(Error::Tag);
        }
        serde_json::from_str(&self.content).map_err(|_| Error::Malformed)
    }
}

fn covered(context: &[u8], content: &str) -> Vec<u8> {
    let length = u8::try_from(context.len()).unwrap_or(u8::MAX);
    let mut covered = vec![length];
    covered.extend_from_slice(context);
    covered.extend_from_slice(METHOD.as_bytes());
    covered.extend_from_slice(content.as_bytes());
    covered
}

impl From<Known> for Inquiry<Answer> {
    fn from(known: Known) -> Self {
        match known {
            Known::NotRun => Self::NotRun,
            Known::Unknown => Self::Unknown,
            Known::Finished(answer) => Self::Finished(answer),
        }
    }
}

impl From<Inquiry<Answer>> for Known {
    fn from(inquiry: Inquiry<Answer>) -> Self {
        match inquiry {
            Inquiry::NotRun => Self::NotRun,
            Inquiry::Finished(answer) => Self::Finished(answer),
            Inquiry::Running | Inquiry::Unknown => Self::Unknown,
        }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Gone => formatter.write_str("the agent's run is gone"),
            Self::Call(error) => write!(formatter, "the agent can't be asked: {error}"),
            Self::Malformed => formatter.write_str("the message is malformed"),
            Self::Tag => formatter.write_str("the message is not authenticated"),
        }
    }
}

impl std::error::Error for Error {}
