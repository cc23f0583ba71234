//! The calls that the operators' command makes.

use jsonrpsee::core::{RpcResult, async_trait};
use jsonrpsee::proc_macros::rpc;

use super::OperatorContext;
use super::status::RouterStatus;

/// JSON-RPC towards one router.
#[rpc(server, client)]
pub trait OperatorRpc {
    /// Tells what the router knows.
    #[method(name = "status")]
    async fn status(&self) -> RpcResult<RouterStatus>;

    /// Makes the router leave: it finishes every request and then ends.
    ///
    /// Gives whether this call was the first to ask.
    #[method(name = "drain")]
    async fn drain(&self) -> RpcResult<bool>;
}

/// Answers the calls.
#[derive(Debug)]
pub(super) struct OperatorService {
    context: OperatorContext,
}

impl OperatorService {
    /// Serves one router.
    pub(super) fn new(context: OperatorContext) -> Self {
        Self { context }
    }
}

#[async_trait]
impl OperatorRpcServer for OperatorService {
    async fn status(&self) -> RpcResult<RouterStatus> {
        Ok(RouterStatus::of(&self.context).await)
    }

    async fn drain(&self) -> RpcResult<bool> {
        let is_leaving = self.context.core.status().await.is_leaving;
        // The channel holds one request; a second one has nothing to add.
        let is_first = self.context.leave_requests.try_send(()).is_ok();
        Ok(is_first && !is_leaving)
    }
}
