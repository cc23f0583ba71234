//! Non-idempotent calls that carry an idempotency key.
//!
//! The core's [`IdempotencyRecords`] decide what to do with a key. This module forwards a
//! call to the router that owns its key, claims keys that callers chose, and runs the work
//! to completion whether or not the caller still waits for it.
//! `docs/operations/idempotency.md` describes what callers see.

use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use daisynotch_core::{
    ClaimSeq, IdempotencyKey, IdempotencyRecords, IdempotencySettings, KeyDecision, KeyOutcome,
    KeyPrefix, Peer, Refusal, ReleaseReason, RequestFingerprint, TeamId,
};
use daisynotch_platform::{ClaimStore, Claimed, ConnectionUse};
use http_body_util::{BodyExt, Full};
use hyper::HeaderMap;
use hyper::body::Incoming;
use hyper::header::{CONTENT_LENGTH, HeaderName, HeaderValue};
use viz::{Body, Response, StatusCode};

use super::App;
use super::inbound::strip_unforwarded_headers;
use super::plain::PlainCall;
use super::response::ApiError;
use crate::clock::Clock;
use crate::dispatch::{self, DispatchError, EndpointResponse};

/// The header that carries an idempotency key.
pub(super) const KEY_HEADER: HeaderName = HeaderName::from_static("idempotency-key");
/// Marks a call that another router forwarded; such a call is never forwarded again.
pub(super) const FORWARDED_HEADER: HeaderName = HeaderName::from_static("daisynotch-forwarded");
/// Marks a response that was stored by an earlier call with the same key.
const REPLAYED_HEADER: HeaderName = HeaderName::from_static("idempotency-replayed");
/// The `Retry-After` of a call whose key is in flight or could not be claimed.
const IN_FLIGHT_RETRY_AFTER: Duration = Duration::from_secs(1);
/// The longest response body to a call with a key.
const RESPONSE_MAX_BYTES: usize = 32 * 1024 * 1024;

/// The response to the first call with a key, stored for replay.
#[derive(Debug, Clone)]
struct StoredResponse {
    status: StatusCode,
    headers: HeaderMap,
    body: Bytes,
}

impl StoredResponse {
    fn size_bytes(&self) -> usize {
        let headers = self.headers.iter();
        let headers = headers.map(|(name, value)| name.as_str().len() + value.len());
        self.body.len() + headers.sum::<usize>()
    }

    fn into_response(self) -> Response {
        let mut response = Response::new(Body::from(Full::from(self.body)));
        *response.status_mut() = self.status;
        *response.headers_mut() = self.headers;
        response
    }
}

/// The records of the keys that this router owns, and the store in which it claims more.
#[derive(Debug)]
pub(crate) struct IdempotencyKeys {
    records: Mutex<IdempotencyRecords<StoredResponse>>,
    own: Peer,
    clock: Clock,
    claims: ClaimStore,
}

impl IdempotencyKeys {
    /// Creates the state of a router that owns no keys yet.
    pub(crate) fn new(own: Peer, clock: Clock, claims: ClaimStore) -> Self {
        let records = IdempotencyRecords::new(own, IdempotencySettings::default());
        Self {
            records: Mutex::new(records),
            own,
            clock,
            claims,
        }
    }

    /// Returns the current prefix of the keys that this router mints.
    pub(super) fn prefix(&self) -> KeyPrefix {
        self.lock().prefix(self.clock.now())
    }

    fn begin(&self, call: &PlainCall, key: &IdempotencyKey) -> KeyDecision<StoredResponse> {
        let now = self.clock.now();
        self.lock()
            .begin(call.spec.team, key, fingerprint(call), now)
    }

    fn lock(&self) -> MutexGuard<'_, IdempotencyRecords<StoredResponse>> {
        self.records
            .lock()
            .expect("the mutex of the key records is not poisoned: no holder panics")
    }
}

/// A key whose call is in flight; dropping it unfinished records an unknown outcome.
struct InFlightKey {
    app: Arc<App>,
    team: TeamId,
    key: IdempotencyKey,
    is_finished: bool,
}

impl InFlightKey {
    fn finish(&mut self, outcome: KeyOutcome<StoredResponse>) {
        self.is_finished = true;
        let mut records = self.app.keys.lock();
        records.finish(self.team, &self.key, outcome);
    }

    /// Drops the record of a key that another router owns.
    fn forget(&mut self) {
        self.is_finished = true;
        self.app.keys.lock().forget(self.team, &self.key);
    }

    fn finish_refused(&mut self, refusal: Refusal) -> ApiError {
        self.finish(KeyOutcome::NotRun);
        refusal.into()
    }
}

impl Drop for InFlightKey {
    fn drop(&mut self) {
        if !self.is_finished {
            self.finish(KeyOutcome::Unknown);
        }
    }
}

/// Handles a call according to the record of its key.
pub(super) async fn handle(
    app: &Arc<App>,
    call: PlainCall,
    key: IdempotencyKey,
) -> Result<Response, ApiError> {
    match app.keys.begin(&call, &key) {
        KeyDecision::Run => run_to_completion(app, call, key, None).await,
        KeyDecision::Claim(claim) => run_to_completion(app, call, key, Some(claim)).await,
        KeyDecision::OtherOwner(owner) => forward_to_owner(app, call, owner).await,
        KeyDecision::Done(Some(stored)) => Ok(replay_stored_response(stored)),
        KeyDecision::Done(None) => Err(ApiError::unknown(
            "answer_not_kept",
            "the call with this key has run; its answer is no longer stored",
        )),
        KeyDecision::InFlight => Err(in_flight_error()),
        KeyDecision::Unknown => Err(ApiError::unknown(
            "key_outcome_unknown",
            "a call with this key may have run and its record is gone; look the result up",
        )),
        KeyDecision::Mismatch => Err(ApiError {
            status: StatusCode::UNPROCESSABLE_ENTITY,
            ..ApiError::unknown(
                "key_reused",
                "this key was used for another call: take a new key",
            )
        }),
        KeyDecision::Full => Err(keys_full_error()),
    }
}

fn replay_stored_response(stored: StoredResponse) -> Response {
    let mut response = stored.into_response();
    let replayed = HeaderValue::from_static("true");
    response.headers_mut().insert(REPLAYED_HEADER, replayed);
    response
}

fn in_flight_error() -> ApiError {
    ApiError {
        status: StatusCode::CONFLICT,
        retry_after: Some(IN_FLIGHT_RETRY_AFTER),
        ..ApiError::unknown(
            "key_in_flight",
            "the first call with this key has not ended yet",
        )
    }
}

/// The error for a new key when the records are full.
///
/// The outcome is unknown: a key that this router minted has certainly not run, but a key
/// that the caller chose may have run at another router.
fn keys_full_error() -> ApiError {
    ApiError {
        status: StatusCode::SERVICE_UNAVAILABLE,
        retry_after: Some(IdempotencySettings::default().mint_window),
        ..ApiError::unknown(
            "keys_full",
            "this call was not run: the router has no room to remember its key",
        )
    }
}

fn fingerprint(call: &PlainCall) -> RequestFingerprint {
    let head = &call.outbound.head;
    let target = head.uri.path_and_query().map_or("/", |path| path.as_str());
    let parts: [&[u8]; 3] = [
        head.method.as_str().as_bytes(),
        target.as_bytes(),
        &call.outbound.body,
    ];
    RequestFingerprint::of_parts(&parts)
}

/// Runs the call in a separate task, which completes even if the caller disconnects.
async fn run_to_completion(
    app: &Arc<App>,
    call: PlainCall,
    key: IdempotencyKey,
    claim: Option<ClaimSeq>,
) -> Result<Response, ApiError> {
    let mut in_flight_key = InFlightKey {
        app: Arc::clone(app),
        team: call.spec.team,
        key,
        is_finished: false,
    };
    let task = tokio::spawn(async move {
        if let Some(claim) = claim
            && let Some(owner) = claim_key(&mut in_flight_key, claim).await?
        {
            in_flight_key.forget();
            return forward_to_owner(&in_flight_key.app, call, owner).await;
        }
        let response = dispatch_once(&mut in_flight_key, &call).await;
        let outcome = if response.is_ok() { "done" } else { "failed" };
        call.count(&in_flight_key.app, outcome);
        response.map(StoredResponse::into_response)
    });
    let task_failed =
        |error| ApiError::unknown("router_failed", format!("the call broke off: {error}"));
    task.await.map_err(task_failed)?
}

/// Claims a key that the caller chose; returns the owner if another router holds the claim.
async fn claim_key(
    in_flight_key: &mut InFlightKey,
    claim: ClaimSeq,
) -> Result<Option<Peer>, ApiError> {
    let claimed = in_flight_key
        .app
        .keys
        .claims
        .claim(in_flight_key.team, &in_flight_key.key, claim)
        .await;
    let result = if claimed.is_ok() { "ok" } else { "error" };
    let calls = &in_flight_key.app.metrics.key_value_calls;
    calls.with_label_values(&["claim", result]).inc();
    match claimed {
        Ok(Claimed::Ours) => Ok(None),
        Ok(Claimed::Other(owner)) => Ok(Some(owner)),
        Err(error) => {
            log::warn!("refused a call because its idempotency key could not be claimed: {error}");
            in_flight_key.finish(KeyOutcome::NotRun);
            Err(ApiError {
                status: StatusCode::SERVICE_UNAVAILABLE,
                retry_after: Some(IN_FLIGHT_RETRY_AFTER),
                ..ApiError::unknown(
                    "claim_unavailable",
                    "this call was not run, since its key could not be claimed; \
                     whether an earlier call with the key ran is not known",
                )
            })
        }
    }
}

async fn dispatch_once(
    in_flight_key: &mut InFlightKey,
    call: &PlainCall,
) -> Result<StoredResponse, ApiError> {
    let app = Arc::clone(&in_flight_key.app);
    let admitted = app.core.admit(call.spec.clone()).await;
    let admitted = admitted.map_err(|refusal| in_flight_key.finish_refused(refusal))?;
    let dispatched = dispatch::run(&app.core, &app.client, admitted, &call.outbound).await;
    let dispatched = match dispatched {
        Ok(dispatched) => dispatched,
        Err(DispatchError::Refused(refusal)) => return Err(in_flight_key.finish_refused(refusal)),
        Err(error @ DispatchError::Unknown(_)) => {
            in_flight_key.finish(KeyOutcome::Unknown);
            return Err(error.into());
        }
    };
    let response = collect_response(dispatched, call.idle_timeout).await?;
    let size_bytes = response.size_bytes();
    let stored = response.clone();
    in_flight_key.finish(KeyOutcome::Done {
        answer: stored,
        size_bytes,
    });
    Ok(response)
}

/// Reads a response to its end; if it breaks off, the key's recorded outcome is unknown.
async fn collect_response(
    dispatched: EndpointResponse,
    idle_timeout: Duration,
) -> Result<StoredResponse, ApiError> {
    let EndpointResponse {
        mut open_request,
        mut head,
        mut incoming,
        ..
    } = dispatched;
    let mut body = BytesMut::new();
    let problem = loop {
        match tokio::time::timeout(idle_timeout, incoming.frame()).await {
            Ok(Some(Ok(frame))) => {
                body.extend_from_slice(frame.data_ref().unwrap_or(&Bytes::new()));
                if body.len() > RESPONSE_MAX_BYTES {
                    break format!("its answer is longer than {RESPONSE_MAX_BYTES} bytes");
                }
            }
            Ok(None) => {
                open_request.finish(ReleaseReason::Done);
                strip_unforwarded_headers(&mut head.headers);
                return Ok(StoredResponse {
                    status: head.status,
                    headers: head.headers,
                    body: body.freeze(),
                });
            }
            Ok(Some(Err(error))) => break format!("its answer broke off: {error}"),
            Err(_) => break "it was silent for too long".to_owned(),
        }
    };
    open_request.finish(ReleaseReason::Failed);
    let message = format!("the call ran or may have run at the endpoint, but {problem}");
    Err(ApiError::unknown("endpoint_failed", message))
}

/// Forwards a call to the incarnation that owns its key, if that incarnation is still present.
async fn forward_to_owner(app: &App, call: PlainCall, owner: Peer) -> Result<Response, ApiError> {
    let owner_gone = || {
        let message = "the router that owns this key is gone or can't be reached; \
                       the call may have run there: look the result up";
        ApiError::unknown("key_owner_gone", message)
    };
    if call.is_forwarded || owner == app.keys.own {
        return Err(owner_gone());
    }
    let members = app.core.status().await.members;
    let is_owner = |router, incarnation| {
        let peer = Peer {
            router,
            incarnation,
        };
        peer == owner
    };
    let member = members
        .iter()
        .find(|(router, member)| is_owner(*router, member.incarnation));
    let address = member.ok_or_else(owner_gone)?.1.caller_address;
    let mut head = call.outbound.head;
    head.headers.extend(call.authorization);
    let forwarded = HeaderValue::from_static("1");
    head.headers.insert(FORWARDED_HEADER, forwarded);
    let request = hyper::Request::from_parts(head, Full::new(call.outbound.body));
    let sent = app
        .client
        .send(address, request, ConnectionUse::Fresh, call.forward_timeout)
        .await;
    sent.map(relay_forwarded_response).map_err(|error| {
        log::warn!("could not forward a call to the router that owns its key: {error}");
        owner_gone()
    })
}

fn relay_forwarded_response(response: hyper::Response<Incoming>) -> Response {
    let (mut head, incoming) = response.into_parts();
    let length = head.headers.get(CONTENT_LENGTH).cloned();
    strip_unforwarded_headers(&mut head.headers);
    head.headers
        .extend(length.map(|length| (CONTENT_LENGTH, length)));
    Response::from_parts(head, Body::wrap(incoming))
}
