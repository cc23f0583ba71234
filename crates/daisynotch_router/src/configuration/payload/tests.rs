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
fn a_whole_and_edits_in_a_row_lead_to_the_same_objects() {
    let first = snapshot(1, "[team.a]\n[team.b]\n[share.s]\n");
    let second = snapshot(
        2,
        "[team.a]\nweight = 2\nshare = \"s\"\n[team.b]\n[share.s]\n",
    );
    let third = snapshot(3, "[team.a]\nweight = 2\n");
    let edits = [edit(&first, &second), edit(&second, &third)].concat();
    assert_eq!(decode(&first, &edits).expect("it fits"), third);
    let whole = encode_whole(&third);
    assert_eq!(
        decode(&Snapshot::default(), &whole).expect("it fits"),
        third
    );
}

#[test]
fn another_base_or_damaged_bytes_are_refused() {
    let first = snapshot(1, "[team.a]\n");
    let other = snapshot(1, "[team.a]\nweight = 7\n[team.c]\n");
    let second = snapshot(2, "[team.a]\n[team.b]\n");
    let edits = edit(&first, &second);
    let error = |base: &Snapshot, payload: &[u8]| {
        let refused = decode(base, payload).expect_err("it must be refused");
        refused.to_string()
    };
    assert_eq!(
        error(&other, &edits),
        "the digest of revision 2 is another one"
    );
    assert_eq!(
        error(&second, &edits),
        "an edit starts from revision 1, but this router has 2"
    );
    assert_eq!(error(&first, b"\n"), "it is empty");
    let whole = String::from_utf8(encode_whole(&second).to_vec()).expect("it is text");
    let damaged = whole.replace("\"b\"", "\"x\"");
    assert_eq!(
        error(&first, damaged.as_bytes()),
        "the digest of revision 2 is another one"
    );
}
