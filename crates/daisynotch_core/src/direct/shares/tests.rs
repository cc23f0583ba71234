use super::*;

const HOT: u32 = 1;
const SMALL: u32 = 2;
const OTHER: u32 = 3;

fn shares() -> TeamShares {
    TeamShares::new(ShareSettings {
        tokens_per_s: Some(1_000),
        window: Duration::from_secs(4),
    })
}

fn at(ms: u64) -> Timestamp {
    Timestamp(100_000_000 + ms * 1_000)
}

#[test]
fn teams_with_little_demand_get_all_of_it_and_the_rest_share_evenly() {
    let mut shares = shares();
    shares.on_asked(HOT, 100_000, at(0));
    shares.on_asked(OTHER, 5_000, at(0));
    shares.on_asked(SMALL, 400, at(0));
    // 4,000 tokens per window: 400 for the small team, 1,800 for each of the others.
    assert!(shares.used_fraction(SMALL, 400, at(1)) <= 1.0);
    assert!(shares.used_fraction(HOT, 1_800, at(1)) <= 1.0);
    assert!(shares.used_fraction(HOT, 1_900, at(1)) > 1.0);
    assert!(shares.used_fraction(OTHER, 1_800, at(1)) <= 1.0);
}

#[test]
fn no_team_is_beyond_its_share_while_capacity_suffices() {
    let mut shares = shares();
    shares.on_asked(HOT, 3_500, at(0));
    shares.on_asked(SMALL, 400, at(0));
    assert!(shares.used_fraction(HOT, 3_500, at(1)) < 0.001);
}

#[test]
fn tokens_begun_on_other_routers_count() {
    let mut shares = shares();
    shares.on_asked(HOT, 10_000, at(0));
    let reported = [TeamDigest {
        team: HOT,
        asked_tokens: 50_000,
        begun_tokens: 3_900,
    }];
    shares.on_peer(RouterId(7), &reported, at(0));
    assert!(shares.used_fraction(HOT, 200, at(1)) > 1.0);
    // The sums of a router whose digests have stopped expire.
    assert!(shares.used_fraction(HOT, 200, at(2_000)) <= 1.0);
}

#[test]
fn begun_tokens_expire_after_the_window() {
    let mut shares = shares();
    shares.on_asked(HOT, 10_000, at(0));
    shares.on_begun(HOT, 4_000, at(0));
    shares.on_asked(HOT, 10_000, at(3_900));
    assert!(shares.used_fraction(HOT, 100, at(3_900)) > 1.0);
    shares.on_asked(HOT, 10_000, at(4_600));
    assert!(shares.used_fraction(HOT, 100, at(4_600)) <= 1.0);
}

#[test]
fn without_a_capacity_sharing_is_disabled() {
    let mut shares = TeamShares::new(ShareSettings {
        tokens_per_s: None,
        window: Duration::from_secs(4),
    });
    shares.on_asked(HOT, 1_000_000, at(0));
    assert!(shares.used_fraction(HOT, 1_000_000, at(1)) <= 0.0);
}

/// A team with many small requests finds idle capacity more often; it must not get all of it.
#[test]
fn idle_capacity_goes_to_the_least_served_teams() {
    let mut shares = shares();
    for team in [HOT, OTHER] {
        shares.on_asked(team, 50_000, at(0));
    }
    shares.on_begun(HOT, 6_000, at(0));
    shares.on_begun(OTHER, 2_100, at(0));
    let hot = shares.used_fraction(HOT, 100, at(200));
    let other = shares.used_fraction(OTHER, 100, at(200));
    assert!(hot > 1.0 && other > 1.0, "{hot} {other}");
    assert!(shares.must_yield_idle_capacity(hot));
    assert!(!shares.must_yield_idle_capacity(other));
}

#[test]
fn a_single_team_never_yields() {
    let mut shares = shares();
    shares.on_asked(HOT, 50_000, at(0));
    shares.on_begun(HOT, 40_000, at(0));
    let hot = shares.used_fraction(HOT, 100, at(200));
    assert!(hot > 5.0);
    assert!(!shares.must_yield_idle_capacity(hot));
}

/// Guards against unfairness at the start of a rush: every team is within its share of the window,
/// and the router that first sees free capacity would take all of it.
#[test]
fn a_team_within_its_share_leads_a_less_served_team() {
    let mut shares = shares();
    for team in [HOT, OTHER] {
        shares.on_asked(team, 50_000, at(0));
    }
    shares.on_begun(HOT, 1_600, at(0));
    shares.on_begun(OTHER, 500, at(0));
    assert!(shares.used_fraction(HOT, 0, at(200)) < 1.0);
    let hot = shares.lead(HOT, 0, at(200));
    let other = shares.lead(OTHER, 0, at(200));
    assert!(hot > 2.0 && other <= 1.0, "{hot} {other}");
}

/// In the first second, demand is below the capacity of the window but above that of the engines.
#[test]
fn a_team_leads_while_capacity_covers_all_demand() {
    let mut shares = shares();
    for team in [HOT, OTHER] {
        shares.on_asked(team, 1_900, at(0));
    }
    shares.on_begun(HOT, 1_200, at(0));
    shares.on_begun(OTHER, 300, at(0));
    assert!(shares.used_fraction(HOT, 0, at(200)) < 0.001);
    let hot = shares.lead(HOT, 0, at(200));
    let other = shares.lead(OTHER, 0, at(200));
    assert!(hot > 1.5 && other <= 1.0, "{hot} {other}");
}

#[test]
fn a_fully_served_small_team_holds_no_other_team_back() {
    let mut shares = shares();
    shares.on_asked(HOT, 50_000, at(0));
    shares.on_begun(HOT, 1_600, at(0));
    shares.on_asked(OTHER, 400, at(0));
    shares.on_begun(OTHER, 350, at(0));
    let hot = shares.lead(HOT, 0, at(200));
    assert!(hot <= 1.0, "{hot}");
}

fn charge(tokens: u64, at: Timestamp) -> Charge {
    Charge {
        tokens,
        asked_at: at,
        begun_at: at,
    }
}

/// Returns what a team asked for and began at this router.
fn sums(shares: &mut TeamShares, now: Timestamp) -> Option<(u32, u32)> {
    let sums = shares.own_sums(now).into_iter().next()?;
    Some((sums.asked_tokens, sums.begun_tokens))
}

/// Guards against a team that hints high, or whose answers take longer than the window, and that
/// is paid back out of what its other requests were charged.
#[test]
fn a_charge_is_replaced_by_what_was_generated() {
    let mut shares = shares();
    for ms in [0, 3_000] {
        shares.on_asked(HOT, 1_000, at(ms));
        shares.on_begun(HOT, 1_000, at(ms));
    }
    shares.settle(HOT, &charge(1_000, at(0)), 300, at(3_000));
    assert_eq!(sums(&mut shares, at(3_000)), Some((1_300, 1_300)));
    shares.settle(HOT, &charge(1_000, at(3_000)), 1_200, at(3_100));
    assert_eq!(sums(&mut shares, at(3_100)), Some((1_500, 1_500)));
    // Once a charge has left the window, nothing is paid back.
    let late = at(5_000);
    assert_eq!(sums(&mut shares, late), Some((1_200, 1_200)));
    shares.settle(HOT, &charge(1_000, at(0)), 0, late);
    assert_eq!(sums(&mut shares, late), Some((1_200, 1_200)));
    // Sums never fall below zero.
    shares.settle(HOT, &charge(u64::MAX, at(3_000)), 0, late);
    shares.on_asked(HOT, 1, late);
    assert!(sums(&mut shares, late).is_some());
}
