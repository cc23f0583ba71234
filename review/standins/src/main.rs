//! Plays one case: `review_standins CASE FOLDER TEMPORARY`. `TROUBLE=0` leaves the disruption out.

mod http;
mod proxy;
mod restarted_under_its_name;
mod revoked_in_an_island;
mod store;
mod stream_after_error;
mod world;

use std::path::Path;
use std::time::Duration;

/// How long a script may run.
const TIME_MAX: Duration = Duration::from_secs(115);

#[tokio::main]
async fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder, temporary] = arguments.as_slice() else {
        eprintln!("usage: review_standins CASE FOLDER TEMPORARY");
        std::process::exit(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let (folder, temporary) = (Path::new(folder), Path::new(temporary));
    let played = async {
        match case.as_str() {
            "stream-after-error" => stream_after_error::run(folder, temporary, has_trouble).await,
            "restarted-under-its-name" => {
                restarted_under_its_name::run(folder, temporary, has_trouble).await
            }
            "revoked-in-an-island" => {
                revoked_in_an_island::run(folder, temporary, has_trouble).await
            }
            _ => Err(std::io::Error::other("no such case")),
        }
    };
    let code = match tokio::time::timeout(TIME_MAX, played).await {
        Ok(Ok(code)) => code,
        Ok(Err(error)) => {
            eprintln!("{error}");
            2
        }
        Err(_) => 2,
    };
    std::process::exit(code);
}
