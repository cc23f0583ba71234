use super::*;
use crate::direct::digest::HostPhase;
use crate::message::Incarnation;

fn hosts(sizes: &[(u32, usize)]) -> Vec<HostIntroduction> {
    let mut hosts = Vec::new();
    for (cpu_millicores, count) in sizes {
        for _ in 0..*count {
            let number = hosts.len();
            hosts.push(HostIntroduction {
                router: format!("host-{number}").parse().unwrap(),
                zone: format!("zone-{}", number % 3).parse().unwrap(),
                incarnation: Incarnation(1),
                caller_address: ([10, 0, 1, number as u8], 80).into(),
                peer_address: ([10, 0, 1, number as u8], 7400).into(),
                phase: HostPhase::Serving,
                cpu_millicores: *cpu_millicores,
                is_crowded: false,
                has_store: true,
                has_callers: true,
            });
        }
    }
    hosts
}

/// Returns how many hosts of each size are selected.
fn selected(sizes: &[(u32, usize)], needed_millicores: f64) -> Vec<(u32, usize)> {
    let hosts = hosts(sizes);
    let mut left: Vec<&HostIntroduction> = hosts.iter().collect();
    retain_needed(&mut left, needed_millicores);
    let of_size = |size: u32| {
        let of_size = left.iter().filter(|host| host.cpu_millicores == size);
        of_size.count()
    };
    let sizes = sizes.iter().map(|(size, _)| (*size, of_size(*size)));
    sizes.filter(|(_, count)| *count > 0).collect()
}

/// The middle hosts were sent callers too, and four times as many digests crossed zones as the
/// largest hosts alone need.
#[test]
fn smaller_hosts_get_callers_only_when_the_larger_ones_do_not_suffice() {
    let fleet = [(500, 6), (300, 17), (90, 54)];
    assert_eq!(selected(&fleet, 1_000.0), [(500, 6)]);
    assert_eq!(selected(&fleet, 3_500.0), [(500, 6), (300, 17)]);
    assert_eq!(selected(&fleet, 9_000.0), fleet);
}

/// A single large host must not get all callers: nothing would be left if it failed.
#[test]
fn one_large_host_is_not_alone() {
    assert_eq!(
        selected(&[(500, 1), (300, 4), (90, 9)], 100.0),
        [(500, 1), (300, 4)]
    );
}

/// Sizes that differ by little count as the same, or a few hosts would be crowded.
#[test]
fn hosts_of_about_the_same_size_stay_together() {
    let fleet = [(250, 2), (220, 4)];
    assert_eq!(selected(&fleet, 100.0), fleet);
    assert!(selected(&[], 100.0).is_empty());
}
