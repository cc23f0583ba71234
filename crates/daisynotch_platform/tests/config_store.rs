//! Publishing with lost responses, concurrent writers, outages and removal of old chunks.

use std::time::Duration;

use daisynotch_core::BackoffSettings;
use daisynotch_objects::{CredentialDigest, Objects, Revision};
use daisynotch_platform::{
    Change, ChangeId, ConfigStore, HISTORY_MAX, KeyValueClient, Published, StoreError,
    StoredObjects,
};
use daisynotch_standins::{KeyValueStandin, VALUE_MAX_BYTES};

/// Short delays, because some tests run until all retries are used up.
const RETRIES: BackoffSettings = BackoffSettings {
    first: Duration::from_millis(10),
    longest: Duration::from_millis(40),
    budget: Some(8),
};
const TIMEOUT: Duration = Duration::from_secs(5);
const TEAMS: usize = 20_000;
const ENDPOINTS: usize = 6_600;

fn store(service: &KeyValueStandin) -> ConfigStore {
    ConfigStore::new(KeyValueClient::new(service.address(), TIMEOUT)).with_retries(RETRIES)
}

fn objects(text: &str) -> Objects {
    text.parse().expect("the objects can be read")
}

fn change(id: u64, author: &str) -> Change {
    Change {
        author: author.to_owned(),
        ..ChangeId(id).into()
    }
}

/// Starts a service with one revision, whose share can be removed without writing a new chunk.
async fn service_with_base() -> (KeyValueStandin, ConfigStore, StoredObjects) {
    let service = KeyValueStandin::start().await.expect("the stand-in starts");
    let store = store(&service);
    let text = objects("[share.mills]\n[team.mill-1]\n");
    let published = store
        .publish(&StoredObjects::default(), &text, ChangeId(1))
        .await;
    assert_eq!(
        published.expect("the service is up"),
        Published::Accepted(Revision(1))
    );
    let base = store.read().await.expect("the service is up");
    assert_eq!(base.snapshot.objects, text);
    (service, store, base)
}

#[tokio::test]
async fn design_size_fits_values_and_changing_one_team_takes_two_writes() {
    let mut text = String::from("[pool.weaver-llm]\nkind = \"inference\"\n[share.mills]\n");
    for index in 0..TEAMS {
        let digest = CredentialDigest::of_token(index.to_string().as_bytes());
        text += &format!("[team.mill-{index}]\nshare = \"mills\"\ncredentials = [\"{digest}\"]\n");
    }
    for index in 0..ENDPOINTS {
        text += &format!(
            "[endpoint.weaver-{index}]\npool = \"weaver-llm\"\nzone = \"sc-a\"\n\
             address = \"10.0.0.1:8000\"\n"
        );
    }
    let service = KeyValueStandin::start().await.expect("the stand-in starts");
    let store = store(&service);
    let all = objects(&text);
    let published = store
        .publish(&StoredObjects::default(), &all, ChangeId(1))
        .await;
    assert_eq!(
        published.expect("the service is up"),
        Published::Accepted(Revision(1))
    );
    let lengths = service.value_lengths_bytes();
    assert!(lengths.values().all(|length| *length < VALUE_MAX_BYTES / 2));

    let base = store.read().await.expect("the service is up");
    assert_eq!(base.snapshot.objects, all);
    let mut next = all.clone();
    let name = "mill-77".parse().expect("the name is valid");
    next.team
        .get_mut(&name)
        .expect("the team was just written")
        .weight = 9;
    let before = service.calls();
    let published = store.publish(&base, &next, ChangeId(2)).await;
    assert_eq!(
        published.expect("the service is up"),
        Published::Accepted(Revision(2))
    );
    assert_eq!(service.calls().writes - before.writes, 2);

    let before = service.calls();
    let read = store
        .read_from(&base.snapshot)
        .await
        .expect("the service is up");
    assert_eq!(read.snapshot.objects, next);
    assert_eq!(
        service.calls().reads - before.reads,
        2,
        "the head and one chunk"
    );
}

#[tokio::test]
async fn lost_response_is_resolved_by_reading_back() {
    for lost in 1..=3 {
        let (service, store, base) = service_with_base().await;
        service.lose_responses(lost);
        let next = objects("[team.mill-1]\nweight = 4\n");
        let published = store.publish(&base, &next, ChangeId(2)).await;
        assert_eq!(
            published.expect("the service is up"),
            Published::Accepted(Revision(2))
        );
        let read = store.read().await.expect("the service is up");
        assert_eq!(
            (read.snapshot.revision, read.snapshot.objects),
            (Revision(2), next)
        );
    }
}

#[tokio::test]
async fn lost_request_is_retried() {
    for lost in 1..=3 {
        let (service, store, base) = service_with_base().await;
        service.lose_requests(lost);
        let next = objects("[team.mill-1]\nweight = 4\n");
        let published = store.publish(&base, &next, ChangeId(2)).await;
        assert_eq!(
            published.expect("the service is up"),
            Published::Accepted(Revision(2))
        );
    }
}

#[tokio::test]
async fn lost_response_is_resolved_after_another_operator_published_on_top() {
    let (service, store, base) = service_with_base().await;
    let other = store.clone();
    service.lose_responses(1);
    let next = objects("[team.mill-1]\n");
    let first = tokio::spawn(async move { store.publish(&base, &next, ChangeId(2)).await });
    let on_top = loop {
        let read = other.read().await.expect("the service is up");
        if read.snapshot.revision == Revision(2) {
            break read;
        }
    };
    let next = objects("[team.mill-1]\nweight = 8\n");
    let second = other.publish(&on_top, &next, ChangeId(3)).await;
    assert_eq!(
        second.expect("the service is up"),
        Published::Accepted(Revision(3))
    );
    let first = first.await.expect("the publication does not panic");
    assert_eq!(
        first.expect("the service is up"),
        Published::Accepted(Revision(2))
    );
}

#[tokio::test]
async fn of_two_concurrent_publications_one_succeeds_and_one_returns_the_conflict() {
    for seed in 0..20 {
        let (service, store, base) = service_with_base().await;
        // Lost responses must not change the outcome.
        service.lose_responses((seed % 4) as u32);
        let awa = objects("[share.mills]\n[team.mill-1]\nweight = 2\n");
        let bea = objects("[share.mills]\nweight = 3\n[team.mill-1]\n");
        let (first, second) = tokio::join!(
            store.publish(&base, &awa, change(2 + 2 * seed, "awa")),
            store.publish(&base, &bea, change(3 + 2 * seed, "bea")),
        );
        let (first, second) = (
            first.expect("the service is up"),
            second.expect("the service is up"),
        );
        let (conflict, winner, object) = match (first, second) {
            (Published::Accepted(Revision(2)), Published::Conflict(conflict)) => {
                (conflict, "awa", "team/mill-1")
            }
            (Published::Conflict(conflict), Published::Accepted(Revision(2))) => {
                (conflict, "bea", "share/mills")
            }
            other => panic!("one success and one conflict were expected: {other:?}"),
        };
        assert!(conflict.is_complete);
        let [record] = conflict.changes.as_slice() else {
            panic!("one change was made: {conflict:?}");
        };
        assert_eq!(record.author, winner);
        let named: Vec<String> = record.objects.iter().map(ToString::to_string).collect();
        assert_eq!(named, [object]);
    }
}

#[tokio::test]
async fn outage_before_any_write_is_an_error() {
    let (service, store, base) = service_with_base().await;
    service.set_down(true);
    let next = objects("[team.mill-1]\nweight = 4\n");
    let published = store.publish(&base, &next, ChangeId(2)).await;
    assert!(
        matches!(published, Err(StoreError::KeyValue(_))),
        "{published:?}"
    );
    service.set_down(false);
    assert_eq!(
        store.read().await.expect("the service is up").snapshot,
        base.snapshot
    );
}

#[tokio::test]
async fn outage_after_the_head_was_sent_is_unknown_until_the_history_is_read() {
    let (service, store, base) = service_with_base().await;
    // Removing the share needs no new chunk, so the first write is that of the head.
    service.go_down_after_next_write();
    let next = objects("[team.mill-1]\n");
    let published = store.publish(&base, &next, ChangeId(2)).await;
    assert_eq!(
        published.expect("the outcome is unknown, which is no error"),
        Published::Unknown
    );
    service.set_down(false);
    let head = store.head().await.expect("the service is up").head;
    let record = head
        .find_record(ChangeId(2))
        .expect("the change was published");
    assert_eq!(record.revision, Revision(2));
}

#[tokio::test]
async fn old_chunks_are_removed_but_none_that_is_being_published() {
    let (service, store, mut base) = service_with_base().await;
    for step in 0..40_u64 {
        let next = objects(&format!("[team.mill-1]\nweight = {}\n", step + 2));
        let (published, removed) = tokio::join!(
            store.publish(&base, &next, ChangeId(step + 2)),
            store.remove_unreferenced(),
        );
        assert_eq!(
            published.expect("the service is up"),
            Published::Accepted(Revision(step + 2))
        );
        removed.expect("the service is up");
        base = store.read().await.expect("the service is up");
        assert_eq!(base.snapshot.objects, next);
    }
    store
        .remove_unreferenced()
        .await
        .expect("the service is up");
    // The head, the newest chunk, and the chunks of the eight revisions before.
    assert!(service.value_lengths_bytes().len() <= 10);
    assert_eq!(base.stored.head.history.len(), HISTORY_MAX);
    let (changes, is_complete) = base.stored.head.changes_after(Revision(1));
    assert_eq!((changes.len(), is_complete), (HISTORY_MAX, false));
}
