//! Carries an admitted request to an endpoint, following the core's decisions.

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

/// What a dispatch measured.
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

/// An open request; dropping it tells the core that its caller left.
#[derive(Debug)]
pub(crate) struct OpenRequest {
    core: CoreHandle,
    request: RequestId,
    phase: Phase,
    usage: Usage,
}

impl OpenRequest {
    /// Notes and reports how the work goes on.
    pub(crate) fn report(&mut self, usage: Usage) {
        self.usage = usage;
        self.core.input(Input::Progress {
            request: self.request,
            cost: usage.cost,
            first_token_ms: usage.first_token_ms,
            token_gap_us: usage.token_gap_us,
        });
    }

    /// Notes how the work goes on, without a message.
    pub(crate) fn note(&mut self, usage: Usage) {
        self.usage = usage;
    }

    /// Takes the answer of the attempt that began first.
    fn answer(self, dispatch: Dispatch, begun: Begun, outbound: &Outbound) -> Answer {
        if outbound.awaits_first_token {
            self.core.input(Input::Answered {
                request: self.request,
                ticket: dispatch.ticket,
            });
        }
        Answer {
            open: self,
            head: begun.head,
            first: begun.first,
            incoming: begun.incoming,
            dispatched_at: begun.dispatched_at,
        }
    }

    /// Tells the core that one of two attempts ended without an answer.
    fn attempt_failed(&self, dispatch: Dispatch, error: &EndpointError) {
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

    /// Ends the request and gives its slot back.
    pub(crate) fn finish(&mut self, reason: ReleaseReason) {
        self.phase = Phase::Ended;
        self.release(reason);
    }

    fn release(&self, reason: ReleaseReason) {
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
            Phase::Running => self.release(ReleaseReason::Failed),
            Phase::Ended => {}
        }
    }
}

/// How an attempt to get an answer ended without one.
#[derive(Debug)]
pub(crate) enum NoResponse {
    /// The work did not run.
    Refused(Refusal),
    /// The work ran or may have run.
    Unknown(String),
}

/// What is sent to an endpoint; built anew for each attempt.
pub(crate) struct Outbound {
    pub(crate) head: hyper::http::request::Parts,
    pub(crate) body: Bytes,
    pub(crate) connection_use: ConnectionUse,
    /// Whether an answer begins with its first token, and not with its head.
    pub(crate) awaits_first_token: bool,
    /// Whether the endpoint's statuses 429 and 503 say that the work did not run.
    pub(crate) refusal_statuses: bool,
    pub(crate) first_byte_timeout: Duration,
}

/// An endpoint's answer, as far as it has come.
pub(crate) struct Answer {
    pub(crate) open: OpenRequest,
    pub(crate) head: hyper::http::response::Parts,
    /// The first bytes of a stream, which decided between two attempts.
    pub(crate) first: Option<Bytes>,
    pub(crate) incoming: Incoming,
    pub(crate) dispatched_at: Instant,
}

/// What one attempt got.
struct Begun {
    head: hyper::http::response::Parts,
    first: Option<Bytes>,
    incoming: Incoming,
    dispatched_at: Instant,
}

/// How one attempt went.
struct Attempted {
    dispatch: Dispatch,
    begun: Result<Begun, EndpointError>,
}

/// Waits for the core's decisions and follows them until an endpoint answers.
///
/// The core may send a second dispatch while the first awaits its first token;
/// then the first attempt to answer wins, and dropping the other cancels it.
pub(crate) async fn run(
    core: &CoreHandle,
    client: &EndpointClient,
    mut admitted: Admitted,
    outbound: &Outbound,
) -> Result<Answer, NoResponse> {
    let mut open = OpenRequest {
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
                    open.phase = Phase::Running;
                    attempts.push(attempt(client, core.catalogue(), dispatch, outbound));
                }
                Some(Decision::Refuse(refusal)) => {
                    open.phase = Phase::Ended;
                    return Err(NoResponse::Refused(refusal));
                }
                None => return Err(NoResponse::Unknown("the router is ending".to_owned())),
            },
            Some(attempted) = attempts.next() => {
                let error = match attempted.begun {
                    Ok(begun) => return Ok(open.answer(attempted.dispatch, begun, outbound)),
                    Err(error) => error,
                };
                if !attempts.is_empty() {
                    open.attempt_failed(attempted.dispatch, &error);
                    continue;
                }
                match error {
                    EndpointError::Unreachable { .. } => {
                        open.phase = Phase::Waiting;
                        open.release(ReleaseReason::Unreachable);
                    }
                    EndpointError::NoAnswer { .. } => {
                        open.finish(ReleaseReason::Failed);
                        return Err(NoResponse::Unknown(error.to_string()));
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
) -> Attempted {
    let begun = begin(client, &catalogue, dispatch, outbound).await;
    Attempted { dispatch, begun }
}

/// Sends a request and waits until its answer begins.
async fn begin(
    client: &EndpointClient,
    catalogue: &Catalogue,
    dispatch: Dispatch,
    outbound: &Outbound,
) -> Result<Begun, EndpointError> {
    let dispatched_at = Instant::now();
    let response = send(client, catalogue, dispatch, outbound).await?;
    let (head, mut incoming) = response.into_parts();
    let mut first = None;
    if outbound.awaits_first_token && head.status.is_success() {
        let address = catalogue.endpoints[&dispatch.endpoint].address;
        let waited = dispatched_at.elapsed();
        let timeout = outbound.first_byte_timeout.saturating_sub(waited);
        first = Some(first_bytes(&mut incoming, address, timeout).await?);
    }
    Ok(Begun {
        head,
        first,
        incoming,
        dispatched_at,
    })
}

/// Waits for the first bytes of a body.
async fn first_bytes(
    incoming: &mut Incoming,
    address: SocketAddr,
    timeout: Duration,
) -> Result<Bytes, EndpointError> {
    let no_answer = |reason: String| EndpointError::NoAnswer { address, reason };
    let read = async {
        while let Some(frame) = incoming.frame().await {
            let frame = frame.map_err(|error| no_answer(error.to_string()))?;
            if let Ok(bytes) = frame.into_data() {
                return Ok(bytes);
            }
        }
        Err(no_answer(
            "the stream ended before its first token".to_owned(),
        ))
    };
    let read = tokio::time::timeout(timeout, read).await;
    read.map_err(|_| no_answer("the first token took too long".to_owned()))?
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
            reason: "the objects no longer have it".to_owned(),
        });
    };
    let address = endpoint.address;
    let body = Full::new(outbound.body.clone());
    let request = Request::from_parts(outbound.head.clone(), body);
    let timeout = outbound.first_byte_timeout;
    let response = client
        .send(address, request, outbound.connection_use, timeout)
        .await?;
    let refuses = matches!(
        response.status(),
        StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE
    );
    if refuses && outbound.refusal_statuses {
        let reason = format!("it refused with status {}", response.status());
        return Err(EndpointError::Unreachable { address, reason });
    }
    Ok(response)
}
