use super::*;

const LIMIT: RequestRate = RequestRate(3_500);

fn members(weights: &[f64]) -> Vec<Member> {
    let weights = weights.iter().enumerate();
    let members = weights.map(|(index, weight)| Member {
        router: RouterId(1 + index as u64),
        weight: *weight,
    });
    members.collect()
}

fn parts(endpoint: EndpointId, limit: RequestRate, members: &[Member]) -> Vec<Part> {
    let members_and_parts = members.iter();
    members_and_parts
        .map(|member| part_of(member.router, endpoint, limit, members))
        .collect()
}

/// Equal parts of hundreds of routers are less than one request each, and together many requests.
#[test]
fn parts_and_bursts_add_up_to_the_limit_at_any_number_of_routers() {
    for routers in [1, 2, 9, 67, 300] {
        let members = members(&vec![1.0; routers]);
        for endpoint in 0..20 {
            for limit in [LIMIT, RequestRate(1_500), RequestRate(11_100)] {
                let parts = parts(EndpointId(endpoint), limit, &members);
                let per_s: f64 = parts.iter().map(|part| part.per_s).sum();
                assert!((per_s - limit.per_s()).abs() < 1e-9, "{routers}: {per_s}");
                let burst: f64 = parts.iter().map(|part| part.burst).sum();
                assert!(burst <= 5.0 + 0.4 * limit.per_s(), "{routers}: {burst}");
                let holders = parts.iter().filter(|part| part.per_s > 0.0);
                assert!(holders.clone().all(|part| part.burst >= 1.0));
                assert!(holders.count() <= HOLDERS_MAX);
            }
        }
    }
}

#[test]
fn parts_follow_the_demand() {
    let members = members(&[8.0, 1.0, 1.0]);
    let parts = parts(EndpointId(1), RequestRate(10_000), &members);
    let per_s: Vec<f64> = parts.iter().map(|part| part.per_s).collect();
    assert_eq!(per_s, [8.0, 1.0, 1.0]);
}

#[test]
fn a_router_with_more_demand_holds_more_limits() {
    let mut weights = vec![1.0; 30];
    weights[0] = 8.0;
    let members = members(&weights);
    let held = |index: usize| {
        let endpoints = (0..200).map(EndpointId);
        let parts = endpoints.map(|id| part_of(members[index].router, id, LIMIT, &members));
        parts.filter(|part| part.per_s > 0.0).count()
    };
    assert!(held(0) > 3 * held(1), "{} {}", held(0), held(1));
}

/// Nobody would learn that a limit of zero has ended.
#[test]
fn a_limit_of_zero_lets_single_requests_through() {
    let parts = parts(EndpointId(1), RequestRate(0), &members(&[1.0; 9]));
    let holders: Vec<&Part> = parts.iter().filter(|part| part.per_s > 0.0).collect();
    assert_eq!(holders.len(), 1);
    assert_eq!(holders[0].per_s, Budget::RATE_MIN_PER_S);
}

#[test]
fn a_router_that_is_no_member_has_no_part() {
    let members = members(&[1.0; 3]);
    let part = part_of(RouterId(99), EndpointId(1), LIMIT, &members);
    assert_eq!(part, Part::default());
    let part = part_of(RouterId(99), EndpointId(1), LIMIT, &[]);
    assert_eq!(part, Part::default());
}
