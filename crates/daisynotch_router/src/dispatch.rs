//! Carries an admitted request to an endpoint, following the core's decisions.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use daisynotch_core::{Catalogue, Cost, Dispatch, Input, Refusal, ReleaseReason, RequestId};
use daisynotch_platform::{EndpointClient, EndpointError};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};

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
    pub(crate) idempotent: bool,
    /// Whether the endpoint's statuses 429 and 503 say that the work did not run.
    pub(crate) refusal_statuses: bool,
    pub(crate) first_byte_timeout: Duration,
}

/// Waits for the core's decisions and follows them until an endpoint answers.
pub(crate) async fn run(
    core: &CoreHandle,
    client: &EndpointClient,
    mut admitted: Admitted,
    outbound: &Outbound,
) -> Result<(OpenRequest, Response<Incoming>), NoResponse> {
    let mut open = OpenRequest {
        core: core.clone(),
        request: admitted.request,
        phase: Phase::Waiting,
        usage: Usage::default(),
    };
    loop {
        let dispatch = match admitted.decisions.recv().await {
            Some(Decision::Dispatch(dispatch)) => dispatch,
            Some(Decision::Refuse(refusal)) => {
                open.phase = Phase::Ended;
                return Err(NoResponse::Refused(refusal));
            }
            None => return Err(NoResponse::Unknown("the router is ending".to_owned())),
        };
        open.phase = Phase::Running;
        match attempt(client, &core.catalogue(), dispatch, outbound).await {
            Ok(response) => return Ok((open, response)),
            Err(EndpointError::Unreachable { .. }) => {
                open.phase = Phase::Waiting;
                open.release(ReleaseReason::Unreachable);
            }
            Err(error @ EndpointError::NoAnswer { .. }) => {
                open.finish(ReleaseReason::Failed);
                return Err(NoResponse::Unknown(error.to_string()));
            }
        }
    }
}

async fn attempt(
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
        .send(address, request, outbound.idempotent, timeout)
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
