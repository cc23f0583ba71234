//! Drills of the third review: each starts routers and stand-ins as processes and checks one rule.
//!
//! `drill3 CASE FOLDER TROUBLE` plays a case, without its disruption if TROUBLE is 0, and writes
//! `record.txt` to FOLDER. `drill3 replica ...` is a
//! replica that a case starts.

mod cases;
mod client;
mod fleet;
mod http;
mod record;
mod replica;
mod store;

fn main() {
    let words: Vec<String> = std::env::args().skip(1).collect();
    let words: Vec<&str> = words.iter().map(String::as_str).collect();
    let code = match words.as_slice() {
        ["replica", rest @ ..] => replica::run(rest),
        // A case that can't go on ends its processes and could not run.
        [case, folder, trouble] => {
            std::panic::catch_unwind(|| cases::run(case, folder, *trouble != "0")).unwrap_or(2)
        }
        _ => {
            eprintln!("usage: drill3 CASE FOLDER TROUBLE");
            2
        }
    };
    std::process::exit(code);
}
