//! Remote call `request_outcome`: what became of a request that is bound to another agent.

use std::sync::Arc;
use std::time::Duration;

use jsonrpsee::RpcModule;
use lavenderseam_control::{Remote, Views, remote};
use lavenderseam_core::request::{Binding, Inquiry, Key as RequestKey};
use lavenderseam_core::value;
use lavenderseam_wire::Key;
use serde::{Deserialize, Serialize};
use tokio::time::timeout;

use crate::answer::Answer;
use crate::ledger::Ledger;

/// Name of the method.
const METHOD: &str = "request_outcome";
/// Time that a call waits for a running request before it says so.
const WAIT: Duration = Duration::from_secs(1);

value! {
    /// The question.
    struct Question {
        key: String,
        binding: String,
    }
}

/// The answer.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
enum Known {
    NotRun,
    Running,
    Unknown,
    Finished(Answer),
}

/// Asks other agents.
pub(crate) struct Inquirer {
    remote: Arc<Remote>,
    views: Arc<Views>,
}

impl Inquirer {
    pub(crate) fn new(remote: Arc<Remote>, views: Arc<Views>) -> Self {
        Self { remote, views }
    }

    /// Asks the agent that a request is bound to, until the request has ended; unknown if the
    /// agent's run is gone or can't be asked.
    pub(crate) async fn ask(&self, key: &RequestKey, binding: &Binding) -> Inquiry<Answer> {
        loop {
            match self.call(key, binding).await {
                Some(Known::NotRun) => return Inquiry::NotRun,
                Some(Known::Finished(answer)) => return Inquiry::Finished(answer),
                Some(Known::Running) => {}
                Some(Known::Unknown) | None => return Inquiry::Unknown,
            }
        }
    }

    async fn call(&self, key: &RequestKey, binding: &Binding) -> Option<Known> {
        let view = self.views.present();
        let target = view.target(binding.target)?;
        if target.incarnation != binding.incarnation {
            return None;
        }
        let question = Question {
            key: key.to_string(),
            binding: binding.to_string(),
        };
        let answer = self.remote.call(target.rpc, METHOD, &question).await;
        answer.ok()
    }
}

/// The method as this agent offers it; `key` is the shared key.
pub(crate) fn module(
    key: &Key,
    ledger: Arc<Ledger>,
) -> Result<RpcModule<Arc<Ledger>>, remote::Error> {
    let mut module = RpcModule::new(ledger);
    remote::offer(
        &mut module,
        key,
        METHOD,
        |ledger: Arc<Arc<Ledger>>, question: Question| async move { answer(&ledger, &question).await },
    )?;
    Ok(module)
}

async fn answer(ledger: &Ledger, question: &Question) -> Known {
    let (Ok(key), Ok(binding)) = (question.key.parse(), question.binding.parse()) else {
        return Known::Unknown;
    };
    match timeout(WAIT, ledger.inquire(&key, &binding)).await {
        Ok(Inquiry::NotRun) => Known::NotRun,
        Ok(Inquiry::Finished(answer)) => Known::Finished(answer),
        Ok(Inquiry::Unknown) => Known::Unknown,
        Ok(Inquiry::Running) | Err(_) => Known::Running,
    }
}
