//! At-most-once execution per idempotency key.
//!
//! Each key has one owner, a router incarnation: a minted key names its owner, and a
//! caller-chosen key belongs to the incarnation that claimed it in the key-value service.
//! Only the owner runs requests with the key, so its records alone decide and are not
//! replicated to other routers. See `docs/design/at-most-once.md`.

use std::collections::{BTreeSet, HashMap};
use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use crate::message::{Incarnation, Peer};
use crate::time::Timestamp;
use crate::{RouterId, TeamId};

/// The prefix of every minted key; a caller-chosen key must not start with it.
const MINTED_KEY_PREFIX: &str = "dn1-";
/// The maximum length of a key, in bytes.
pub const KEY_MAX_BYTES: usize = 200;

/// The number of a minting period; the minted prefix changes with each period.
#[daisynotch_macros::number]
pub struct MintWindow(pub u64);

/// The sequence number of a claim, unique within one router incarnation.
#[daisynotch_macros::number]
pub struct ClaimSeq(pub u64);

/// A hash of a request's content, which tells a retry from a different request.
#[daisynotch_macros::number]
pub struct RequestFingerprint(pub u64);

impl RequestFingerprint {
    /// Hashes the parts of a request.
    pub fn of_parts(parts: &[&[u8]]) -> Self {
        let mut hasher = xxhash_rust::xxh3::Xxh3::new();
        for part in parts {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        Self(hasher.digest())
    }
}

/// The prefix of a minted key: its owner and the minting period.
#[daisynotch_macros::value]
#[derive(Copy, Hash)]
pub struct KeyPrefix {
    /// The only incarnation that may run the key.
    pub owner: Peer,
    /// The period in which the key was minted, on the owner's clock.
    pub window: MintWindow,
}

impl fmt::Display for KeyPrefix {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Peer {
            router,
            incarnation,
        } = self.owner;
        let (router, incarnation, window) = (router.0, incarnation.0, self.window.0);
        write!(
            f,
            "{MINTED_KEY_PREFIX}{router:016x}-{incarnation:016x}-{window:x}"
        )
    }
}

/// Why a text is not a valid idempotency key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum KeyError {
    /// The text is empty, too long or contains characters other than visible ASCII.
    #[error("an idempotency key has 1 to {KEY_MAX_BYTES} visible ASCII characters")]
    Malformed,
    /// The text starts like a minted key but names no router incarnation.
    #[error(
        "a key that begins with `{MINTED_KEY_PREFIX}` is `PREFIX.N` with a prefix from `/v1/entry`"
    )]
    MalformedPrefix,
}

/// An idempotency key from a request.
#[daisynotch_macros::value]
#[derive(Hash)]
pub struct IdempotencyKey {
    text: String,
    /// The prefix of a minted key; `None` for a caller-chosen key.
    prefix: Option<KeyPrefix>,
}

impl IdempotencyKey {
    /// Returns the key as the caller sent it.
    pub fn as_str(&self) -> &str {
        &self.text
    }

    /// Returns the prefix of a minted key, or `None` for a caller-chosen key.
    pub fn prefix(&self) -> Option<KeyPrefix> {
        self.prefix
    }
}

impl FromStr for IdempotencyKey {
    type Err = KeyError;

    fn from_str(text: &str) -> Result<Self, KeyError> {
        let is_visible = text.bytes().all(|byte| byte.is_ascii_graphic());
        if text.is_empty() || text.len() > KEY_MAX_BYTES || !is_visible {
            return Err(KeyError::Malformed);
        }
        let prefix = match text.strip_prefix(MINTED_KEY_PREFIX) {
            Some(rest) => Some(parse_prefix(rest).ok_or(KeyError::MalformedPrefix)?),
            None => None,
        };
        Ok(Self {
            text: text.to_owned(),
            prefix,
        })
    }
}

fn parse_prefix(rest: &str) -> Option<KeyPrefix> {
    let (prefix, number) = rest.split_once('.')?;
    let mut parts = prefix.split('-');
    let mut next = || u64::from_str_radix(parts.next()?, 16).ok();
    let (router, incarnation, window) = (next()?, next()?, next()?);
    if parts.next().is_some() || number.is_empty() {
        return None;
    }
    let owner = Peer {
        router: RouterId(router),
        incarnation: Incarnation(incarnation),
    };
    let window = MintWindow(window);
    Some(KeyPrefix { owner, window })
}

/// Retention and size limits of the idempotency records.
#[daisynotch_macros::value]
#[derive(Copy)]
pub struct IdempotencySettings {
    /// The length of a minting period.
    pub mint_window: Duration,
    /// How long a minted key is accepted after the end of its period, and the minimum
    /// retention of a record.
    pub keep: Duration,
    /// The maximum number of records per team.
    pub team_records_max: usize,
    /// The maximum number of records of all teams.
    pub records_max: usize,
    /// The maximum size of the stored responses per team, in bytes.
    pub team_answers_max_bytes: usize,
    /// The maximum size of the stored responses of all teams, in bytes.
    pub answers_max_bytes: usize,
}

impl Default for IdempotencySettings {
    fn default() -> Self {
        Self {
            mint_window: Duration::from_secs(60),
            keep: Duration::from_secs(600),
            team_records_max: 4_096,
            records_max: 16_384,
            team_answers_max_bytes: 512 * 1024,
            answers_max_bytes: 4 * 1024 * 1024,
        }
    }
}

/// How to handle a request with an idempotency key.
#[daisynotch_macros::value]
pub enum KeyDecision<A> {
    /// Run the request, then call [`IdempotencyRecords::finish`].
    Run,
    /// Claim the key in the key-value service and run the request if the claim succeeds; call
    /// [`IdempotencyRecords::finish`] in either case.
    Claim(ClaimSeq),
    /// Another incarnation owns the key: forward the request to it if it is live.
    OtherOwner(Peer),
    /// The first request with the key is still in flight.
    InFlight,
    /// The request ran; the value is its response, or `None` if the response is not stored.
    Done(Option<A>),
    /// The request ran or may have run, and its outcome is unknown.
    Unknown,
    /// The key was already used for a different request.
    Mismatch,
    /// The record limit is reached; the key never ran on this router.
    Full,
}

/// The outcome of a request with an idempotency key.
#[daisynotch_macros::value]
pub enum KeyOutcome<A> {
    /// The request did not run and may be retried.
    NotRun,
    /// The request ran.
    Done {
        /// The response.
        answer: A,
        /// The size of the stored response.
        size_bytes: usize,
    },
    /// The request ran or may have run.
    Unknown,
}

#[derive(Debug, Clone)]
enum RecordState<A> {
    InFlight,
    NotRun,
    Done {
        answer: Option<A>,
        size_bytes: usize,
    },
    Unknown,
}

#[derive(Debug)]
struct Record<A> {
    fingerprint: RequestFingerprint,
    claim: ClaimSeq,
    state: RecordState<A>,
    expires_at: Timestamp,
}

/// Identifies a record; the team isolates the keys of different teams from each other.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct RecordKey {
    team: TeamId,
    text: String,
}

/// The records of the keys that this router incarnation owns or claims.
#[derive(Debug)]
pub struct IdempotencyRecords<A> {
    own: Peer,
    settings: IdempotencySettings,
    next_claim: u64,
    records: HashMap<RecordKey, Record<A>>,
    expiries: BTreeSet<(Timestamp, RecordKey)>,
    team_usage: HashMap<TeamId, TeamUsage>,
    answers_bytes: usize,
}

/// The number and the stored response size of one team's records.
#[derive(Debug, Clone, Copy, Default)]
struct TeamUsage {
    records: usize,
    answers_bytes: usize,
}

impl<A: Clone> IdempotencyRecords<A> {
    /// Creates an empty set of records.
    pub fn new(own: Peer, settings: IdempotencySettings) -> Self {
        Self {
            own,
            settings,
            next_claim: 0,
            records: HashMap::new(),
            expiries: BTreeSet::new(),
            team_usage: HashMap::new(),
            answers_bytes: 0,
        }
    }

    /// Returns the prefix of the keys that are minted at `now`.
    pub fn prefix(&self, now: Timestamp) -> KeyPrefix {
        KeyPrefix {
            owner: self.own,
            window: self.window_at(now),
        }
    }

    /// Returns the number of records.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether there are no records.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Decides how to handle a request; after `Run` and `Claim` the key is in flight.
    pub fn begin(
        &mut self,
        team: TeamId,
        key: &IdempotencyKey,
        fingerprint: RequestFingerprint,
        now: Timestamp,
    ) -> KeyDecision<A> {
        if let Some(prefix) = key.prefix
            && prefix.owner != self.own
        {
            return KeyDecision::OtherOwner(prefix.owner);
        }
        self.drop_expired(now);
        if let Some(prefix) = key.prefix
            && !self.accepts_window(prefix.window, now)
        {
            return KeyDecision::Unknown;
        }
        let text = key.text.clone();
        let record_key = RecordKey { team, text };
        if let Some(record) = self.records.get_mut(&record_key) {
            return decide_retry(record, key, fingerprint);
        }
        let team_usage = self.team_usage.get(&team).copied().unwrap_or_default();
        let is_full = team_usage.records >= self.settings.team_records_max
            || self.records.len() >= self.settings.records_max;
        if is_full {
            return KeyDecision::Full;
        }
        let claim = self.insert(record_key, key, fingerprint, now);
        allow_run(key, claim)
    }

    /// Records the outcome of a request that [`Self::begin`] allowed.
    pub fn finish(&mut self, team: TeamId, key: &IdempotencyKey, outcome: KeyOutcome<A>) {
        let text = key.text.clone();
        let Some(record) = self.records.get_mut(&RecordKey { team, text }) else {
            return;
        };
        if !matches!(record.state, RecordState::InFlight) {
            return;
        }
        record.state = match outcome {
            KeyOutcome::NotRun => RecordState::NotRun,
            KeyOutcome::Unknown => RecordState::Unknown,
            KeyOutcome::Done { answer, size_bytes } => {
                let usage = self.team_usage.entry(team).or_default();
                let settings = &self.settings;
                let fits = usage.answers_bytes + size_bytes <= settings.team_answers_max_bytes
                    && self.answers_bytes + size_bytes <= settings.answers_max_bytes;
                let size_bytes = if fits { size_bytes } else { 0 };
                usage.answers_bytes += size_bytes;
                self.answers_bytes += size_bytes;
                let answer = fits.then_some(answer);
                RecordState::Done { answer, size_bytes }
            }
        };
    }

    /// Removes the record of a key that another incarnation turned out to own.
    pub fn forget(&mut self, team: TeamId, key: &IdempotencyKey) {
        let text = key.text.clone();
        self.remove(&RecordKey { team, text });
    }

    fn insert(
        &mut self,
        record_key: RecordKey,
        key: &IdempotencyKey,
        fingerprint: RequestFingerprint,
        now: Timestamp,
    ) -> ClaimSeq {
        let claim = ClaimSeq(self.next_claim);
        self.next_claim += 1;
        // A record must outlive the time during which its minted key is accepted.
        let retained_from = match key.prefix {
            Some(prefix) => self.window_end(prefix.window).max(now),
            None => now,
        };
        let expires_at = retained_from + self.settings.keep;
        let record = Record {
            fingerprint,
            claim,
            state: RecordState::InFlight,
            expires_at,
        };
        self.team_usage.entry(record_key.team).or_default().records += 1;
        self.expiries.insert((expires_at, record_key.clone()));
        self.records.insert(record_key, record);
        claim
    }

    fn remove(&mut self, key: &RecordKey) {
        let Some(record) = self.records.remove(key) else {
            return;
        };
        self.expiries.remove(&(record.expires_at, key.clone()));
        let size_bytes = match record.state {
            RecordState::Done { size_bytes, .. } => size_bytes,
            RecordState::InFlight | RecordState::NotRun | RecordState::Unknown => 0,
        };
        self.answers_bytes -= size_bytes;
        if let Some(usage) = self.team_usage.get_mut(&key.team) {
            usage.records -= 1;
            usage.answers_bytes -= size_bytes;
            if usage.records == 0 {
                self.team_usage.remove(&key.team);
            }
        }
    }

    fn drop_expired(&mut self, now: Timestamp) {
        while let Some((expires_at, key)) = self.expiries.first().cloned() {
            if expires_at > now {
                return;
            }
            self.remove(&key);
        }
    }

    fn window_us(&self) -> u64 {
        let window_us = u64::try_from(self.settings.mint_window.as_micros()).unwrap_or(u64::MAX);
        window_us.max(1)
    }

    fn window_at(&self, now: Timestamp) -> MintWindow {
        MintWindow(now.0 / self.window_us())
    }

    fn window_end(&self, window: MintWindow) -> Timestamp {
        let windows = window.0.saturating_add(1);
        Timestamp(windows.saturating_mul(self.window_us()))
    }

    fn accepts_window(&self, window: MintWindow, now: Timestamp) -> bool {
        let is_known = window <= self.window_at(now);
        is_known && now < self.window_end(window) + self.settings.keep
    }
}

fn allow_run<A>(key: &IdempotencyKey, claim: ClaimSeq) -> KeyDecision<A> {
    match key.prefix {
        Some(_) => KeyDecision::Run,
        None => KeyDecision::Claim(claim),
    }
}

fn decide_retry<A: Clone>(
    record: &mut Record<A>,
    key: &IdempotencyKey,
    fingerprint: RequestFingerprint,
) -> KeyDecision<A> {
    if record.fingerprint != fingerprint {
        return KeyDecision::Mismatch;
    }
    match &record.state {
        RecordState::InFlight => KeyDecision::InFlight,
        RecordState::Done { answer, .. } => KeyDecision::Done(answer.clone()),
        RecordState::Unknown => KeyDecision::Unknown,
        RecordState::NotRun => {
            record.state = RecordState::InFlight;
            // The retry reuses the claim number: if the earlier write took effect late, reading
            // the claim back finds this number, and nothing has run under it.
            allow_run(key, record.claim)
        }
    }
}

#[cfg(test)]
mod tests;
