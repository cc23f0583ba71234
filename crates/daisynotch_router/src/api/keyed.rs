//! Calls that may not run twice and carry an idempotency key.
//!
//! The core's records decide; this module forwards to the key's owner, claims the
//! callers' own keys and runs the work to its end, whether or not the caller
//! waits for it. `docs/operations/idempotency.md` describes what callers see.

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
use super::answer::ApiError;
use super::inbound::strip_own_headers;
use super::plain::PlainCall;
use crate::clock::Clock;
use crate::dispatch::{self, Answer, NoResponse};

/// The header that carries a key.
pub(super) const KEY_HEADER: HeaderName = HeaderName::from_static("idempotency-key");
/// Marks a call that another router passed on, so that it is never passed on twice.
pub(super) const FORWARDED_HEADER: HeaderName = HeaderName::from_static("daisynotch-forwarded");
/// Marks an answer that was stored when the key ran.
const REPLAYED_HEADER: HeaderName = HeaderName::from_static("idempotency-replayed");
/// When a caller may ask again for a key that is in flight.
const IN_FLIGHT_RETRY_AFTER: Duration = Duration::from_secs(1);
/// The longest answer to a call with a key.
const ANSWER_MAX_BYTES: usize = 32 * 1024 * 1024;

/// An answer as it was first given.
#[derive(Debug, Clone)]
struct StoredAnswer {
    status: StatusCode,
    headers: HeaderMap,
    body: Bytes,
}

impl StoredAnswer {
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

/// The keys that this router owns, with the time and the means to claim more.
#[derive(Debug)]
pub(crate) struct Keys {
    records: Mutex<IdempotencyRecords<StoredAnswer>>,
    own: Peer,
    clock: Clock,
    claims: ClaimStore,
}

impl Keys {
    /// Starts without records.
    pub(crate) fn new(own: Peer, clock: Clock, claims: ClaimStore) -> Self {
        let records = IdempotencyRecords::new(own, IdempotencySettings::default());
        Self {
            records: Mutex::new(records),
            own,
            clock,
            claims,
        }
    }

    /// Gives the prefix of the keys that are minted now.
    pub(super) fn prefix(&self) -> KeyPrefix {
        self.lock().prefix(self.clock.now())
    }

    fn begin(&self, call: &PlainCall, key: &IdempotencyKey) -> KeyDecision<StoredAnswer> {
        let now = self.clock.now();
        self.lock()
            .begin(call.spec.team, key, fingerprint(call), now)
    }

    fn lock(&self) -> MutexGuard<'_, IdempotencyRecords<StoredAnswer>> {
        self.records.lock().expect("no holder of the lock panics")
    }
}

/// Holds a key in flight; dropped without an end, it leaves the outcome unknown.
struct KeyRun {
    app: Arc<App>,
    team: TeamId,
    key: IdempotencyKey,
    has_ended: bool,
}

impl KeyRun {
    fn end(&mut self, outcome: KeyOutcome<StoredAnswer>) {
        self.has_ended = true;
        let mut records = self.app.keys.lock();
        records.finish(self.team, &self.key, outcome);
    }

    /// Leaves the key to its owner.
    fn forget(&mut self) {
        self.has_ended = true;
        self.app.keys.lock().forget(self.team, &self.key);
    }

    fn refused(&mut self, refusal: Refusal) -> ApiError {
        self.end(KeyOutcome::NotRun);
        refusal.into()
    }
}

impl Drop for KeyRun {
    fn drop(&mut self) {
        if !self.has_ended {
            self.end(KeyOutcome::Unknown);
        }
    }
}

/// Answers a call by its key.
pub(super) async fn answer(
    app: &Arc<App>,
    call: PlainCall,
    key: IdempotencyKey,
) -> Result<Response, ApiError> {
    match app.keys.begin(&call, &key) {
        KeyDecision::Run => run_to_end(app, call, key, None).await,
        KeyDecision::Claim(claim) => run_to_end(app, call, key, Some(claim)).await,
        KeyDecision::OtherOwner(owner) => forward(app, call, owner).await,
        KeyDecision::Done(Some(answer)) => Ok(replay(answer)),
        KeyDecision::Done(None) => Err(ApiError::unknown(
            "answer_not_kept",
            "the call with this key has run; its answer is no longer stored",
        )),
        KeyDecision::InFlight => Err(in_flight()),
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
        KeyDecision::Full => Err(full()),
    }
}

fn replay(answer: StoredAnswer) -> Response {
    let mut response = answer.into_response();
    let replayed = HeaderValue::from_static("true");
    response.headers_mut().insert(REPLAYED_HEADER, replayed);
    response
}

fn in_flight() -> ApiError {
    ApiError {
        status: StatusCode::CONFLICT,
        retry_after: Some(IN_FLIGHT_RETRY_AFTER),
        ..ApiError::unknown(
            "key_in_flight",
            "the first call with this key has not ended yet",
        )
    }
}

/// A new key without room: for a minted one it is known that it never ran, but a
/// caller's own may have run at another router.
fn full() -> ApiError {
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

/// Runs the call in a task of its own, so that it ends though the caller left.
async fn run_to_end(
    app: &Arc<App>,
    call: PlainCall,
    key: IdempotencyKey,
    claim: Option<ClaimSeq>,
) -> Result<Response, ApiError> {
    let mut run = KeyRun {
        app: Arc::clone(app),
        team: call.spec.team,
        key,
        has_ended: false,
    };
    let task = tokio::spawn(async move {
        if let Some(claim) = claim
            && let Some(owner) = settle_claim(&mut run, claim).await?
        {
            run.forget();
            return forward(&run.app, call, owner).await;
        }
        let answer = run_once(&mut run, &call).await;
        let outcome = if answer.is_ok() { "done" } else { "failed" };
        call.count(&run.app, outcome);
        answer.map(StoredAnswer::into_response)
    });
    let unknown =
        |error| ApiError::unknown("router_failed", format!("the call broke off: {error}"));
    task.await.map_err(unknown)?
}

/// Claims a caller's own key; gives the owner when that is somebody else.
async fn settle_claim(run: &mut KeyRun, claim: ClaimSeq) -> Result<Option<Peer>, ApiError> {
    let claimed = run.app.keys.claims.claim(run.team, &run.key, claim).await;
    let result = if claimed.is_ok() { "ok" } else { "error" };
    let calls = &run.app.metrics.key_value_calls;
    calls.with_label_values(&["claim", result]).inc();
    match claimed {
        Ok(Claimed::Ours) => Ok(None),
        Ok(Claimed::Other(owner)) => Ok(Some(owner)),
        Err(error) => {
            log::warn!("a call was refused, since its key could not be claimed: {error}");
            run.end(KeyOutcome::NotRun);
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

async fn run_once(run: &mut KeyRun, call: &PlainCall) -> Result<StoredAnswer, ApiError> {
    let app = Arc::clone(&run.app);
    let admitted = app.core.admit(call.spec.clone()).await;
    let admitted = admitted.map_err(|refusal| run.refused(refusal))?;
    let dispatched = dispatch::run(&app.core, &app.client, admitted, &call.outbound).await;
    let dispatched = match dispatched {
        Ok(dispatched) => dispatched,
        Err(NoResponse::Refused(refusal)) => return Err(run.refused(refusal)),
        Err(error @ NoResponse::Unknown(_)) => {
            run.end(KeyOutcome::Unknown);
            return Err(error.into());
        }
    };
    let answer = collect(dispatched, call.idle_timeout).await?;
    let size_bytes = answer.size_bytes();
    let stored = answer.clone();
    run.end(KeyOutcome::Done {
        answer: stored,
        size_bytes,
    });
    Ok(answer)
}

/// Reads an answer to its end; when it breaks off, the record's outcome is unknown.
async fn collect(dispatched: Answer, idle_timeout: Duration) -> Result<StoredAnswer, ApiError> {
    let Answer {
        mut open,
        mut head,
        mut incoming,
        ..
    } = dispatched;
    let mut body = BytesMut::new();
    let problem = loop {
        match tokio::time::timeout(idle_timeout, incoming.frame()).await {
            Ok(Some(Ok(frame))) => {
                body.extend_from_slice(frame.data_ref().unwrap_or(&Bytes::new()));
                if body.len() > ANSWER_MAX_BYTES {
                    break format!("its answer is longer than {ANSWER_MAX_BYTES} bytes");
                }
            }
            Ok(None) => {
                open.finish(ReleaseReason::Done);
                strip_own_headers(&mut head.headers);
                return Ok(StoredAnswer {
                    status: head.status,
                    headers: head.headers,
                    body: body.freeze(),
                });
            }
            Ok(Some(Err(error))) => break format!("its answer broke off: {error}"),
            Err(_) => break "it was silent for too long".to_owned(),
        }
    };
    open.finish(ReleaseReason::Failed);
    let message = format!("the call ran or may have run at the endpoint, but {problem}");
    Err(ApiError::unknown("endpoint_failed", message))
}

/// Passes a call on to the incarnation that owns its key, if that still lives.
async fn forward(app: &App, call: PlainCall, owner: Peer) -> Result<Response, ApiError> {
    let gone = || {
        let message = "the router that owns this key is gone or can't be reached; \
                       the call may have run there: look the result up";
        ApiError::unknown("key_owner_gone", message)
    };
    if call.is_forwarded || owner == app.keys.own {
        return Err(gone());
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
    let address = member.ok_or_else(gone)?.1.caller_address;
    let mut head = call.outbound.head;
    head.headers.extend(call.authorization);
    let forwarded = HeaderValue::from_static("1");
    head.headers.insert(FORWARDED_HEADER, forwarded);
    let request = hyper::Request::from_parts(head, Full::new(call.outbound.body));
    let sent = app
        .client
        .send(address, request, ConnectionUse::Fresh, call.forward_timeout)
        .await;
    sent.map(pass_on).map_err(|error| {
        log::warn!("a call could not be passed on to its key's owner: {error}");
        gone()
    })
}

fn pass_on(response: hyper::Response<Incoming>) -> Response {
    let (mut head, incoming) = response.into_parts();
    let length = head.headers.get(CONTENT_LENGTH).cloned();
    strip_own_headers(&mut head.headers);
    head.headers
        .extend(length.map(|length| (CONTENT_LENGTH, length)));
    Response::from_parts(head, Body::wrap(incoming))
}
