//! Finds prompt parts that crash the engines which begin to answer them.
//!
//! Such a part crashes engine after engine, through all routers, until requests with it are
//! refused. Engines also crash for other reasons, and then sound parts, the popular ones first,
//! are among those of the open requests. One answer that gets past the point at which an engine
//! would have crashed proves all parts of its prompt. Parts without a later proof are suspects of
//! a crash; requests with a suspect go to one engine that is kept free of others, and a part is
//! blocked only after such trials have failed.
//!
//! Routers exchange reports, proofs and blocks, as each of them sees only its own requests. See
//! `docs/design/crashing-parts.md`.

mod blame;
mod news;
mod proofs;

use std::collections::HashMap;
use std::time::Duration;

use daisynotch_objects::EndpointId;
use smallvec::SmallVec;

pub use news::{CrashNews, CrashReport, CrashedEndpoint, PartBlock, PartProof};

use super::part_cache::Part;
use crate::seeded_fault::{SeededFault, is_seeded};
use crate::time::Timestamp;
use proofs::ProofCache;

/// Time over which the rate of ordinary crashes is measured.
const CRASH_RATE_WINDOW: Duration = Duration::from_secs(10);
/// Crashes since its last proof that make a proven part a suspect: a proven part may become fatal
/// with another version of the engines, and a few engines may crash at once for other reasons.
const CRASHES_TO_DOUBT_PROOF: usize = 3;
/// How long a crash counts as evidence.
const REPORT_TTL: Duration = Duration::from_secs(60);
/// Maximum number of reports that are kept.
const REPORTS_MAX: usize = 128;
/// How long a part is first blocked. One trial follows; each that fails doubles the time.
const BLOCK_INITIAL: Duration = Duration::from_secs(60);
/// Upper bound of that time.
const BLOCK_MAX: Duration = Duration::from_secs(3_600);
/// Maximum number of blocks that are kept.
const BLOCKS_MAX: usize = 256;
/// How long after a crash bytes that were on their way may still be read.
const LATE_BYTES_MAX: Duration = Duration::from_millis(500);
/// Maximum number of crashed engine starts that a block names.
const BLOCK_ENDPOINTS_MAX: usize = 8;

/// Engine starts that crashed under the parts of a block.
pub type CrashedEndpoints = SmallVec<[EndpointId; 4]>;

/// Ids of the parts that several prompts may share.
pub type PartIds = SmallVec<[u32; 4]>;

/// Returns the ids of all parts but the last one, which belongs to a single prompt.
pub fn shared_part_ids(parts: &[Part]) -> PartIds {
    let shared = parts.split_last().map_or(&[][..], |(_, shared)| shared);
    shared.iter().map(|part| part.id).collect()
}

/// A request that was at an engine when its connection broke.
#[daisynotch_macros::value]
pub struct OpenRun {
    /// The engine start that had the request.
    pub endpoint: EndpointId,
    /// The shared parts of the prompt; none if the answer got past the point at which a part
    /// crashes an engine.
    pub parts: PartIds,
    /// Whether the head of the response had arrived.
    pub has_head: bool,
    /// Whether the request was a trial of a suspect part.
    pub is_trial: bool,
}

/// What is known of the parts of a prompt.
#[daisynotch_macros::value]
#[derive(Copy)]
pub enum Assessment {
    /// No part is suspected.
    Clear,
    /// The part is a suspect, and the request may only be sent as a trial.
    Suspect(u32),
    /// The parts crash engines, and the request must not be sent.
    Blocked {
        /// The time until the next trial.
        left: Duration,
    },
}

/// A change that operators should learn of.
#[daisynotch_macros::value]
pub enum EvidenceChange {
    /// An engine start crashed.
    Crashed {
        /// The engine start.
        endpoint: EndpointId,
        /// The parts that are suspected, with the number of crashes that each has met.
        suspects: Vec<(u32, usize)>,
    },
    /// Requests with all of these parts are refused from now on.
    Blocked {
        /// The parts.
        parts: PartIds,
        /// The engine starts that crashed.
        endpoints: CrashedEndpoints,
        /// The time until the next trial.
        pause: Duration,
    },
    /// Requests with these parts are sent again.
    Unblocked {
        /// The parts.
        parts: PartIds,
    },
}

/// An open request at an engine that crashed.
#[derive(Debug, Clone)]
struct Report {
    endpoint: EndpointId,
    at: Timestamp,
    has_head: bool,
    is_trial: bool,
    parts: PartIds,
}

/// Parts that requests must not have together.
#[derive(Debug, Clone)]
struct Block {
    parts: PartIds,
    /// When the latest engine crashed under these parts.
    since: Timestamp,
    /// The time from then until the next trial.
    pause: Duration,
    /// Number of failed trials since the block began.
    renewals: u32,
    /// Engine starts that crashed.
    endpoints: CrashedEndpoints,
}

impl Block {
    fn trial_due_at(&self) -> Timestamp {
        self.since + self.pause
    }

    /// Returns whether nobody has sent the parts for long after a trial was due.
    fn is_obsolete(&self, now: Timestamp) -> bool {
        now >= self.trial_due_at() + self.pause * 2
    }
}

/// An engine start that crashed.
#[derive(Debug, Clone, Copy)]
struct Crash {
    at: Timestamp,
    /// Whether the head of a response had arrived for one of the open requests. Its engine had
    /// begun to answer, so the requests without a head are no suspects.
    has_head: bool,
    /// Whether a block accounts for the crash, so that it is no evidence against other parts.
    is_explained: bool,
}

/// Evidence on the parts of prompts, from this router and the others.
#[derive(Debug, Default)]
pub struct CrashEvidence {
    proofs: ProofCache,
    crashes: HashMap<EndpointId, Crash>,
    reports: Vec<Report>,
    blocks: Vec<Block>,
    /// When each part was last named by evidence that a proof contradicts.
    contradicted: HashMap<u32, Timestamp>,
    /// Engines on which other routers run trials, with the time until which this counts.
    peer_trials: HashMap<EndpointId, Timestamp>,
    changes: Vec<EvidenceChange>,
    /// Whether reports or proofs have come since parts were last blamed.
    has_new_evidence: bool,
    /// Number of engines among which crashes are counted.
    engines: usize,
}

impl CrashEvidence {
    /// Returns what is known of a prompt's parts.
    pub fn assess(&self, parts: &[Part], now: Timestamp) -> Assessment {
        if self.reports.is_empty() && self.blocks.is_empty() {
            return Assessment::Clear;
        }
        self.assess_ids(&shared_part_ids(parts), now)
    }

    fn assess_ids(&self, ids: &[u32], now: Timestamp) -> Assessment {
        let mut trial_of = None;
        for block in &self.blocks {
            if !contains_all(ids, &block.parts) {
                continue;
            }
            if now < block.trial_due_at() {
                let left = block.trial_due_at().since(now);
                return Assessment::Blocked { left };
            }
            trial_of = trial_of.max(block.parts.iter().copied().max());
        }
        if let Some(part) = trial_of {
            return Assessment::Suspect(part);
        }
        let suspects = ids.iter().filter(|part| self.is_suspect(**part));
        let worst = suspects.max_by_key(|part| {
            let is_unproven = self.proofs.get(**part).is_none();
            (is_unproven, self.crashes_of(**part), **part)
        });
        worst.map_or(Assessment::Clear, |part| Assessment::Suspect(*part))
    }

    /// Returns whether a request that may have crashed an engine can be sent to another one.
    pub fn may_repeat(&self, parts: &[Part], now: Timestamp) -> bool {
        self.assess(parts, now) == Assessment::Clear
    }

    /// Records that an answer got past the point at which a fatal part crashes an engine.
    pub fn on_proof(&mut self, parts: &[u32], now: Timestamp) {
        if is_seeded(SeededFault::IgnorePartProofs) {
            return;
        }
        for part in parts {
            self.prove(*part, now, now);
        }
    }

    /// Discards all evidence against a part, on an operator's request.
    pub fn lift(&mut self, part: u32, now: Timestamp) {
        self.contradicted.insert(part, now);
        self.prove(part, now, now);
    }

    /// Sets the number of engines.
    pub fn set_engines(&mut self, engines: usize) {
        self.engines = engines;
    }

    /// Records that the engine of an open request crashed. Without parts, the crash only counts
    /// towards the rate of ordinary crashes.
    pub fn on_crash(&mut self, run: &OpenRun, now: Timestamp) {
        self.add_report(
            Report {
                endpoint: run.endpoint,
                at: now,
                has_head: run.has_head,
                is_trial: run.is_trial,
                parts: run.parts.clone(),
            },
            now,
        );
        self.decide_blocks(now);
    }

    /// Records that bytes arrived from an engine, which disproves an earlier crash.
    pub fn on_alive(&mut self, endpoint: EndpointId, now: Timestamp) {
        let is_disproven = self
            .crashes
            .get(&endpoint)
            .is_some_and(|crash| now.since(crash.at) > LATE_BYTES_MAX);
        if is_disproven {
            self.crashes.remove(&endpoint);
            self.reports.retain(|report| report.endpoint != endpoint);
        }
    }

    /// Returns whether there is no evidence against any part.
    pub fn is_idle(&self) -> bool {
        self.reports.is_empty() && self.blocks.is_empty() && self.peer_trials.is_empty()
    }

    /// Returns whether an engine start is known to have crashed.
    pub fn has_crashed(&self, endpoint: EndpointId) -> bool {
        self.crashes.contains_key(&endpoint)
    }

    /// Returns whether another router runs a trial on an engine.
    pub fn has_peer_trial(&self, endpoint: EndpointId, now: Timestamp) -> bool {
        let until = self.peer_trials.get(&endpoint);
        until.is_some_and(|until| now < *until)
    }

    /// Returns the changes since the last call.
    pub fn take_changes(&mut self) -> Vec<EvidenceChange> {
        std::mem::take(&mut self.changes)
    }

    /// Returns the number of blocks in force.
    pub fn blocks_len(&self) -> usize {
        self.blocks.len()
    }

    /// Discards old evidence.
    pub fn expire(&mut self, now: Timestamp) {
        self.reports
            .retain(|report| now.since(report.at) < REPORT_TTL);
        self.crashes
            .retain(|_, crash| now.since(crash.at) < REPORT_TTL);
        self.peer_trials.retain(|_, until| now < *until);
        self.contradicted
            .retain(|_, at| now.since(*at) < news::PROOFS_SENT_FOR);
        let changes = &mut self.changes;
        for block in self.blocks.extract_if(.., |block| block.is_obsolete(now)) {
            let parts = block.parts;
            changes.push(EvidenceChange::Unblocked { parts });
        }
    }

    /// Records a proof of `proven_at` that became known at `now`.
    fn prove(&mut self, part: u32, proven_at: Timestamp, now: Timestamp) {
        self.proofs.insert(part, proven_at);
        if self.reports.is_empty() && self.blocks.is_empty() {
            return;
        }
        self.has_new_evidence = true;
        let mut has_contradicted = false;
        for report in &mut self.reports {
            if report.at < proven_at && report.parts.contains(&part) {
                report.parts.retain(|id| *id != part);
                has_contradicted = true;
            }
        }
        self.reports.retain(|report| !report.parts.is_empty());
        for block in &mut self.blocks {
            if block.since < proven_at && block.parts.contains(&part) {
                block.parts.retain(|id| *id != part);
                has_contradicted = true;
            }
        }
        let changes = &mut self.changes;
        self.blocks.retain(|block| {
            if block.parts.is_empty() {
                let parts = PartIds::from_slice(&[part]);
                changes.push(EvidenceChange::Unblocked { parts });
            }
            !block.parts.is_empty()
        });
        if has_contradicted {
            self.contradicted.insert(part, now);
        }
    }

    /// Adds a report, unless it says nothing new.
    fn add_report(&mut self, mut report: Report, now: Timestamp) {
        let is_new_crash = !self.crashes.contains_key(&report.endpoint);
        let crash = self.crashes.entry(report.endpoint).or_insert(Crash {
            at: report.at,
            has_head: report.has_head,
            is_explained: false,
        });
        crash.at = crash.at.min(report.at);
        if report.has_head && !crash.has_head {
            crash.has_head = true;
            let endpoint = report.endpoint;
            self.reports
                .retain(|other| other.endpoint != endpoint || other.has_head);
        }
        let is_overruled = crash.is_explained || (!report.has_head && crash.has_head);
        for part in &report.parts {
            if self.proofs.get(*part).is_some() {
                self.contradicted.insert(*part, now);
            }
        }
        let is_proven_since = |part: &u32| {
            let proven_at = self.proofs.get(*part);
            proven_at.is_some_and(|proven_at| proven_at > report.at)
        };
        report.parts.retain(|part| !is_proven_since(part));
        if !is_overruled && !report.parts.is_empty() && !self.renew_block(&report) {
            self.insert_report(report.clone());
        }
        if is_new_crash {
            let named = report
                .parts
                .iter()
                .map(|part| (*part, self.crashes_of(*part)));
            let suspects = named.filter(|(part, _)| self.is_suspect(*part)).collect();
            let endpoint = report.endpoint;
            self.changes
                .push(EvidenceChange::Crashed { endpoint, suspects });
        }
    }

    fn insert_report(&mut self, report: Report) {
        let same = self.reports.iter_mut().find(|other| {
            other.endpoint == report.endpoint
                && contains_all(&other.parts, &report.parts)
                && contains_all(&report.parts, &other.parts)
        });
        if let Some(same) = same {
            self.has_new_evidence |= report.is_trial && !same.is_trial;
            same.at = same.at.min(report.at);
            same.is_trial |= report.is_trial;
            return;
        }
        // A flood of unknown parts must not displace the parts that met several crashes.
        if self.reports.len() >= REPORTS_MAX {
            let weight = |report: &Report| {
                let crashes = report.parts.iter().map(|part| self.crashes_of(*part));
                (crashes.max().unwrap_or(0), report.at)
            };
            let weakest = (0..self.reports.len()).min_by_key(|index| weight(&self.reports[*index]));
            if let Some(weakest) = weakest {
                self.reports.swap_remove(weakest);
            }
        }
        self.has_new_evidence = true;
        self.reports.push(report);
    }

    /// Extends the block whose trial has failed. Returns whether a block accounts for the report.
    fn renew_block(&mut self, report: &Report) -> bool {
        let mut blocks = self.blocks.iter_mut();
        let Some(block) = blocks.find(|block| contains_all(&report.parts, &block.parts)) else {
            return false;
        };
        if report.is_trial && report.at >= block.trial_due_at() {
            block.renewals = block.renewals.saturating_add(1);
            block.since = report.at;
            block.pause = block_pause(block.renewals);
        }
        if block.endpoints.len() < BLOCK_ENDPOINTS_MAX
            && !block.endpoints.contains(&report.endpoint)
        {
            block.endpoints.push(report.endpoint);
        }
        self.explain(&[report.endpoint]);
        true
    }

    /// Drops the reports on crashes that a block accounts for.
    fn explain(&mut self, endpoints: &[EndpointId]) {
        for endpoint in endpoints {
            if let Some(crash) = self.crashes.get_mut(endpoint) {
                crash.is_explained = true;
            }
        }
        self.reports
            .retain(|report| !endpoints.contains(&report.endpoint));
    }

    /// Blocks the parts that the reports leave no doubt about.
    fn decide_blocks(&mut self, now: Timestamp) {
        if !std::mem::take(&mut self.has_new_evidence) {
            return;
        }
        while let Some((parts, at)) = self.find_fatal_parts(now) {
            let reports = self.reports.iter();
            let explained = reports.filter(|report| contains_all(&report.parts, &parts));
            let mut endpoints: CrashedEndpoints = explained.map(|report| report.endpoint).collect();
            endpoints.sort_unstable();
            endpoints.dedup();
            self.explain(&endpoints);
            endpoints.truncate(BLOCK_ENDPOINTS_MAX);
            let pause = block_pause(0);
            self.changes.push(EvidenceChange::Blocked {
                parts: parts.clone(),
                endpoints: endpoints.clone(),
                pause,
            });
            self.insert_block(Block {
                parts,
                since: at,
                pause,
                renewals: 0,
                endpoints,
            });
        }
    }

    fn insert_block(&mut self, block: Block) {
        if self.blocks.len() >= BLOCKS_MAX {
            let oldest = (0..self.blocks.len()).min_by_key(|index| self.blocks[*index].since);
            if let Some(oldest) = oldest {
                self.blocks.swap_remove(oldest);
            }
        }
        self.blocks.push(block);
    }

    /// Returns whether a part met crashes and has no later proof.
    fn is_suspect(&self, part: u32) -> bool {
        let needed = match self.proofs.get(part) {
            Some(_) => CRASHES_TO_DOUBT_PROOF,
            None => 1,
        };
        self.crashes_of(part) >= needed
    }

    /// Returns the number of crashed engine starts that had an open request with a part.
    fn crashes_of(&self, part: u32) -> usize {
        let named = self.reports.iter();
        distinct_endpoints(named.filter(|report| report.parts.contains(&part)))
    }
}

fn distinct_endpoints<'a>(reports: impl Iterator<Item = &'a Report>) -> usize {
    if is_seeded(SeededFault::CountOpenRequests) {
        return reports.count();
    }
    let mut endpoints: SmallVec<[EndpointId; 8]> = reports.map(|report| report.endpoint).collect();
    endpoints.sort_unstable();
    endpoints.dedup();
    endpoints.len()
}

fn contains_all(ids: &[u32], subset: &[u32]) -> bool {
    subset.iter().all(|id| ids.contains(id))
}

fn block_pause(renewals: u32) -> Duration {
    BLOCK_INITIAL
        .saturating_mul(2_u32.saturating_pow(renewals))
        .min(BLOCK_MAX)
}

#[cfg(test)]
mod tests;
