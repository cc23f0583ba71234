//! Late copies of an engine's earlier refusal on a kept connection.

mod support;

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};

use daisynotch_standins::EngineSettings;
use support::{TOKEN, chat_body, outcome_of, start_with, text_of};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

const REFUSAL: &str = "HTTP/1.1 503 Full\r\ncontent-length: 0\r\n\r\n";
const COMPLETION: &str =
    "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: 2\r\n\r\n{}";

/// Answers the first request of a connection, and each later one with a refusal though it ran.
async fn serve(mut stream: TcpStream, runs: Arc<AtomicU32>) {
    let mut answer = COMPLETION;
    let mut request = [0; 4_096];
    while stream.read(&mut request).await.is_ok_and(|read| read > 0) {
        runs.fetch_add(1, Ordering::Relaxed);
        if stream.write_all(answer.as_bytes()).await.is_err() {
            return;
        }
        answer = REFUSAL;
    }
}

/// A completion that ran must not be reported as not run, nor be sent again, because a refusal of
/// an earlier request arrived in place of its answer.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn late_refusal_is_not_taken_for_that_of_a_completion() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let runs = Arc::new(AtomicU32::new(0));
    let engine_runs = Arc::clone(&runs);
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve(stream, Arc::clone(&engine_runs)));
        }
    });
    let objects = format!(
        "[pool.late-lm]\nkind = \"inference\"\nslots = 4\n\
         [endpoint.late-1]\npool = \"late-lm\"\nzone = \"fatick\"\naddress = \"{address}\"\n\
         [route.late]\npool = \"late-lm\"\nmodel = \"late-lm\"\n"
    );
    let fleet = start_with(1, EngineSettings::default(), &objects).await;
    let complete = || {
        fleet.post(
            0,
            "/v1/chat/completions",
            TOKEN,
            chat_body("late-lm", false, 4),
        )
    };
    assert_eq!(text_of(complete().await).await.unwrap(), "{}");
    let before = runs.load(Ordering::Relaxed);
    let response = complete().await;
    let sent = runs.load(Ordering::Relaxed) - before;
    let outcome = outcome_of(&response).map(str::to_owned);
    assert_eq!(
        (sent, outcome.as_deref()),
        (1, Some("unknown")),
        "{response:?}"
    );
}
