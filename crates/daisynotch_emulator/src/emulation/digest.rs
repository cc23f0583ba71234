//! Digests that the emulated routers send to each other.

use std::rc::Rc;

use daisynotch_core::direct::{ConfigurationStamp, Digest, StorePosition};

use super::{Emulation, Event, Router};
use crate::fleet::host_introduction;

/// Routers that get one digest; a larger fleet is served round-robin, as in production.
const FANOUT_MAX: usize = 24;
/// Reports on crashes in a digest, as in production.
const CRASH_REPORTS_MAX: usize = 16;
/// Speeds of engines in a digest, as in production.
const SPEEDS_MAX: usize = 4;

impl Emulation<'_> {
    pub(super) fn send_digest(&mut self, router: usize) {
        let now = self.now();
        self.digest_seqs[router] += 1;
        let seq = self.digest_seqs[router];
        let Router::Direct(dispatcher) = &mut self.routers[router] else {
            return;
        };
        dispatcher.expire(now);
        let news = dispatcher.crash_news(CRASH_REPORTS_MAX, now);
        dispatcher.take_evidence_changes();
        let speeds = dispatcher.speed_news(SPEEDS_MAX, now);
        let (endpoints, teams, placed) = dispatcher.to_digest(now);
        let work = dispatcher.work_news(&endpoints);
        let digest = Digest {
            host: host_introduction(router),
            seq,
            configuration: ConfigurationStamp::default(),
            configuration_age_ms: None,
            endpoints_at: StorePosition::default(),
            leaving: Vec::new(),
            arrivals_per_core_s: 0,
            endpoints,
            teams,
            placed,
            is_brief: false,
            known_hosts: Vec::new(),
            known_hosts_len: 0,
            heartbeats: Vec::new(),
            introduced: Vec::new(),
        };
        let digest = Rc::new((digest, news, speeds, work));
        let routers = self.routers.len();
        let fanout = FANOUT_MAX.min(routers - 1);
        for _ in 0..fanout {
            self.digest_cursors[router] = (self.digest_cursors[router] + 1) % routers;
            if self.digest_cursors[router] == router {
                self.digest_cursors[router] = (router + 1) % routers;
            }
            let receive = Event::ReceiveDigest {
                router: self.digest_cursors[router],
                digest: Rc::clone(&digest),
            };
            self.schedule(self.link_us(), receive);
        }
        self.schedule(self.digest_interval_us(), Event::SendDigest { router });
    }
}
