use super::*;

fn objects(text: &str) -> Objects {
    text.parse().expect("the test objects parse")
}

const BASE: &str = r#"
    [team.kaolack-1]
    weight = 2
    [team.kaolack-2]
    [pool.conseil-lm]
    kind = "inference"
"#;

#[test]
fn diff_lists_changed_objects_and_fields() {
    let after = objects(
        r#"
        [share.kaolack]
        [team.kaolack-1]
        weight = 3
        share = "kaolack"
        [pool.conseil-lm]
        kind = "inference"
        "#,
    );
    let changes = diff(&objects(BASE), &after);
    let lines: Vec<String> = changes.iter().map(ToString::to_string).collect();
    insta::assert_snapshot!(lines.join("\n"), @r#"
    + share/kaolack
    ~ team/kaolack-1
        share: not set -> "kaolack"
        weight: 2 -> 3
    - team/kaolack-2
    "#);
}

#[test]
fn edit_between_two_sets_turns_one_into_the_other() {
    let before = objects(BASE);
    let after = objects("[team.kaolack-1]\nweight = 7\n[team.new]\n");
    let edit = Edit::between(&before, &after);
    assert_eq!(edit.apply(&before), Ok(after));
    assert_eq!(edit.objects().len(), 4);
}

#[test]
fn edit_keeps_objects_that_it_does_not_contain() {
    let edit = Edit {
        put: objects("[team.kaolack-3]\nweight = 4\n"),
        delete: BTreeSet::from(["team/kaolack-2"
            .parse()
            .expect("the text is an object reference")]),
    };
    let after = edit
        .apply(&objects(BASE))
        .expect("the edit applies to the base objects");
    let names: Vec<String> = after.team.keys().map(ToString::to_string).collect();
    assert_eq!(names, ["kaolack-1", "kaolack-3"]);
    assert_eq!(after.pool.len(), 1);
}

#[test]
fn rejects_deleting_missing_or_written_objects() {
    let absent: ObjectRef = "team/kaolack-9"
        .parse()
        .expect("the text is an object reference");
    let edit = Edit {
        put: Objects::default(),
        delete: BTreeSet::from([absent.clone()]),
    };
    assert_eq!(
        edit.apply(&objects(BASE)),
        Err(EditError::NotFound(absent.clone()))
    );
    let edit = Edit {
        put: objects("[team.kaolack-9]\n"),
        delete: BTreeSet::from([absent.clone()]),
    };
    assert_eq!(
        edit.apply(&objects(BASE)),
        Err(EditError::WrittenAndDeleted(absent))
    );
}

#[test]
fn reference_without_kind_error_shows_the_format() {
    let error = "kaolack-9"
        .parse::<ObjectRef>()
        .expect_err("the reference has no kind");
    insta::assert_snapshot!(error, @"`kaolack-9` names no object: write KIND/NAME with share, team, pool, endpoint, route, limits or service_level as the kind");
}
