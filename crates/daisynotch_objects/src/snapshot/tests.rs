use super::*;
use crate::CredentialDigest;

/// The number of teams and endpoints that the system is designed for, and the size limit of
/// one value in the store.
const TEAMS: usize = 20_000;
const ENDPOINTS: usize = 6_600;
const VALUE_MAX_BYTES: usize = 1_000_000;

fn design_size_objects() -> Objects {
    let mut text = String::from("[pool.weaver-llm]\nkind = \"inference\"\n[share.mills]\n");
    for index in 0..TEAMS {
        let digest = CredentialDigest::of_token(index.to_string().as_bytes());
        text += &format!(
            "[team.mill-number-{index}]\nshare = \"mills\"\nweight = 3\ncredentials = [\"{digest}\"]\n"
        );
    }
    for index in 0..ENDPOINTS {
        text += &format!(
            "[endpoint.weaver-number-{index}]\npool = \"weaver-llm\"\nzone = \"sc-a\"\n\
             address = \"10.0.0.1:8000\"\n"
        );
    }
    text.parse().expect("the test objects parse")
}

#[test]
fn chunks_fit_into_store_values_and_a_change_rewrites_one_chunk() {
    let objects = design_size_objects();
    let base = Snapshot::new(Revision(1), objects.clone()).expect("the objects serialize to TOML");
    let all = base
        .chunks_not_in(&Snapshot::default())
        .expect("the objects serialize to TOML");
    assert_eq!(all.len(), 26);
    let largest = all.iter().map(|chunk| chunk.text.len()).max();
    assert!(largest < Some(VALUE_MAX_BYTES / 2), "{largest:?}");

    let edit = Edit {
        put: "[team.mill-number-77]\nweight = 9\n"
            .parse()
            .expect("the test objects parse"),
        ..Edit::default()
    };
    let next = base
        .edited(Revision(2), &edit)
        .expect("the edit applies to the base objects");
    let rewritten = next
        .chunks_not_in(&base)
        .expect("the objects serialize to TOML");
    assert_eq!(rewritten.len(), 1);

    let rebuilt =
        Snapshot::new(Revision(2), next.objects.clone()).expect("the objects serialize to TOML");
    assert_eq!(next, rebuilt);
    assert_eq!(next.digest(), rebuilt.digest());
    assert_ne!(next.digest(), base.digest());
}

#[test]
fn deleting_the_last_object_of_a_bucket_removes_its_chunk() {
    let base = "[share.a]\n[team.x]\n"
        .parse()
        .expect("the test objects parse");
    let base = Snapshot::new(Revision(1), base).expect("the objects serialize to TOML");
    let delete = BTreeSet::from(["share/a".parse().expect("the text is an object reference")]);
    let edit = Edit {
        delete,
        ..Edit::default()
    };
    let next = base
        .edited(Revision(2), &edit)
        .expect("the edit applies to the base objects");
    assert_eq!(next.chunks.len(), 1);
}
