use std::time::Duration;

use daisynotch_platform::{ChangeId, KeyValueClient};
use daisynotch_standins::KeyValueStandin;

use super::*;

#[tokio::test]
async fn objects_are_read_only_if_the_head_is_newer() {
    let service = KeyValueStandin::start().await.expect("the stand-in starts");
    let client = KeyValueClient::new(service.address(), Duration::from_secs(5));
    let store = ConfigStore::new(client);
    let base = store.read().await.expect("the store can be read");
    let objects = "[team.kaolack-1]".parse().expect("the objects can be read");
    let published = store.publish(&base, &objects, ChangeId(1)).await;
    published.expect("the objects can be published");
    let ReadResult::Newest(Ok(snapshot)) = read_newer(&store, &Snapshot::default()).await else {
        panic!("a newer head must cause the objects to be read");
    };
    let again = read_newer(&store, &snapshot).await;
    assert!(matches!(again, ReadResult::Head(Ok(Revision(1)))));
}
