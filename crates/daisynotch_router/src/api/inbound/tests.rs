use hyper::header::HeaderValue;

use super::*;

#[test]
fn credentials_that_belong_to_no_team_are_rejected() {
    let catalogue = Catalogue::default();
    bolero::check!().for_each(|bytes| {
        let Ok(value) = HeaderValue::from_bytes(bytes) else {
            return;
        };
        let headers = HeaderMap::from_iter([(header::AUTHORIZATION, value)]);
        assert!(authenticate_team(&catalogue, &headers).is_err());
    });
}

#[test]
fn unforwarded_headers_are_all_removed() {
    bolero::check!()
        .with_type::<Vec<(u8, Vec<u8>)>>()
        .for_each(|fields| {
            let mut headers = HeaderMap::new();
            for (name, value) in fields {
                let name =
                    UNFORWARDED_HEADERS[usize::from(*name) % UNFORWARDED_HEADERS.len()].clone();
                if let Ok(value) = HeaderValue::from_bytes(value) {
                    headers.append(name, value);
                }
            }
            strip_unforwarded_headers(&mut headers);
            assert!(headers.is_empty());
        });
}
