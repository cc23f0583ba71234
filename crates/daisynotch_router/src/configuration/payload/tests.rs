use super::*;

fn snapshot(revision: u64, text: &str) -> Snapshot {
    let objects = text.parse().expect("the objects can be read");
    Snapshot::new(Revision(revision), objects).expect("the objects can be written")
}

fn edit(before: &Snapshot, after: &Snapshot) -> Bytes {
    let edit = Edit::between(&before.objects, &after.objects);
    encode_edit(before.revision, after, edit)
}

#[test]
fn all_objects_and_consecutive_edits_decode_to_the_same_snapshot() {
    let first = snapshot(1, "[team.a]\n[team.b]\n[share.s]\n");
    let second = snapshot(
        2,
        "[team.a]\nweight = 2\nshare = \"s\"\n[team.b]\n[share.s]\n",
    );
    let third = snapshot(3, "[team.a]\nweight = 2\n");
    let edits = [edit(&first, &second), edit(&second, &third)].concat();
    assert_eq!(decode(&first, &edits).expect("the payload is valid"), third);
    let whole = encode_whole(&third);
    assert_eq!(
        decode(&Snapshot::default(), &whole).expect("the payload is valid"),
        third
    );
}

#[test]
fn a_different_base_or_corrupted_bytes_are_rejected() {
    let first = snapshot(1, "[team.a]\n");
    let other = snapshot(1, "[team.a]\nweight = 7\n[team.c]\n");
    let second = snapshot(2, "[team.a]\n[team.b]\n");
    let edits = edit(&first, &second);
    let error = |base: &Snapshot, payload: &[u8]| {
        let rejected = decode(base, payload).expect_err("the payload must be rejected");
        rejected.to_string()
    };
    assert_eq!(
        error(&other, &edits),
        "the digest of revision 2 does not match its objects"
    );
    assert_eq!(
        error(&second, &edits),
        "an edit is based on revision 1, but this router has revision 2"
    );
    assert_eq!(error(&first, b"\n"), "the payload is empty");
    let whole = String::from_utf8(encode_whole(&second).to_vec()).expect("the payload is UTF-8");
    let corrupted = whole.replace("\"b\"", "\"x\"");
    assert_eq!(
        error(&first, corrupted.as_bytes()),
        "the digest of revision 2 does not match its objects"
    );
}
