use tokio::io::{AsyncReadExt, AsyncWriteExt};

use super::*;

const SHORT: Duration = Duration::from_millis(50);

#[tokio::test]
async fn a_write_that_makes_no_progress_times_out() {
    let (near, _far) = tokio::io::duplex(4);
    let mut near = StallGuard::new(near, SHORT);
    let written = near.write_all(b"eight by").await;
    assert_eq!(
        written.map_err(|error| error.kind()),
        Err(io::ErrorKind::TimedOut)
    );
}

#[tokio::test]
async fn a_slow_reader_does_not_cause_a_timeout() {
    let (near, mut far) = tokio::io::duplex(1);
    let mut near = StallGuard::new(near, Duration::from_secs(20));
    let reader = tokio::spawn(async move {
        let mut bytes = [0; 8];
        for byte in &mut bytes {
            tokio::time::sleep(Duration::from_millis(5)).await;
            *byte = far.read_u8().await.expect("the writer is not dropped");
        }
        bytes
    });
    near.write_all(b"eight by")
        .await
        .expect("the write makes progress");
    assert_eq!(reader.await.expect("the reader ends"), *b"eight by");
}
