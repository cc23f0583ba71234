use super::*;

fn part(id: u32, tokens: u32) -> Part {
    Part { id, tokens }
}

#[test]
fn only_the_cached_prefix_of_a_prompt_counts() {
    let mut cache = PartCache::new(1_000);
    cache.insert(&[part(1, 100), part(2, 50), part(3, 20)]);
    assert_eq!(
        cache.cached_tokens(&[part(1, 100), part(2, 50), part(9, 20)]),
        150
    );
    assert_eq!(cache.cached_tokens(&[part(9, 10), part(2, 50)]), 0);
    assert_eq!(cache.cached_tokens(&[]), 0);
}

#[test]
fn the_least_recently_used_part_is_evicted() {
    let mut cache = PartCache::new(250);
    cache.insert(&[part(1, 100)]);
    cache.insert(&[part(2, 100)]);
    cache.insert(&[part(1, 100)]);
    cache.insert(&[part(3, 100)]);
    assert_eq!(cache.cached_tokens(&[part(1, 100)]), 100);
    assert_eq!(cache.cached_tokens(&[part(2, 100)]), 0);
    assert_eq!(cache.cached_tokens(&[part(3, 100)]), 100);
}

#[test]
fn a_repeated_part_is_counted_once() {
    let mut cache = PartCache::new(250);
    for _ in 0..10 {
        cache.insert(&[part(1, 100)]);
    }
    cache.insert(&[part(2, 100)]);
    assert_eq!(cache.cached_tokens(&[part(1, 100), part(2, 100)]), 200);
}
