//! `daisynotch credential`: prints the digest that the objects store in place of a bearer token.

use daisynotch_objects::CredentialDigest;

use crate::printer::Printer;

pub(crate) fn run(token: &str, printer: &Printer) {
    let digest = CredentialDigest::of_token(token.as_bytes());
    printer.result(
        &digest.to_string(),
        &serde_json::json!({ "credential": digest }),
    );
}
