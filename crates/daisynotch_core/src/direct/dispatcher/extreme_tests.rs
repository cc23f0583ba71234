//! Numbers from callers, endpoints, the store and other routers at the ends of their ranges.

use std::panic::{AssertUnwindSafe, catch_unwind};

use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};

use super::tests::{at, digest, dispatcher, entry, plain_spec, spec, table};
use super::*;
use crate::direct::{
    CrashNews, CrashReport, CrashedEndpoint, EndpointList, LateCrashNews, OpenRun, Part, PartBlock,
    PartProof, ServiceView,
};

const SEEDS: u64 = 40;
const STEPS: usize = 400;
const EXTREMES: [u32; 7] = [0, 1, 7, 65_536, u32::MAX / 2, u32::MAX - 1, u32::MAX];

struct Values(StdRng);

impl Values {
    fn number(&mut self) -> u32 {
        *EXTREMES.choose(&mut self.0).unwrap()
    }

    fn wide(&mut self) -> u64 {
        u64::from(self.number()) << (32 * self.0.random_range(0..2)) | u64::from(self.number())
    }

    fn below(&mut self, end: usize) -> usize {
        self.0.random_range(0..end)
    }

    fn parts(&mut self) -> crate::direct::Parts {
        let parts = (0..self.below(4)).map(|id| Part {
            id: id as u32,
            tokens: self.number(),
        });
        parts.collect()
    }
}

fn news(values: &mut Values, endpoints: &[EndpointId]) -> CrashNews {
    let endpoint = endpoints[values.below(endpoints.len())];
    let crashed = CrashedEndpoint {
        endpoint,
        age_ms: values.number(),
    };
    let block = PartBlock {
        parts: [1, 2].into_iter().collect(),
        age_ms: values.number(),
        pause_ms: values.number(),
        renewals: values.number(),
        endpoints: std::iter::once(endpoint).collect(),
    };
    let proof = PartProof {
        part: values.below(4) as u32,
        age_ms: values.number(),
    };
    let begun = CrashReport {
        endpoint,
        age_ms: values.number(),
        has_head: true,
        is_trial: true,
        parts: [1, 2].into_iter().collect(),
    };
    CrashNews {
        reports: Vec::<CrashReport>::new(),
        proofs: vec![proof],
        blocks: vec![block],
        trials: vec![endpoint],
        crashes: vec![crashed],
        after_first_event: LateCrashNews {
            reports: vec![begun],
            proofs: vec![proof],
        },
    }
}

fn peer_digest(values: &mut Values, endpoints: &[EndpointId]) -> Digest {
    let named = endpoints.iter().map(|endpoint| EndpointDigest {
        endpoint: *endpoint,
        unread_tokens: values.number(),
        running: values.number() as u16,
        memory_tokens: values.number(),
        is_suspect: values.below(4) == 0,
    });
    let named = named.collect();
    let teams = (0..4).map(|team| TeamDigest {
        team,
        asked_tokens: values.number(),
        begun_tokens: values.number(),
    });
    let teams = teams.collect();
    let placed = endpoints.iter().map(|endpoint| PlacedParts {
        endpoint: *endpoint,
        parts: values.parts(),
    });
    Digest {
        placed: placed.collect(),
        endpoints: named,
        teams,
        ..digest()
    }
}

fn play(seed: u64) {
    let mut values = Values(StdRng::seed_from_u64(seed));
    let mut dispatcher = dispatcher(u64::from(values.number()));
    let mut table = table(u64::from(values.number()));
    let mut list = EndpointList::default();
    let mut runs = Vec::new();
    let mut now = at(0);
    for _ in 0..STEPS {
        now = now + Duration::from_millis(u64::from(values.number() % 70_000));
        let endpoints: Vec<EndpointId> = dispatcher.endpoints.keys().copied().collect();
        match values.below(8) {
            0 => {
                let service = ["models", "orders"][values.below(2)];
                let mut entry = entry(service, values.below(5));
                entry.slots = values.number();
                entry.started_unix_ms = values.wide();
                entry.report_seq = values.wide();
                for change in list.write(entry, now) {
                    dispatcher.on_endpoint(change, &table);
                }
            }
            1 => {
                let engine = EngineLimits {
                    slots: values.number(),
                    memory_tokens: values.wide(),
                };
                let mut service = ServiceView::clone(table.service("models").unwrap());
                service.engine = (values.below(4) > 0).then_some(engine);
                service.connections_max = values.number();
                table.add_service(service);
                dispatcher.on_routes(&table);
            }
            2 if !endpoints.is_empty() => {
                let digest = peer_digest(&mut values, &endpoints);
                dispatcher.on_digest(&digest, now);
            }
            3 if !endpoints.is_empty() => {
                let news = news(&mut values, &endpoints);
                dispatcher.on_crash_news(&news, now);
            }
            4 if !runs.is_empty() => {
                let run: RunId = runs.swap_remove(values.below(runs.len()));
                dispatcher.on_bytes(run, now);
                let crashed: Option<OpenRun> = dispatcher.open_run(run);
                if let Some(crashed) = crashed.filter(|_| values.below(4) == 0) {
                    dispatcher.on_crash(&crashed, now);
                }
                let pause = Duration::from_secs(u64::from(values.number()));
                if let Some(endpoint) = endpoints.first() {
                    dispatcher.on_pushback(*endpoint, pause, now);
                }
                dispatcher.on_ended(run, RunOutcome::Done, now);
            }
            5 => {
                dispatcher.set_routers(values.number() as usize);
                dispatcher.expire(now);
                list.expire(now);
                let changes = list.close_lapsed(now);
                for change in changes {
                    dispatcher.on_endpoint(change, &table);
                }
                dispatcher.to_digest(now);
            }
            _ => {
                let request = RequestSpec {
                    parts: values.parts(),
                    prompt_tokens: values.number(),
                    answer_tokens: values.number(),
                    body_bytes: values.number() as usize,
                    priority: values.number(),
                    objective: Duration::from_millis(values.wide()),
                    give_up_at: now + Duration::from_millis(values.wide()),
                    ..if values.below(2) == 0 {
                        spec(values.below(4) as u32, 1, 0, now)
                    } else {
                        plain_spec(now)
                    }
                };
                dispatcher.on_request(&request, now);
                dispatcher.submit(request);
                for (_, verdict) in dispatcher.decide_waiting(now) {
                    if let Verdict::Send(grant) = verdict {
                        runs.push(grant.run);
                    }
                }
            }
        }
    }
}

/// A number at the end of its range ended the task that computed with it.
#[test]
fn extreme_numbers_do_not_panic() {
    let failed = (0..SEEDS).filter(|seed| catch_unwind(AssertUnwindSafe(|| play(*seed))).is_err());
    let failed: Vec<u64> = failed.collect();
    assert!(failed.is_empty(), "seeds {failed:?}");
}
