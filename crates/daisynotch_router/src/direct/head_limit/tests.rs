use tokio::io::AsyncReadExt;

use super::*;

#[tokio::test]
async fn only_bytes_of_the_response_head_count_towards_the_limit() {
    let limit = HeadLimit::default();
    let mut stream = LimitedStream::new(&[b'x'; 40][..], limit.clone());
    let mut bytes = [0; 10];
    stream.read_exact(&mut bytes).await.unwrap();
    limit.expect_head(15);
    stream.read_exact(&mut bytes).await.unwrap();
    let error = stream.read_exact(&mut bytes).await.unwrap_err();
    assert_eq!(
        error.to_string(),
        "the response head exceeds the size limit"
    );
    limit.expect_body();
    stream.read_exact(&mut bytes).await.unwrap();
}
