//! Remote procedure call `request_outcome`: returns the outcome of a request that is bound to
//! another agent.

use std::sync::Arc;
use std::time::Duration;

use jsonrpsee::RpcModule;
use lavenderseam_control::{CurrentView, RpcClient, rpc};
use lavenderseam_core::request::{Binding, IdempotencyKey as RequestKey, KnownOutcome};
use lavenderseam_core::value;
use lavenderseam_wire::SymmetricKey;
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

/// RPC client that queries other agents for the outcome of requests that are bound to them.
pub(crate) struct OutcomeClient {
    rpc_client: Arc<RpcClient>,
    current_view: Arc<CurrentView>,
}

impl OutcomeClient {
    pub(crate) fn new(rpc_client: Arc<RpcClient>, current_view: Arc<CurrentView>) -> Self {
        Self {
            rpc_client,
            current_view,
        }
    }

    /// Polls the agent that a request is bound to until the request has ended. The outcome is
    /// unknown if that agent has restarted or the call fails.
    pub(crate) async fn query(
        &self,
        key: &RequestKey,
        binding: &Binding,
    ) -> KnownOutcome<StoredResponse> {
        loop {
            match self.query_once(key, binding).await {
                Some(RequestOutcome::NotRun) => return KnownOutcome::NotRun,
                Some(RequestOutcome::Finished(response)) => {
                    return KnownOutcome::Finished(response);
                }
                Some(RequestOutcome::Running) => {}
                Some(RequestOutcome::Unknown) | None => return KnownOutcome::Unknown,
            }
        }
    }

    /// Calls the agent once; `None` if it has restarted, isn't in the view or the call fails.
    async fn query_once(&self, key: &RequestKey, binding: &Binding) -> Option<RequestOutcome> {
        let view = self.current_view.get();
        let target = view.target_by_tag(binding.target)?;
        if target.incarnation != binding.incarnation {
            return None;
        }
        let query = OutcomeQuery {
            key: key.to_string(),
            binding: binding.to_string(),
        };
        let reply = self.rpc_client.call(target.rpc, METHOD_NAME, &query).await;
        reply.ok()
    }
}

/// Returns the RPC module that serves the method; `key` is the shared key of the installation.
pub(crate) fn rpc_module(
    key: &SymmetricKey,
    idempotency: Arc<IdempotencyStore>,
) -> Result<RpcModule<Arc<IdempotencyStore>>, rpc::Error> {
    let mut module = RpcModule::new(idempotency);
    rpc::register_method(
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
        Ok(KnownOutcome::NotRun) => RequestOutcome::NotRun,
        Ok(KnownOutcome::Finished(response)) => RequestOutcome::Finished(response),
        Ok(KnownOutcome::Unknown) => RequestOutcome::Unknown,
        Ok(KnownOutcome::Running) | Err(_) => RequestOutcome::Running,
    }
}
