//! Remote procedure call `request_outcome`: returns the outcome of a request that is bound to
//! another agent.

use std::sync::Arc;
use std::time::Duration;

use jsonrpsee::RpcModule;
use lavenderseam_control::{Remote, Views, remote};
use lavenderseam_core::request::{Binding, Inquiry, Key as RequestKey};
use lavenderseam_core::value;
use lavenderseam_wire::Key;
use serde::{Deserialize, Serialize};
use tokio::time::timeout;

use crate::idempotency_store::IdempotencyStore;
use crate::stored_response::StoredResponse;

/// Name of the JSON-RPC method.
const METHOD_NAME: &str = "request_outcome";
/// Time that a call waits for a running request before it answers that the request is running.
const RUNNING_WAIT: Duration = Duration::from_secs(1);

value! {
    /// Parameters of the call.
    struct OutcomeQuery {
        key: String,
        binding: String,
    }
}

/// Result of the call.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
enum RequestOutcome {
    NotRun,
    Running,
    Unknown,
    Finished(StoredResponse),
}

/// Asks other agents for the outcome of requests that are bound to them.
pub(crate) struct OutcomeClient {
    remote: Arc<Remote>,
    views: Arc<Views>,
}

impl OutcomeClient {
    pub(crate) fn new(remote: Arc<Remote>, views: Arc<Views>) -> Self {
        Self { remote, views }
    }

    /// Polls the agent that a request is bound to until the request has ended. The outcome is
    /// unknown if that agent has restarted or the call fails.
    pub(crate) async fn query(
        &self,
        key: &RequestKey,
        binding: &Binding,
    ) -> Inquiry<StoredResponse> {
        loop {
            match self.query_once(key, binding).await {
                Some(RequestOutcome::NotRun) => return Inquiry::NotRun,
                Some(RequestOutcome::Finished(response)) => return Inquiry::Finished(response),
                Some(RequestOutcome::Running) => {}
                Some(RequestOutcome::Unknown) | None => return Inquiry::Unknown,
            }
        }
    }

    /// Calls the agent once; `None` if it has restarted, isn't in the view or the call fails.
    async fn query_once(&self, key: &RequestKey, binding: &Binding) -> Option<RequestOutcome> {
        let view = self.views.present();
        let target = view.target(binding.target)?;
        if target.incarnation != binding.incarnation {
            return None;
        }
        let query = OutcomeQuery {
            key: key.to_string(),
            binding: binding.to_string(),
        };
        let reply = self.remote.call(target.rpc, METHOD_NAME, &query).await;
        reply.ok()
    }
}

/// Returns the RPC module that serves the method; `key` is the shared key of the installation.
pub(crate) fn rpc_module(
    key: &Key,
    idempotency: Arc<IdempotencyStore>,
) -> Result<RpcModule<Arc<IdempotencyStore>>, remote::Error> {
    let mut module = RpcModule::new(idempotency);
    remote::offer(
        &mut module,
        key,
        METHOD_NAME,
        |idempotency: Arc<Arc<IdempotencyStore>>, query: OutcomeQuery| async move {
            local_outcome(&idempotency, &query).await
        },
    )?;
    Ok(module)
}

/// Returns the outcome that this agent's store has, after waiting for a request that is running.
async fn local_outcome(idempotency: &IdempotencyStore, query: &OutcomeQuery) -> RequestOutcome {
    let (Ok(key), Ok(binding)) = (query.key.parse(), query.binding.parse()) else {
        return RequestOutcome::Unknown;
    };
    match timeout(RUNNING_WAIT, idempotency.outcome(&key, &binding)).await {
        Ok(Inquiry::NotRun) => RequestOutcome::NotRun,
        Ok(Inquiry::Finished(response)) => RequestOutcome::Finished(response),
        Ok(Inquiry::Unknown) => RequestOutcome::Unknown,
        Ok(Inquiry::Running) | Err(_) => RequestOutcome::Running,
    }
}
