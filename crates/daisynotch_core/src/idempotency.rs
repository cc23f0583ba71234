//! At most one run per idempotency key.
//!
//! A key belongs to one router incarnation: a minted key names it, the caller's
//! own key belongs to the one that claimed it in the key-value service. Only the
//! owner ever runs the key, so its records, which no other router needs, decide
//! alone. See `docs/design/at-most-once.md`.

use std::collections::{BTreeSet, HashMap};
use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use crate::message::{Incarnation, Peer};
use crate::time::Timestamp;
use crate::{RouterId, TeamId};

/// What every minted key begins with; a caller's own key must begin otherwise.
const MINTED_MARK: &str = "dn1-";
/// The longest key, in bytes.
pub const KEY_MAX_BYTES: usize = 200;

/// Numbers the periods in which one incarnation mints key prefixes.
#[daisynotch_macros::number]
pub struct MintWindow(pub u64);

/// Numbers the claims of one router incarnation.
#[daisynotch_macros::number]
pub struct ClaimSeq(pub u64);

/// A hash of what a request asks for, to tell a retry from another request.
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

/// The beginning of a minted key: who runs it, and when it was given out.
#[daisynotch_macros::value]
#[derive(Copy, Hash)]
pub struct KeyPrefix {
    /// The only incarnation that ever runs the key.
    pub owner: Peer,
    /// The period in which it was given out, on the owner's clock.
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
            "{MINTED_MARK}{router:016x}-{incarnation:016x}-{window:x}"
        )
    }
}

/// Why a text is no idempotency key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum KeyError {
    /// It is empty, too long or has characters other than visible ASCII.
    #[error("an idempotency key has 1 to {KEY_MAX_BYTES} visible ASCII characters")]
    Malformed,
    /// It begins like a minted key but names no router incarnation.
    #[error("a key that begins with `{MINTED_MARK}` is `PREFIX.N` with a prefix from `/v1/entry`")]
    MalformedPrefix,
}

/// A key that a caller sent.
#[daisynotch_macros::value]
#[derive(Hash)]
pub struct IdempotencyKey {
    text: String,
    /// The prefix of a minted key; none for a caller's own.
    prefix: Option<KeyPrefix>,
}

impl IdempotencyKey {
    /// Gives the key as it was sent.
    pub fn as_str(&self) -> &str {
        &self.text
    }

    /// Gives the prefix of a minted key.
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
        let prefix = match text.strip_prefix(MINTED_MARK) {
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

/// How records are kept.
#[daisynotch_macros::value]
#[derive(Copy)]
pub struct IdempotencySettings {
    /// The period after which key prefixes change.
    pub mint_window: Duration,
    /// How long after its period's end a minted key is still taken, and the least
    /// time for which a record is kept.
    pub keep: Duration,
    /// The most records of one team.
    pub team_records_max: usize,
    /// The most records in all.
    pub records_max: usize,
    /// The most bytes of one team's stored answers.
    pub team_answers_max_bytes: usize,
    /// The most bytes of stored answers in all.
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

/// What to do with a request that carries a key.
#[daisynotch_macros::value]
pub enum KeyDecision<A> {
    /// Run it, then call [`IdempotencyRecords::finish`].
    Run,
    /// Claim the key in the key-value service; run it if this claim holds it, and
    /// call [`IdempotencyRecords::finish`] in any case.
    Claim(ClaimSeq),
    /// Another incarnation alone may know: forward, if it still lives.
    OtherOwner(Peer),
    /// The first request with the key has not ended yet.
    InFlight,
    /// It ran; this was the answer, unless it is no longer stored.
    Done(Option<A>),
    /// It ran or may have run, and nobody can say how it ended.
    Unknown,
    /// The key was used for another request.
    Mismatch,
    /// There is no room for a record; the key never ran here.
    Full,
}

/// How a request with a key ended.
#[daisynotch_macros::value]
pub enum KeyOutcome<A> {
    /// It did not run and may be tried again.
    NotRun,
    /// It ran.
    Done {
        /// The answer.
        answer: A,
        /// How much room the answer takes.
        size_bytes: usize,
    },
    /// It ran or may have run.
    Unknown,
}

#[derive(Debug, Clone)]
enum State<A> {
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
    state: State<A>,
    expires_at: Timestamp,
}

/// Names a record; a team can neither see nor disturb another's keys.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct RecordKey {
    team: TeamId,
    text: String,
}

/// The keys that belong to this incarnation.
#[derive(Debug)]
pub struct IdempotencyRecords<A> {
    own: Peer,
    settings: IdempotencySettings,
    next_claim: u64,
    records: HashMap<RecordKey, Record<A>>,
    expiries: BTreeSet<(Timestamp, RecordKey)>,
    used: HashMap<TeamId, Room>,
    answers_bytes: usize,
}

/// What the records of one team take.
#[derive(Debug, Clone, Copy, Default)]
struct Room {
    records: usize,
    answers_bytes: usize,
}

impl<A: Clone> IdempotencyRecords<A> {
    /// Starts without records.
    pub fn new(own: Peer, settings: IdempotencySettings) -> Self {
        Self {
            own,
            settings,
            next_claim: 0,
            records: HashMap::new(),
            expiries: BTreeSet::new(),
            used: HashMap::new(),
            answers_bytes: 0,
        }
    }

    /// Gives the prefix of the keys that are minted now.
    pub fn prefix(&self, now: Timestamp) -> KeyPrefix {
        KeyPrefix {
            owner: self.own,
            window: self.window_at(now),
        }
    }

    /// Gives the number of records.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Says whether there is no record.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Decides about a request; after `Run` and `Claim` the key is in flight.
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
            && !self.takes_window(prefix.window, now)
        {
            return KeyDecision::Unknown;
        }
        let text = key.text.clone();
        let record_key = RecordKey { team, text };
        if let Some(record) = self.records.get_mut(&record_key) {
            return repeat(record, key, fingerprint);
        }
        let used = self.used.get(&team).copied().unwrap_or_default();
        let is_full = used.records >= self.settings.team_records_max
            || self.records.len() >= self.settings.records_max;
        if is_full {
            return KeyDecision::Full;
        }
        let claim = self.insert(record_key, key, fingerprint, now);
        first_run(key, claim)
    }

    /// Ends what [`Self::begin`] allowed.
    pub fn finish(&mut self, team: TeamId, key: &IdempotencyKey, outcome: KeyOutcome<A>) {
        let text = key.text.clone();
        let Some(record) = self.records.get_mut(&RecordKey { team, text }) else {
            return;
        };
        if !matches!(record.state, State::InFlight) {
            return;
        }
        record.state = match outcome {
            KeyOutcome::NotRun => State::NotRun,
            KeyOutcome::Unknown => State::Unknown,
            KeyOutcome::Done { answer, size_bytes } => {
                let room = self.used.entry(team).or_default();
                let settings = &self.settings;
                let fits = room.answers_bytes + size_bytes <= settings.team_answers_max_bytes
                    && self.answers_bytes + size_bytes <= settings.answers_max_bytes;
                let size_bytes = if fits { size_bytes } else { 0 };
                room.answers_bytes += size_bytes;
                self.answers_bytes += size_bytes;
                let answer = fits.then_some(answer);
                State::Done { answer, size_bytes }
            }
        };
    }

    /// Forgets a key that another incarnation turned out to own.
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
        // A record outlives the last moment at which its minted key is taken.
        let kept_from = match key.prefix {
            Some(prefix) => self.window_end(prefix.window).max(now),
            None => now,
        };
        let expires_at = kept_from + self.settings.keep;
        let record = Record {
            fingerprint,
            claim,
            state: State::InFlight,
            expires_at,
        };
        self.used.entry(record_key.team).or_default().records += 1;
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
            State::Done { size_bytes, .. } => size_bytes,
            State::InFlight | State::NotRun | State::Unknown => 0,
        };
        self.answers_bytes -= size_bytes;
        if let Some(room) = self.used.get_mut(&key.team) {
            room.records -= 1;
            room.answers_bytes -= size_bytes;
            if room.records == 0 {
                self.used.remove(&key.team);
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

    fn takes_window(&self, window: MintWindow, now: Timestamp) -> bool {
        let is_known = window <= self.window_at(now);
        is_known && now < self.window_end(window) + self.settings.keep
    }
}

fn first_run<A>(key: &IdempotencyKey, claim: ClaimSeq) -> KeyDecision<A> {
    match key.prefix {
        Some(_) => KeyDecision::Run,
        None => KeyDecision::Claim(claim),
    }
}

fn repeat<A: Clone>(
    record: &mut Record<A>,
    key: &IdempotencyKey,
    fingerprint: RequestFingerprint,
) -> KeyDecision<A> {
    if record.fingerprint != fingerprint {
        return KeyDecision::Mismatch;
    }
    match &record.state {
        State::InFlight => KeyDecision::InFlight,
        State::Done { answer, .. } => KeyDecision::Done(answer.clone()),
        State::Unknown => KeyDecision::Unknown,
        State::NotRun => {
            record.state = State::InFlight;
            // The same claim as before: should the earlier write have landed late,
            // reading back finds this number, and nothing ran under it.
            first_run(key, record.claim)
        }
    }
}

#[cfg(test)]
mod tests;
