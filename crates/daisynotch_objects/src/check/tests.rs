use super::*;

fn errors_of(text: &str) -> Vec<String> {
    let objects: Objects = text.parse().expect("the test objects parse");
    check(&objects).iter().map(ToString::to_string).collect()
}

#[test]
fn errors_identify_the_object_and_the_fix() {
    let errors = errors_of(
        r#"
        [team.kaolack-1]
        share = "ateliers"
        weight = 0
        limits = "small"

        [endpoint.conseil-1]
        pool = "conseil-lm"
        zone = "fatick"
        address = "127.0.0.1:1"

        [route.conseil]
        pool = "conseil-lm"

        [route.hidden]
        pool = "conseil-lm"
        path_prefix = "/v1/chat"
        "#,
    );
    insta::assert_snapshot!(errors.join("\n"), @r"
    team/kaolack-1: `weight` is 0: give a number from 1 to 10000
    team/kaolack-1 refers to limits/small, which does not exist: add limits/small or change the reference
    team/kaolack-1 refers to share/ateliers, which does not exist: add share/ateliers or change the reference
    endpoint/conseil-1 refers to pool/conseil-lm, which does not exist: add pool/conseil-lm or change the reference
    route/conseil refers to pool/conseil-lm, which does not exist: add pool/conseil-lm or change the reference
    route/conseil: `model` or `path_prefix` is needed: say what the route takes
    route/hidden refers to pool/conseil-lm, which does not exist: add pool/conseil-lm or change the reference
    route/hidden: `path_prefix` hides a path of the router's own: choose one outside `/`, `/v1`, `/metrics`, `/healthz` and `/readyz`
    ");
}

#[test]
fn rejects_unknown_keys() {
    let error = "[team.a]\nwieght = 2\n".parse::<Objects>().unwrap_err();
    assert!(error.to_string().contains("wieght"), "{error}");
}
