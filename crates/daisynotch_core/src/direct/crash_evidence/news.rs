//! The messages in which routers share evidence on prompt parts.
//!
//! Each router passes on what it has heard, with its age, so that evidence reaches routers that
//! do not hear each other. A message holds whole reports instead of changes, so that a lost one
//! has no lasting effect.

use std::cmp::Reverse;
use std::collections::hash_map::Entry;
use std::time::Duration;

use daisynotch_objects::EndpointId;

use super::blocks::BLOCK_MAX;
use super::{
    AnswerStage, Block, CRASH_RATE_WINDOW, Crash, CrashEvidence, CrashPoint, CrashedEndpoints,
    EvidenceChange, PartIds, Report, contains_all,
};
use crate::time::{Timestamp, age_to_ms};

/// How long a proof that contradicts other routers' evidence is sent.
pub(super) const PROOFS_SENT_FOR: Duration = Duration::from_secs(5);
/// Maximum number of proofs in a message.
const PROOFS_MAX: usize = 32;
/// Maximum number of blocks in a message.
const SENT_BLOCKS_MAX: usize = 32;
/// Added to the age of a proof that another router sent, beside the time on the way.
const PROOF_AGE_MARGIN: Duration = Duration::from_millis(20);
/// How long a trial on another router counts after it was last reported.
const PEER_TRIAL_TTL: Duration = Duration::from_millis(300);

/// An open request at an engine that crashed.
#[daisynotch_macros::message]
pub struct CrashReport {
    /// The engine start that crashed.
    pub endpoint: EndpointId,
    /// The time since the crash, in milliseconds.
    pub age_ms: u32,
    /// Whether the head of the response had arrived.
    pub has_head: bool,
    /// Whether the request was a trial of a suspect part.
    pub is_trial: bool,
    /// The shared parts of the prompt that no later answer has proven.
    pub parts: PartIds,
}

/// An engine start that crashed.
#[daisynotch_macros::message]
#[derive(Copy)]
pub struct CrashedEndpoint {
    /// The engine start.
    pub endpoint: EndpointId,
    /// The time since the crash, in milliseconds.
    pub age_ms: u32,
}

/// A part that an answer has proven sound.
#[daisynotch_macros::message]
#[derive(Copy)]
pub struct PartProof {
    /// The part.
    pub part: u32,
    /// The time since the latest proof, in milliseconds.
    pub age_ms: u32,
}

/// Parts that requests must not have together.
#[daisynotch_macros::message]
pub struct PartBlock {
    /// The parts.
    pub parts: PartIds,
    /// The time since the latest crash that the parts caused, in milliseconds.
    pub age_ms: u32,
    /// The time from that crash until the next trial, in milliseconds.
    pub pause_ms: u32,
    /// The number of failed trials since the block began.
    pub renewals: u32,
    /// Engine starts that crashed.
    pub endpoints: CrashedEndpoints,
}

/// What one router knows of crashes.
#[daisynotch_macros::message]
#[derive(Default)]
pub struct CrashNews {
    /// Open requests without an event at engines that crashed, the latest crashes first.
    pub reports: Vec<CrashReport>,
    /// Answers that got past their first event, which contradict what other routers sent.
    pub proofs: Vec<PartProof>,
    /// Blocks in force.
    pub blocks: Vec<PartBlock>,
    /// Engines on which the sender runs trials.
    pub trials: Vec<EndpointId>,
    /// The latest crashes, for the rate of ordinary ones.
    pub crashes: Vec<CrashedEndpoint>,
    /// The evidence on crashes after the first event. Routers of an earlier version would take it for
    /// evidence on those before, so it follows a message where such routers read no further.
    #[serde(skip)]
    pub after_first_event: LateCrashNews,
}

/// What one router knows of crashes shortly after the first event of an answer.
#[daisynotch_macros::message]
#[derive(Default)]
pub struct LateCrashNews {
    /// Requests whose answers had begun, the latest crashes first.
    pub reports: Vec<CrashReport>,
    /// Answers that their engines outlived, which contradict what other routers sent.
    pub proofs: Vec<PartProof>,
}

impl CrashNews {
    /// Adds the time on the way to the ages of proofs, as a proof must not become younger than a
    /// crash that came after it. Without an upper bound on that time, proofs are dropped. Crashes
    /// keep their ages: one that looks too old would be disproven by an earlier proof.
    pub fn add_transit(&mut self, transit: Option<Duration>) {
        let late = &mut self.after_first_event;
        let Some(transit) = transit else {
            self.proofs.clear();
            late.proofs.clear();
            return;
        };
        for proof in self.proofs.iter_mut().chain(&mut late.proofs) {
            proof.age_ms = proof.age_ms.saturating_add(age_to_ms(transit));
        }
    }

    /// Returns whether there is nothing to tell.
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }
}

impl CrashEvidence {
    /// Returns the blocks in force.
    pub fn blocks(&self, now: Timestamp) -> Vec<PartBlock> {
        let blocks = self.blocks.iter().map(|block| PartBlock {
            parts: block.parts.clone(),
            age_ms: to_ms(now.since(block.since)),
            pause_ms: to_ms(block.pause),
            renewals: block.renewals,
            endpoints: block.endpoints.clone(),
        });
        blocks.collect()
    }

    /// Returns the evidence for other routers, with at most `reports_max` reports.
    pub fn to_news(&self, reports_max: usize, now: Timestamp) -> CrashNews {
        let mut crashes: Vec<CrashedEndpoint> = self
            .crashes
            .iter()
            .filter(|(_, crash)| now.since(crash.at) < CRASH_RATE_WINDOW)
            .map(|(endpoint, crash)| CrashedEndpoint {
                endpoint: *endpoint,
                age_ms: to_ms(now.since(crash.at)),
            })
            .collect();
        crashes.sort_unstable_by_key(|crash| (crash.age_ms, crash.endpoint));
        crashes.truncate(reports_max);
        let mut blocks = self.blocks(now);
        blocks.sort_by_key(|block| block.age_ms);
        blocks.truncate(SENT_BLOCKS_MAX);
        CrashNews {
            reports: self.report_news(CrashPoint::BeforeFirstEvent, reports_max, now),
            proofs: self.proof_news(CrashPoint::BeforeFirstEvent, now),
            blocks,
            trials: Vec::new(),
            crashes,
            after_first_event: self.late_news(reports_max, now),
        }
    }

    /// Returns the evidence on crashes after the first event, with at most `reports_max` reports.
    pub fn late_news(&self, reports_max: usize, now: Timestamp) -> LateCrashNews {
        let point = CrashPoint::AfterFirstEvent;
        LateCrashNews {
            reports: self.report_news(point, reports_max, now),
            proofs: self.proof_news(point, now),
        }
    }

    fn proof_news(&self, point: CrashPoint, now: Timestamp) -> Vec<PartProof> {
        let contradicted = self.contradicted.iter();
        let mut contradicted: Vec<(Timestamp, u32)> = contradicted
            .filter(|((at_point, _), _)| *at_point == point)
            .map(|((_, part), at)| (*at, *part))
            .collect();
        contradicted.sort_unstable_by(|left, right| right.cmp(left));
        let proofs = contradicted.into_iter().filter_map(|(_, part)| {
            let age_ms = age_to_ms(now.since(self.proofs.get(point, part)?));
            Some(PartProof { part, age_ms })
        });
        proofs.take(PROOFS_MAX).collect()
    }

    /// Returns up to `max` reports on crashes at one point. Those with an unproven part come first: the
    /// sound requests of one crash must not displace the fatal one.
    fn report_news(&self, point: CrashPoint, max: usize, now: Timestamp) -> Vec<CrashReport> {
        let mut reports: Vec<&Report> = self.reports_at(point).collect();
        reports.sort_by_cached_key(|report| {
            let mut parts = report.parts.iter();
            let has_unproven = parts.any(|part| self.is_unproven(point, *part));
            Reverse((has_unproven, report.at))
        });
        let reports = reports.into_iter().take(max);
        let reports = reports.map(|report| CrashReport {
            endpoint: report.endpoint,
            age_ms: to_ms(now.since(report.at)),
            has_head: report.stage != AnswerStage::Waiting,
            is_trial: report.is_trial,
            parts: report.parts.clone(),
        });
        reports.collect()
    }

    /// Applies another router's evidence.
    pub fn on_news(&mut self, news: &CrashNews, now: Timestamp) {
        let late = &news.after_first_event;
        let proven_at = |proof: &PartProof| {
            now - (Duration::from_millis(u64::from(proof.age_ms)) + PROOF_AGE_MARGIN)
        };
        for proof in &news.proofs {
            let point = CrashPoint::BeforeFirstEvent;
            self.prove(point, proof.part, proven_at(proof), now);
        }
        for proof in &late.proofs {
            self.prove_sound(proof.part, proven_at(proof), now);
        }
        for block in &news.blocks {
            self.on_block(block, now);
        }
        for report in &news.reports {
            let stage = if report.has_head {
                AnswerStage::Head
            } else {
                AnswerStage::Waiting
            };
            self.on_report(report, stage, now);
        }
        for report in &late.reports {
            self.on_report(report, AnswerStage::Begun, now);
        }
        for crash in &news.crashes {
            let at = now - Duration::from_millis(u64::from(crash.age_ms));
            if let Entry::Vacant(unknown) = self.crashes.entry(crash.endpoint) {
                unknown.insert(Crash {
                    at,
                    has_head: false,
                    is_explained: false,
                });
                self.report_begun_answers(crash.endpoint, now);
            }
        }
        for endpoint in &news.trials {
            self.peer_trials.insert(*endpoint, now + PEER_TRIAL_TTL);
        }
        self.decide_blocks(now);
    }

    /// Applies another router's report.
    fn on_report(&mut self, report: &CrashReport, stage: AnswerStage, now: Timestamp) {
        let report = Report {
            endpoint: report.endpoint,
            at: now - Duration::from_millis(u64::from(report.age_ms)),
            stage,
            is_trial: report.is_trial,
            parts: report.parts.clone(),
        };
        self.add_report(report, now);
    }

    /// Applies another router's block, less the parts that were proven since.
    fn on_block(&mut self, block: &PartBlock, now: Timestamp) {
        let since = now - Duration::from_millis(u64::from(block.age_ms));
        let mut parts = block.parts.clone();
        for part in &block.parts {
            if self
                .proofs
                .get(CrashPoint::AfterFirstEvent, *part)
                .is_some_and(|proven_at| proven_at > since)
            {
                let point = CrashPoint::AfterFirstEvent;
                self.contradicted.insert((point, *part), now);
                parts.retain(|id| id != part);
            }
        }
        if parts.is_empty() {
            return;
        }
        for endpoint in &block.endpoints {
            let crash = self.crashes.entry(*endpoint).or_insert(Crash {
                at: since,
                has_head: false,
                is_explained: true,
            });
            crash.is_explained = true;
        }
        self.explain(&block.endpoints);
        let received = Block {
            parts,
            since,
            pause: Duration::from_millis(u64::from(block.pause_ms)).min(BLOCK_MAX),
            renewals: block.renewals,
            endpoints: block.endpoints.clone(),
        };
        let known = self.blocks.iter_mut().find(|known| {
            contains_all(&known.parts, &received.parts)
                && contains_all(&received.parts, &known.parts)
        });
        match known {
            // The time on the way must not prolong a block each time that it is passed on.
            Some(known) if received.renewals == known.renewals => {
                known.since = known.since.min(received.since);
            }
            Some(known) if received.renewals > known.renewals => *known = received,
            Some(_) => {}
            None if received.is_obsolete(now) => {}
            None => {
                self.changes.push(EvidenceChange::Blocked {
                    parts: received.parts.clone(),
                    endpoints: received.endpoints.clone(),
                    pause: received.pause,
                });
                self.insert_block(received);
            }
        }
    }
}

fn to_ms(duration: Duration) -> u32 {
    u32::try_from(duration.as_millis()).unwrap_or(u32::MAX)
}
