//! A replica of a service without an engine.

use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{Request, answer, header, read_request};

/// A request that the replica began to work on.
#[derive(Clone)]
pub struct Run {
    pub id: String,
    pub at: Instant,
    pub key_holder: String,
    /// Whether the whole answer was written.
    pub is_answered: bool,
}

/// What the replica answers.
#[derive(Clone, Copy)]
pub enum Work {
    /// A plain answer of this many bytes after some time.
    Plain { after: Duration, bytes: usize },
    /// A stream of events.
    Stream {
        events: usize,
        event_bytes: usize,
        pause: Duration,
    },
}

#[derive(Clone)]
pub struct Replica {
    pub id: String,
    pub address: SocketAddr,
    pub born: u64,
    work: Work,
    runs: Arc<Mutex<Vec<Run>>>,
    has_ended: Arc<AtomicBool>,
    connections: Arc<Mutex<Vec<TcpStream>>>,
}

impl Replica {
    pub fn start(id: &str, work: Work) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
        let replica = Self {
            id: id.to_owned(),
            address: listener.local_addr().unwrap(),
            born: since_epoch.as_millis() as u64,
            work,
            runs: Arc::default(),
            has_ended: Arc::default(),
            connections: Arc::default(),
        };
        let accepting = replica.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if accepting.has_ended.load(Ordering::SeqCst) {
                    return;
                }
                let kept = stream.try_clone().unwrap();
                accepting.connections.lock().unwrap().push(kept);
                let replica = accepting.clone();
                std::thread::spawn(move || replica.serve(stream));
            }
        });
        replica
    }

    /// Returns the entry with which the replica registers itself.
    pub fn entry(&self, service: &str, zone: &str, slots: u32) -> String {
        format!(
            r#"{{"service":"{service}","address":"{}","zone":"{zone}","version":"v1","slots":{slots},"state":"ready","coldRemainingMs":0,"seqNo":1,"born":{}}}"#,
            self.address, self.born
        )
    }

    pub fn runs(&self) -> Vec<Run> {
        self.runs.lock().unwrap().clone()
    }

    /// Exits: the listener and all connections are closed.
    pub fn exit(&self) {
        self.has_ended.store(true, Ordering::SeqCst);
        // Wakes the listener, which closes.
        let _ = TcpStream::connect(self.address);
        for stream in self.connections.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = read_request(&mut reader) {
            if self.has_ended.load(Ordering::SeqCst) || self.handle(&mut writer, &request).is_err()
            {
                return;
            }
        }
    }

    fn handle(&self, writer: &mut TcpStream, request: &Request) -> std::io::Result<()> {
        let at = Instant::now();
        let born = format!(r#"{{"born":{}}}"#, self.born);
        if request.path() == "/healthz" {
            return answer(writer, 200, &[("X-Replica-Id", &self.id)], born.as_bytes());
        }
        let id = header(&request.headers, "x-attempt-id")
            .unwrap_or("")
            .to_owned();
        if header(&request.headers, "x-expect-replica").is_some_and(|named| named != self.id) {
            let fields = [("X-Replica-Id", self.id.as_str()), ("X-Attempt-Id", &id)];
            return answer(writer, 421, &fields, b"");
        }
        let index = {
            let mut runs = self.runs.lock().unwrap();
            runs.push(Run {
                id: id.clone(),
                at,
                key_holder: header(&request.headers, "x-tenant")
                    .unwrap_or("")
                    .to_owned(),
                is_answered: false,
            });
            runs.len() - 1
        };
        let signature = format!("sig.{}.{id}", self.id);
        let fields = [
            ("X-Attempt-Id", id.as_str()),
            ("X-Replica-Signature", &signature),
        ];
        match self.work {
            Work::Plain { after, bytes } => {
                std::thread::sleep(after);
                answer(writer, 200, &fields, &vec![b'a'; bytes])?;
            }
            Work::Stream {
                events,
                event_bytes,
                pause,
            } => {
                let head = format!(
                    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\
                     X-Attempt-Id: {id}\r\nX-Replica-Signature: {signature}\r\n\r\n"
                );
                writer.write_all(head.as_bytes())?;
                for event in 1..=events {
                    let mut text = format!("id: {event}\ndata: ");
                    text.push_str(&"t".repeat(event_bytes.saturating_sub(text.len() + 2)));
                    text.push_str("\n\n");
                    writer.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())?;
                    std::thread::sleep(pause);
                }
                writer.write_all(b"0\r\n\r\n")?;
            }
        }
        self.runs.lock().unwrap()[index].is_answered = true;
        Ok(())
    }
}
