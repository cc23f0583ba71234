//! A client: one request on a new connection.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use crate::http::{read_body, read_head};

pub struct Answer {
    /// 0 if there was no answer.
    pub status: u16,
    pub body: String,
    pub complete: bool,
}

pub fn call(to: SocketAddr, method: &str, target: &str, headers: &str, body: &[u8]) -> Answer {
    let none = Answer {
        status: 0,
        body: String::new(),
        complete: false,
    };
    let Ok(mut stream) = TcpStream::connect_timeout(&to, Duration::from_secs(1)) else {
        return none;
    };
    let _ = stream.set_read_timeout(Some(Duration::from_secs(6)));
    let _ = stream.set_nodelay(true);
    let length = match method {
        "GET" => String::new(),
        _ => format!("Content-Length: {}\r\n", body.len()),
    };
    let mut request = format!("{method} {target} HTTP/1.1\r\n{headers}{length}\r\n").into_bytes();
    request.extend_from_slice(body);
    if stream.write_all(&request).is_err() {
        return none;
    }
    let mut from = BufReader::new(stream);
    let Ok(Some(head)) = read_head(&mut from) else {
        return none;
    };
    let status = head
        .first
        .split(' ')
        .nth(1)
        .and_then(|status| status.parse().ok());
    let (body, complete) = read_body(&mut from, &head, true);
    Answer {
        status: status.unwrap_or(0),
        body: String::from_utf8_lossy(&body).into_owned(),
        complete,
    }
}
