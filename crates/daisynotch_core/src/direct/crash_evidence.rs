//! Finds prompt parts that crash the engines which begin to answer them.
//!
//! Such a part crashes engine after engine, through all routers, until requests with it are
//! refused. Engines also crash for other reasons, and then sound parts, the popular ones first,
//! are among those of the open requests. One answer that its engine outlives for a while proves all
//! parts of its prompt. Parts without a later proof are suspects of a crash; requests with a suspect
//! go to one engine that is kept free of others, and a part is blocked only after such trials have
//! failed.
//!
//! Routers exchange reports, proofs and blocks, as each of them sees only its own requests. See
//! `docs/design/crashing-parts.md`.

mod begun;
mod blame;
mod blocks;
mod news;
mod open_run;
mod proofs;

use std::collections::HashMap;
use std::time::Duration;

use daisynotch_objects::EndpointId;
use smallvec::SmallVec;

pub use news::{CrashNews, CrashReport, CrashedEndpoint, LateCrashNews, PartBlock, PartProof};
use open_run::CrashPoint;
pub use open_run::{AnswerStage, OpenRun};

use super::part_cache::Part;
use crate::seeded_fault::{SeededFault, is_seeded};
use crate::time::Timestamp;
pub(super) use begun::PROOF_DELAY;
use begun::{BegunAnswer, BegunAnswers, LoneHeads};
use blocks::Block;
use proofs::PartProofs;

/// Time over which the rate of ordinary crashes is measured.
const CRASH_RATE_WINDOW: Duration = Duration::from_secs(10);
/// Crashes since its last proof that make a proven part a suspect: a proven part may become fatal
/// with another version of the engines, and a few engines may crash at once for other reasons.
const CRASHES_TO_DOUBT_PROOF: usize = 3;
/// How long a crash counts as evidence.
const REPORT_TTL: Duration = Duration::from_secs(60);
/// Maximum number of reports that are kept.
const REPORTS_MAX: usize = 128;
/// How long after a crash bytes that were on their way may still be read.
const LATE_BYTES_MAX: Duration = Duration::from_millis(500);

/// Engine starts that crashed under the parts of a block.
pub type CrashedEndpoints = SmallVec<[EndpointId; 4]>;

/// Ids of the parts that several prompts may share.
pub type PartIds = SmallVec<[u32; 4]>;

/// Returns the ids of all parts but the last one, which belongs to a single prompt.
pub fn shared_part_ids(parts: &[Part]) -> PartIds {
    let shared = parts.split_last().map_or(&[][..], |(_, shared)| shared);
    shared.iter().map(|part| part.id).collect()
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
    stage: AnswerStage,
    is_trial: bool,
    parts: PartIds,
}

/// An engine start that crashed.
#[derive(Debug, Clone, Copy)]
struct Crash {
    at: Timestamp,
    /// Whether the head of a response without an event had arrived for one of the open requests. Its
    /// engine had begun to answer, so the requests without a head are no suspects.
    has_head: bool,
    /// Whether a block accounts for the crash, so that it is no evidence against other parts.
    is_explained: bool,
}

/// Evidence on the parts of prompts, from this router and the others.
#[derive(Debug, Default)]
pub struct CrashEvidence {
    proofs: PartProofs,
    /// Answers of this router that their engines have not outlived yet.
    begun: BegunAnswers,
    lone_heads: LoneHeads,
    crashes: HashMap<EndpointId, Crash>,
    reports: Vec<Report>,
    blocks: Vec<Block>,
    /// When each part was last named by evidence that a proof contradicts.
    contradicted: HashMap<(CrashPoint, u32), Timestamp>,
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
        let suspicions = ids
            .iter()
            .filter_map(|part| Some((self.suspicion(*part)?, *part)));
        let worst = suspicions.max();
        worst.map_or(Assessment::Clear, |(_, part)| Assessment::Suspect(part))
    }

    /// Returns whether a request that may have crashed an engine can be sent to another one.
    pub fn may_repeat(&self, parts: &[Part], now: Timestamp) -> bool {
        self.assess(parts, now) == Assessment::Clear
    }

    /// Records that the first event of an answer arrived, or all of a plain one.
    ///
    /// It proves that the parts crash no engine before it. Whether they do so after it is known once the
    /// engine has outlived it for a while. `head_gap` is the time since the head of the response.
    pub fn on_answer_begun(
        &mut self,
        endpoint: EndpointId,
        parts: &PartIds,
        is_trial: bool,
        head_gap: Duration,
        now: Timestamp,
    ) {
        if parts.is_empty() || is_seeded(SeededFault::IgnorePartProofs) {
            return;
        }
        if is_seeded(SeededFault::ProveByFirstEvent) {
            self.on_proof(parts, now);
            return;
        }
        self.lone_heads.observe(head_gap);
        for part in parts {
            self.prove(CrashPoint::BeforeFirstEvent, *part, now, now);
        }
        let answer = BegunAnswer {
            at: now,
            parts: parts.clone(),
            is_trial,
        };
        // Events that were on their way when the engine crashed may be read after its crash.
        match self.crashes.get(&endpoint).copied() {
            Some(crash) if !crash.is_explained => {
                self.report_begun(endpoint, answer, crash.at, now);
            }
            Some(_) => {}
            None => self.begun.insert(endpoint, answer),
        }
    }

    /// Records that an engine outlived an answer, which proves the parts of its prompt.
    pub fn on_proof(&mut self, parts: &[u32], now: Timestamp) {
        if is_seeded(SeededFault::IgnorePartProofs) {
            return;
        }
        for part in parts {
            self.prove_sound(*part, now, now);
        }
    }

    /// Discards all evidence against a part, on an operator's request.
    pub fn lift(&mut self, part: u32, now: Timestamp) {
        for point in CrashPoint::ALL {
            self.contradicted.insert((point, part), now);
        }
        self.prove_sound(part, now, now);
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
                stage: run.stage,
                is_trial: run.is_trial,
                parts: run.parts.clone(),
            },
            now,
        );
        self.decide_blocks(now);
    }

    /// Records that an engine was heard at `heard_at`. This disproves an earlier crash, and proves the
    /// parts of the answers that the engine has outlived.
    pub fn on_alive(&mut self, endpoint: EndpointId, heard_at: Timestamp) {
        if let Some(crash) = self.crashes.get(&endpoint) {
            if heard_at.since(crash.at) <= LATE_BYTES_MAX {
                return;
            }
            self.crashes.remove(&endpoint);
            self.reports.retain(|report| report.endpoint != endpoint);
        }
        for answer in self.begun.take_outlived(endpoint, heard_at) {
            self.on_proof(&answer.parts, heard_at);
        }
    }

    /// Returns whether an engine has begun an answer that it has not outlived yet.
    pub fn has_begun_answer(&self, endpoint: EndpointId) -> bool {
        self.begun.has_any(endpoint)
    }

    /// Returns the engines on which this router's trials have begun to answer, and which have not
    /// outlived them yet.
    pub fn begun_trials(&self, now: Timestamp) -> impl Iterator<Item = EndpointId> {
        self.begun.trials(now)
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
        for answer in self.begun.take_expired(now) {
            for part in &answer.parts {
                self.prove_sound(*part, answer.at + PROOF_DELAY, now);
            }
        }
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

    /// Records that a part crashes no engine at any point, as shown at `proven_at`.
    fn prove_sound(&mut self, part: u32, proven_at: Timestamp, now: Timestamp) {
        for point in CrashPoint::ALL {
            self.prove(point, part, proven_at, now);
        }
        self.lift_blocks(part, proven_at, now);
    }

    /// Records a proof of `proven_at` that a part crashes no engine at a point, which became known at
    /// `now`.
    fn prove(&mut self, point: CrashPoint, part: u32, proven_at: Timestamp, now: Timestamp) {
        self.proofs.insert(point, part, proven_at);
        if self.reports.is_empty() {
            return;
        }
        self.has_new_evidence = true;
        let mut has_contradicted = false;
        for report in &mut self.reports {
            let is_contradicted = report.stage.crash_point() == point && report.at < proven_at;
            if is_contradicted && report.parts.contains(&part) {
                report.parts.retain(|id| *id != part);
                has_contradicted = true;
            }
        }
        self.reports.retain(|report| !report.parts.is_empty());
        if has_contradicted {
            self.contradicted.insert((point, part), now);
        }
    }

    /// Removes a proven part from blocks.
    fn lift_blocks(&mut self, part: u32, proven_at: Timestamp, now: Timestamp) {
        let mut has_contradicted = false;
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
            for point in CrashPoint::ALL {
                self.contradicted.insert((point, part), now);
            }
        }
    }

    /// Adds a report, unless it says nothing new.
    fn add_report(&mut self, mut report: Report, now: Timestamp) {
        let endpoint = report.endpoint;
        let is_new_crash = !self.crashes.contains_key(&endpoint);
        let crash = self.crashes.entry(endpoint).or_insert(Crash {
            at: report.at,
            has_head: false,
            is_explained: false,
        });
        crash.at = crash.at.min(report.at);
        // If heads come alone, a request with one is no likelier cause than one that has begun.
        let lone_heads_are_usual = self.lone_heads.are_usual();
        let yields_to_head = |stage: AnswerStage| match stage {
            AnswerStage::Waiting => true,
            AnswerStage::Head => false,
            AnswerStage::Begun => !lone_heads_are_usual,
        };
        if report.stage == AnswerStage::Head && !crash.has_head {
            crash.has_head = true;
            self.reports
                .retain(|other| other.endpoint != endpoint || !yields_to_head(other.stage));
        }
        let is_overruled = crash.is_explained || (crash.has_head && yields_to_head(report.stage));
        let point = report.stage.crash_point();
        for part in &report.parts {
            if self.proofs.get(point, *part).is_some() {
                self.contradicted.insert((point, *part), now);
            }
        }
        let is_proven_since = |part: &u32| {
            let proven_at = self.proofs.get(point, *part);
            proven_at.is_some_and(|proven_at| proven_at > report.at)
        };
        report.parts.retain(|part| !is_proven_since(part));
        if !is_overruled && !report.parts.is_empty() && !self.renew_block(&report) {
            self.insert_report(report);
        }
        if is_new_crash {
            self.report_begun_answers(endpoint, now);
            let suspects = self.suspects_at(endpoint);
            self.changes
                .push(EvidenceChange::Crashed { endpoint, suspects });
        }
    }

    /// Reports the answers that an engine had begun and not outlived when it crashed.
    fn report_begun_answers(&mut self, endpoint: EndpointId, now: Timestamp) {
        let Some(crash) = self.crashes.get(&endpoint).copied() else {
            return;
        };
        for answer in self.begun.take_suspects(endpoint, crash.at) {
            if !crash.is_explained {
                self.report_begun(endpoint, answer, crash.at, now);
            }
        }
    }

    fn report_begun(
        &mut self,
        endpoint: EndpointId,
        answer: BegunAnswer,
        crashed_at: Timestamp,
        now: Timestamp,
    ) {
        let report = Report {
            endpoint,
            at: crashed_at,
            stage: AnswerStage::Begun,
            is_trial: answer.is_trial,
            parts: answer.parts,
        };
        self.add_report(report, now);
    }

    /// Returns the suspects among the parts that were open at a crashed engine, each with the number
    /// of crashes that it has met.
    fn suspects_at(&self, endpoint: EndpointId) -> Vec<(u32, usize)> {
        let reports = self.reports.iter();
        let of_crash = reports.filter(|report| report.endpoint == endpoint);
        let mut parts: Vec<u32> = of_crash.flat_map(|report| report.parts.clone()).collect();
        parts.sort_unstable();
        parts.dedup();
        parts.retain(|part| self.suspicion(*part).is_some());
        let counted = parts.into_iter().map(|part| (part, self.crashes_of(part)));
        counted.collect()
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
            let crashes = self.crashes_by_part();
            let weight = |report: &Report| {
                let crashes = report.parts.iter().filter_map(|part| crashes.get(part));
                (crashes.copied().max().unwrap_or(0), report.at)
            };
            let weakest = (0..self.reports.len()).min_by_key(|index| weight(&self.reports[*index]));
            let Some(weakest) = weakest else { return };
            // Other routers send what was dropped here again and again.
            if weight(&report) < weight(&self.reports[weakest]) {
                return;
            }
            self.reports.swap_remove(weakest);
        }
        self.has_new_evidence = true;
        self.reports.push(report);
    }

    /// Returns the number of crashed engine starts that had an open request with each part.
    fn crashes_by_part(&self) -> HashMap<u32, usize> {
        let reports = self.reports.iter();
        let mut named: Vec<(u32, EndpointId)> = reports
            .flat_map(|report| report.parts.iter().map(|part| (*part, report.endpoint)))
            .collect();
        named.sort_unstable();
        named.dedup();
        let mut crashes = HashMap::new();
        for (part, _) in named {
            *crashes.entry(part).or_default() += 1;
        }
        crashes
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

#[cfg(test)]
mod tests;
