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
fn those_who_ask_little_keep_all_and_the_rest_share_evenly() {
    let mut shares = shares();
    shares.on_asked(HOT, 100_000, at(0));
    shares.on_asked(OTHER, 5_000, at(0));
    shares.on_asked(SMALL, 400, at(0));
    // 4,000 tokens a window: 400 for the small team, 1,800 for each of the others.
    assert!(shares.used_fraction(SMALL, 400, at(1)) <= 1.0);
    assert!(shares.used_fraction(HOT, 1_800, at(1)) <= 1.0);
    assert!(shares.used_fraction(HOT, 1_900, at(1)) > 1.0);
    assert!(shares.used_fraction(OTHER, 1_800, at(1)) <= 1.0);
}

#[test]
fn nobody_is_beyond_a_share_while_there_is_enough() {
    let mut shares = shares();
    shares.on_asked(HOT, 3_500, at(0));
    shares.on_asked(SMALL, 400, at(0));
    assert!(shares.used_fraction(HOT, 3_500, at(1)) < 0.001);
}

#[test]
fn what_other_routers_began_counts() {
    let mut shares = shares();
    shares.on_asked(HOT, 10_000, at(0));
    let reported = [TeamDigest {
        team: HOT,
        asked_tokens: 50_000,
        begun_tokens: 3_900,
    }];
    shares.on_peer(RouterId(7), &reported, at(0));
    assert!(shares.used_fraction(HOT, 200, at(1)) > 1.0);
    // A router that fell silent no longer counts.
    assert!(shares.used_fraction(HOT, 200, at(2_000)) <= 1.0);
}

#[test]
fn what_was_begun_is_forgotten_after_the_window() {
    let mut shares = shares();
    shares.on_asked(HOT, 10_000, at(0));
    shares.on_begun(HOT, 4_000, at(0));
    shares.on_asked(HOT, 10_000, at(3_900));
    assert!(shares.used_fraction(HOT, 100, at(3_900)) > 1.0);
    shares.on_asked(HOT, 10_000, at(4_600));
    assert!(shares.used_fraction(HOT, 100, at(4_600)) <= 1.0);
}

#[test]
fn without_a_capacity_nothing_is_divided() {
    let mut shares = TeamShares::new(ShareSettings {
        tokens_per_s: None,
        window: Duration::from_secs(4),
    });
    shares.on_asked(HOT, 1_000_000, at(0));
    assert!(shares.used_fraction(HOT, 1_000_000, at(1)) <= 0.0);
}

/// Many small requests find idle capacity more often than few; they must not get it all.
#[test]
fn idle_capacity_goes_to_teams_that_are_not_ahead() {
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
fn a_team_alone_is_never_ahead() {
    let mut shares = shares();
    shares.on_asked(HOT, 50_000, at(0));
    shares.on_begun(HOT, 40_000, at(0));
    let hot = shares.used_fraction(HOT, 100, at(200));
    assert!(hot > 5.0);
    assert!(!shares.must_yield_idle_capacity(hot));
}

/// At the start of a rush every team is within its share of the window, and the router that
/// sees room first would take it all.
#[test]
fn within_the_share_a_team_leads_one_that_got_little() {
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

/// In the first second less is asked than the window holds, though more than engines take.
#[test]
fn a_team_leads_before_the_shares_bind() {
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
fn a_small_team_that_gets_what_it_asks_holds_nobody_back() {
    let mut shares = shares();
    shares.on_asked(HOT, 50_000, at(0));
    shares.on_begun(HOT, 1_600, at(0));
    shares.on_asked(OTHER, 400, at(0));
    shares.on_begun(OTHER, 350, at(0));
    let hot = shares.lead(HOT, 0, at(200));
    assert!(hot <= 1.0, "{hot}");
}
