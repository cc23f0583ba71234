use hyper::header::HeaderValue;

use super::*;

#[test]
fn any_credential_of_no_team_is_refused() {
    let catalogue = Catalogue::default();
    bolero::check!().for_each(|bytes| {
        let Ok(value) = HeaderValue::from_bytes(bytes) else {
            return;
        };
        let headers = HeaderMap::from_iter([(header::AUTHORIZATION, value)]);
        assert!(team_of(&catalogue, &headers).is_err());
    });
}

#[test]
fn no_header_of_the_callers_connection_is_passed_on() {
    bolero::check!()
        .with_type::<Vec<(u8, Vec<u8>)>>()
        .for_each(|fields| {
            let mut headers = HeaderMap::new();
            for (name, value) in fields {
                let name = OWN_HEADERS[usize::from(*name) % OWN_HEADERS.len()].clone();
                if let Ok(value) = HeaderValue::from_bytes(value) {
                    headers.append(name, value);
                }
            }
            strip_own_headers(&mut headers);
            assert!(headers.is_empty());
        });
}
