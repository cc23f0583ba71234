//! Blocks of parts that crash engines: how long they last, and which crashes they account for.

use std::time::Duration;

use daisynotch_objects::EndpointId;

use super::{CrashEvidence, CrashedEndpoints, EvidenceChange, PartIds, Report, contains_all};
use crate::time::Timestamp;

/// How long a part is first blocked. One trial follows; each that fails doubles the time.
pub(super) const BLOCK_INITIAL: Duration = Duration::from_secs(60);
/// Upper bound of that time.
pub(super) const BLOCK_MAX: Duration = Duration::from_secs(3_600);
/// Maximum number of blocks that are kept.
const BLOCKS_MAX: usize = 256;
/// Maximum number of crashed engine starts that a block names.
const BLOCK_ENDPOINTS_MAX: usize = 8;

/// Parts that requests must not have together.
#[derive(Debug, Clone)]
pub(super) struct Block {
    pub(super) parts: PartIds,
    /// When the latest engine crashed under these parts.
    pub(super) since: Timestamp,
    /// The time from then until the next trial.
    pub(super) pause: Duration,
    /// Number of failed trials since the block began.
    pub(super) renewals: u32,
    /// Engine starts that crashed.
    pub(super) endpoints: CrashedEndpoints,
}

impl Block {
    pub(super) fn trial_due_at(&self) -> Timestamp {
        self.since + self.pause
    }

    /// Returns whether nobody has sent the parts for long after a trial was due.
    pub(super) fn is_obsolete(&self, now: Timestamp) -> bool {
        now >= self.trial_due_at() + self.pause * 2
    }
}

impl CrashEvidence {
    /// Extends the block whose trial has failed. Returns whether a block accounts for the report.
    pub(super) fn renew_block(&mut self, report: &Report) -> bool {
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
    pub(super) fn explain(&mut self, endpoints: &[EndpointId]) {
        for endpoint in endpoints {
            if let Some(crash) = self.crashes.get_mut(endpoint) {
                crash.is_explained = true;
            }
        }
        self.reports
            .retain(|report| !endpoints.contains(&report.endpoint));
    }

    /// Blocks the parts that the reports leave no doubt about.
    pub(super) fn decide_blocks(&mut self, now: Timestamp) {
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

    pub(super) fn insert_block(&mut self, block: Block) {
        if self.blocks.len() >= BLOCKS_MAX {
            let oldest = (0..self.blocks.len()).min_by_key(|index| self.blocks[*index].since);
            if let Some(oldest) = oldest {
                self.blocks.swap_remove(oldest);
            }
        }
        self.blocks.push(block);
    }
}

fn block_pause(renewals: u32) -> Duration {
    BLOCK_INITIAL
        .saturating_mul(2_u32.saturating_pow(renewals))
        .min(BLOCK_MAX)
}
