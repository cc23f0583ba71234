//! The JSON-RPC methods that the `daisynotch` command calls.

use jsonrpsee::core::{RpcResult, async_trait};
use jsonrpsee::proc_macros::rpc;

use super::OperatorContext;
use super::status::RouterStatus;

/// The JSON-RPC interface of a router.
#[rpc(server, client)]
pub trait OperatorRpc {
    /// Returns the router's state and its view of the fleet.
    #[method(name = "status")]
    async fn status(&self) -> RpcResult<RouterStatus>;

    /// Makes the router leave: it finishes every request and then stops.
    ///
    /// Returns whether this call was the first to make it leave.
    #[method(name = "drain")]
    async fn drain(&self) -> RpcResult<bool>;
}

/// Implements the JSON-RPC methods.
#[derive(Debug)]
pub(super) struct OperatorService {
    context: OperatorContext,
}

impl OperatorService {
    /// Creates the service of one router.
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
        // The channel holds one request; further requests have no effect.
        let is_first = self.context.leave_requests.try_send(()).is_ok();
        Ok(is_first && !is_leaving)
    }
}
