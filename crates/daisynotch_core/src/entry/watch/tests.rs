use super::*;

const POOL: PoolId = PoolId(1);

fn at(time_ms: u64) -> Timestamp {
    Timestamp(time_ms * 1_000)
}

fn watch_after(first_tokens_ms: impl IntoIterator<Item = u64>) -> Watch {
    let mut watch = Watch::default();
    for first_token_ms in first_tokens_ms {
        watch.on_sent(RequestId(0), POOL, at(0));
        watch.on_first_token(RequestId(0), POOL, Duration::from_millis(first_token_ms));
    }
    watch
}

#[test]
fn a_first_token_is_late_by_what_the_pool_does_usually() {
    let mut watch = watch_after([100; 100]);
    watch.on_sent(RequestId(1), POOL, at(0));
    assert_eq!(watch.pop_late(at(99)), None);
    assert_eq!(watch.pop_late(at(150)), Some(RequestId(1)));
    assert_eq!(watch.pop_late(at(150)), None);
}

#[test]
fn a_pool_with_uneven_first_tokens_has_more_patience() {
    let mut watch = watch_after((0..100).map(|index| 50 + 100 * (index % 2)));
    watch.on_sent(RequestId(1), POOL, at(0));
    assert_eq!(watch.pop_late(at(200)), None);
}

#[test]
fn only_what_is_out_of_the_ordinary_is_news() {
    let mut watch = Watch::default();
    let mut reported = Reported::default();
    let mut is_news =
        |cost, gap_us| watch.is_news(&mut reported, POOL, Cost(100), Cost(cost), Some(gap_us));
    assert!(!is_news(100, 40_000));
    assert!(is_news(110, 200_000));
    assert!(!is_news(120, 200_000));
    assert!(is_news(130, 40_000));
    assert!(is_news(260, 40_000));
    assert!(!is_news(519, 40_000));
    assert!(is_news(520, 40_000));
}
