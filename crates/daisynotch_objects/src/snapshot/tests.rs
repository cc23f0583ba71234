use super::*;
use crate::CredentialDigest;

/// The teams and endpoints of the design size, and the limit of one value.
const TEAMS: usize = 20_000;
const ENDPOINTS: usize = 6_600;
const VALUE_MAX_BYTES: usize = 1_000_000;

fn design_size() -> Objects {
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
    text.parse().expect("the objects can be read")
}

#[test]
fn chunks_of_the_design_size_fit_values_and_one_change_rewrites_one() {
    let objects = design_size();
    let base = Snapshot::new(Revision(1), objects.clone()).expect("the objects can be written");
    let all = base
        .chunks_not_in(&Snapshot::default())
        .expect("the objects can be written");
    assert_eq!(all.len(), 26);
    let largest = all.iter().map(|chunk| chunk.text.len()).max();
    assert!(largest < Some(VALUE_MAX_BYTES / 2), "{largest:?}");

    let edit = Edit {
        put: "[team.mill-number-77]\nweight = 9\n"
            .parse()
            .expect("the objects can be read"),
        ..Edit::default()
    };
    let next = base
        .edited(Revision(2), &edit)
        .expect("the edit is possible");
    let rewritten = next.chunks_not_in(&base).expect("it can be written");
    assert_eq!(rewritten.len(), 1);

    let whole = Snapshot::new(Revision(2), next.objects.clone()).expect("it can be written");
    assert_eq!(next, whole);
    assert_eq!(next.digest(), whole.digest());
    assert_ne!(next.digest(), base.digest());
}

#[test]
fn the_last_object_of_a_bucket_takes_its_chunk_along() {
    let base = "[share.a]\n[team.x]\n".parse().expect("it can be read");
    let base = Snapshot::new(Revision(1), base).expect("it can be written");
    let delete = BTreeSet::from(["share/a".parse().expect("it names an object")]);
    let edit = Edit {
        delete,
        ..Edit::default()
    };
    let next = base
        .edited(Revision(2), &edit)
        .expect("the edit is possible");
    assert_eq!(next.chunks.len(), 1);
}
