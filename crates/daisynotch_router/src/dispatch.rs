//! Sends admitted requests to endpoints as the core decides, including retries and hedges.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use daisynotch_core::{Catalogue, Cost, Dispatch, Input, Refusal, ReleaseReason, RequestId};
use daisynotch_platform::{ConnectionUse, EndpointClient, EndpointError};
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use tokio::time::Instant;

use crate::core_task::{Admitted, CoreHandle, Decision};

/// The cost and the latencies that were measured for a request so far.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Usage {
    pub(crate) cost: Cost,
    pub(crate) first_token_ms: Option<u32>,
    pub(crate) token_gap_us: Option<u32>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    Waiting,
    Running,
    Ended,
}

/// A request that has not ended. Dropping it reports to the core that the caller left or, if
/// an endpoint runs the request, that it failed.
#[derive(Debug)]
pub(crate) struct OpenRequest {
    core: CoreHandle,
    request: RequestId,
    phase: Phase,
    usage: Usage,
}

impl OpenRequest {
    /// Records the usage and reports it to the core.
    pub(crate) fn report_usage(&mut self, usage: Usage) {
        self.usage = usage;
        self.core.input(Input::Progress {
            request: self.request,
            cost: usage.cost,
            first_token_ms: usage.first_token_ms,
            token_gap_us: usage.token_gap_us,
        });
    }

    /// Records the usage without reporting it; the next report or the end includes it.
    pub(crate) fn record_usage(&mut self, usage: Usage) {
        self.usage = usage;
    }

    /// Builds the response from the attempt whose response started first.
    fn into_response(
        self,
        dispatch: Dispatch,
        start: ResponseStart,
        outbound: &Outbound,
    ) -> EndpointResponse {
        if outbound.awaits_first_token {
            self.core.input(Input::Answered {
                request: self.request,
                ticket: dispatch.ticket,
            });
        }
        EndpointResponse {
            open_request: self,
            head: start.head,
            first_bytes: start.first_bytes,
            incoming: start.incoming,
            dispatched_at: start.dispatched_at,
        }
    }

    /// Reports to the core that one of two attempts failed while the other one continues.
    fn report_failed_attempt(&self, dispatch: Dispatch, error: &EndpointError) {
        let reason = match error {
            EndpointError::Unreachable { .. } => ReleaseReason::Unreachable,
            EndpointError::NoAnswer { .. } => ReleaseReason::Failed,
        };
        self.core.input(Input::AttemptFailed {
            request: self.request,
            ticket: dispatch.ticket,
            reason,
        });
    }

    /// Ends the request and releases its slot.
    pub(crate) fn finish(&mut self, reason: ReleaseReason) {
        self.phase = Phase::Ended;
        self.send_finished(reason);
    }

    fn send_finished(&self, reason: ReleaseReason) {
        self.core.input(Input::Finished {
            request: self.request,
            reason,
            cost: self.usage.cost,
            first_token_ms: self.usage.first_token_ms,
            token_gap_us: self.usage.token_gap_us,
        });
    }
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        match self.phase {
            Phase::Waiting => self.core.input(Input::CallerLeft(self.request)),
            Phase::Running => self.send_finished(ReleaseReason::Failed),
            Phase::Ended => {}
        }
    }
}

/// Why a request got no response from an endpoint.
#[derive(Debug)]
pub(crate) enum DispatchError {
    /// The work did not run.
    Refused(Refusal),
    /// The work ran or may have run.
    Unknown(String),
}

/// The request to send to an endpoint. Each attempt sends a copy.
pub(crate) struct Outbound {
    pub(crate) head: hyper::http::request::Parts,
    pub(crate) body: Bytes,
    pub(crate) connection_use: ConnectionUse,
    /// Whether the response counts as started at its first token instead of at its head.
    pub(crate) awaits_first_token: bool,
    /// Whether a response status of 429 or 503 means that the endpoint did not run the work.
    pub(crate) refusal_statuses: bool,
    pub(crate) first_byte_timeout: Duration,
}

/// The started response of an endpoint; the rest of its body is still to be read.
pub(crate) struct EndpointResponse {
    pub(crate) open_request: OpenRequest,
    pub(crate) head: hyper::http::response::Parts,
    /// The first bytes of a stream, whose arrival decided between two attempts.
    pub(crate) first_bytes: Option<Bytes>,
    pub(crate) incoming: Incoming,
    pub(crate) dispatched_at: Instant,
}

/// The start of the response to one attempt.
struct ResponseStart {
    head: hyper::http::response::Parts,
    first_bytes: Option<Bytes>,
    incoming: Incoming,
    dispatched_at: Instant,
}

/// The outcome of one attempt.
struct AttemptResult {
    dispatch: Dispatch,
    result: Result<ResponseStart, EndpointError>,
}

/// Carries out the core's decisions about a request until an endpoint responds.
///
/// The core may issue a second dispatch (a hedge) while the first attempt awaits its first
/// token. The attempt whose response starts first wins; dropping the other one cancels it.
pub(crate) async fn run(
    core: &CoreHandle,
    client: &EndpointClient,
    mut admitted: Admitted,
    outbound: &Outbound,
) -> Result<EndpointResponse, DispatchError> {
    let mut request = OpenRequest {
        core: core.clone(),
        request: admitted.request,
        phase: Phase::Waiting,
        usage: Usage::default(),
    };
    let mut attempts = FuturesUnordered::new();
    loop {
        tokio::select! {
            decision = admitted.decisions.recv() => match decision {
                Some(Decision::Dispatch(dispatch)) => {
                    if outbound.awaits_first_token && attempts.is_empty() {
                        core.input(Input::Sent(admitted.request));
                    }
                    request.phase = Phase::Running;
                    attempts.push(attempt(client, core.catalogue(), dispatch, outbound));
                }
                Some(Decision::Refuse(refusal)) => {
                    request.phase = Phase::Ended;
                    return Err(DispatchError::Refused(refusal));
                }
                None => return Err(DispatchError::Unknown("the router is ending".to_owned())),
            },
            Some(ended) = attempts.next() => {
                let error = match ended.result {
                    Ok(start) => return Ok(request.into_response(ended.dispatch, start, outbound)),
                    Err(error) => error,
                };
                if !attempts.is_empty() {
                    request.report_failed_attempt(ended.dispatch, &error);
                    continue;
                }
                match error {
                    EndpointError::Unreachable { .. } => {
                        request.phase = Phase::Waiting;
                        request.send_finished(ReleaseReason::Unreachable);
                    }
                    EndpointError::NoAnswer { .. } => {
                        request.finish(ReleaseReason::Failed);
                        return Err(DispatchError::Unknown(error.to_string()));
                    }
                }
            }
        }
    }
}

async fn attempt(
    client: &EndpointClient,
    catalogue: Arc<Catalogue>,
    dispatch: Dispatch,
    outbound: &Outbound,
) -> AttemptResult {
    let result = send_until_response_starts(client, &catalogue, dispatch, outbound).await;
    AttemptResult { dispatch, result }
}

/// Sends a request and waits until its response starts.
async fn send_until_response_starts(
    client: &EndpointClient,
    catalogue: &Catalogue,
    dispatch: Dispatch,
    outbound: &Outbound,
) -> Result<ResponseStart, EndpointError> {
    let dispatched_at = Instant::now();
    let response = send(client, catalogue, dispatch, outbound).await?;
    let (head, mut incoming) = response.into_parts();
    let mut first_bytes = None;
    if outbound.awaits_first_token && head.status.is_success() {
        let address = catalogue.endpoints[&dispatch.endpoint].address;
        let waited = dispatched_at.elapsed();
        let timeout = outbound.first_byte_timeout.saturating_sub(waited);
        first_bytes = Some(read_first_bytes(&mut incoming, address, timeout).await?);
    }
    Ok(ResponseStart {
        head,
        first_bytes,
        incoming,
        dispatched_at,
    })
}

/// Waits for the first bytes of a response body.
async fn read_first_bytes(
    incoming: &mut Incoming,
    address: SocketAddr,
    timeout: Duration,
) -> Result<Bytes, EndpointError> {
    let no_response = |reason: String| EndpointError::NoAnswer { address, reason };
    let read = async {
        while let Some(frame) = incoming.frame().await {
            let frame = frame.map_err(|error| no_response(error.to_string()))?;
            if let Ok(bytes) = frame.into_data() {
                return Ok(bytes);
            }
        }
        Err(no_response(
            "the stream ended before its first token".to_owned(),
        ))
    };
    let read = tokio::time::timeout(timeout, read).await;
    read.map_err(|_| no_response("the first token took too long".to_owned()))?
}

async fn send(
    client: &EndpointClient,
    catalogue: &Catalogue,
    dispatch: Dispatch,
    outbound: &Outbound,
) -> Result<Response<Incoming>, EndpointError> {
    let Some(endpoint) = catalogue.endpoints.get(&dispatch.endpoint) else {
        return Err(EndpointError::Unreachable {
            address: SocketAddr::from(([0, 0, 0, 0], 0)),
            reason: "the objects no longer contain the endpoint".to_owned(),
        });
    };
    let address = endpoint.address;
    let body = Full::new(outbound.body.clone());
    let request = Request::from_parts(outbound.head.clone(), body);
    let timeout = outbound.first_byte_timeout;
    let response = client
        .send(address, request, outbound.connection_use, timeout)
        .await?;
    let is_refusal = matches!(
        response.status(),
        StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE
    );
    if is_refusal && outbound.refusal_statuses {
        let reason = format!(
            "the endpoint refused the request with status {}",
            response.status()
        );
        return Err(EndpointError::Unreachable { address, reason });
    }
    Ok(response)
}
