use super::*;

fn objects(text: &str) -> Objects {
    text.parse().expect("the objects can be read")
}

const BASE: &str = r#"
    [team.kaolack-1]
    weight = 2
    [team.kaolack-2]
    [pool.conseil-lm]
    kind = "inference"
"#;

#[test]
fn a_difference_names_objects_and_fields() {
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
fn an_edit_between_two_sets_leads_from_one_to_the_other() {
    let before = objects(BASE);
    let after = objects("[team.kaolack-1]\nweight = 7\n[team.new]\n");
    let edit = Edit::between(&before, &after);
    assert_eq!(edit.apply(&before), Ok(after));
    assert_eq!(edit.objects().len(), 4);
}

#[test]
fn a_partial_file_leaves_what_it_does_not_name() {
    let edit = Edit {
        put: objects("[team.kaolack-3]\nweight = 4\n"),
        delete: BTreeSet::from(["team/kaolack-2".parse().expect("it names an object")]),
    };
    let after = edit.apply(&objects(BASE)).expect("the edit is possible");
    let names: Vec<String> = after.team.keys().map(ToString::to_string).collect();
    assert_eq!(names, ["kaolack-1", "kaolack-3"]);
    assert_eq!(after.pool.len(), 1);
}

#[test]
fn a_deletion_of_nothing_and_a_contradiction_are_errors() {
    let absent: ObjectRef = "team/kaolack-9".parse().expect("it names an object");
    let edit = Edit {
        put: Objects::default(),
        delete: BTreeSet::from([absent.clone()]),
    };
    assert_eq!(
        edit.apply(&objects(BASE)),
        Err(EditError::NotThere(absent.clone()))
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
fn a_reference_without_kind_is_explained() {
    let error = "kaolack-9"
        .parse::<ObjectRef>()
        .expect_err("it has no kind");
    insta::assert_snapshot!(error, @"`kaolack-9` names no object: write KIND/NAME with share, team, pool, endpoint, route, limits or service_level as the kind");
}
