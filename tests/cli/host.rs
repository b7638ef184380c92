//! A loopback HTTP host that answers each connection as it is told.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use serde_json::Value;

/// Nothing listens on this port, so a connection is refused.
pub(crate) const CLOSED: &str = "127.0.0.1:1";

/// What the host does with one request.
#[derive(Debug, Clone)]
pub(crate) enum Reply {
    /// Answers with a status and a JSON body.
    Json(u16, Value),
    /// Answers with a status and a body that is no JSON.
    Text(u16, &'static str),
    /// Announces more body than it sends.
    Truncated,
    /// Reads the request and closes the connection.
    Close,
    /// Reads the request and stays silent.
    Silent,
}

/// A request as the host received it.
#[derive(Debug, Clone)]
pub(crate) struct Seen {
    pub(crate) line: String,
    pub(crate) headers: Vec<String>,
    pub(crate) body: String,
}

impl Seen {
    /// Returns the value of a header.
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        let prefix = format!("{name}: ");
        self.headers.iter().find_map(|header| header.strip_prefix(&prefix))
    }
}

/// A host that serves the given replies in turn, one a connection.
pub(crate) struct Host {
    address: SocketAddr,
    seen: Arc<Mutex<Vec<Seen>>>,
}

impl Host {
    pub(crate) fn start(replies: impl IntoIterator<Item = Reply>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let seen = Arc::new(Mutex::new(Vec::new()));
        let replies: Vec<_> = replies.into_iter().collect();
        let log = Arc::clone(&seen);
        thread::spawn(move || {
            for reply in replies {
                let (stream, _) = listener.accept().expect("a connection");
                serve(&stream, &reply, &log);
            }
        });
        Self { address, seen }
    }

    pub(crate) fn address(&self) -> String {
        self.address.to_string()
    }

    /// Returns the requests received so far.
    pub(crate) fn seen(&self) -> Vec<Seen> {
        self.seen.lock().expect("no panic in the host").clone()
    }
}

fn serve(mut stream: &TcpStream, reply: &Reply, log: &Mutex<Vec<Seen>>) {
    let Some(seen) = receive(stream) else { return };
    log.lock().expect("no panic in the host").push(seen);
    let answer = match reply {
        Reply::Json(status, value) => response(*status, &value.to_string()),
        Reply::Text(status, body) => response(*status, body),
        Reply::Truncated => "HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\n{".to_owned(),
        Reply::Close => return,
        Reply::Silent => return thread::sleep(Duration::from_secs(30)),
    };
    _ = stream.write_all(answer.as_bytes());
}

fn response(status: u16, body: &str) -> String {
    format!(
        "HTTP/1.1 {status} X\r\ncontent-length: {}\r\nconnection: close\r\n\r\n{body}",
        body.len()
    )
}

fn receive(stream: &TcpStream) -> Option<Seen> {
    let mut reader = BufReader::new(stream);
    let mut head = Vec::new();
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).ok()?;
        match line.trim_end() {
            "" => break,
            line => head.push(line.to_owned()),
        }
    }
    let line = head.first()?.trim_end_matches(" HTTP/1.1").to_owned();
    let headers = head.split_off(1);
    let mut seen = Seen { line, headers, body: String::new() };
    let length = seen.header("content-length").map_or(0, |text| text.parse().expect("a length"));
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    seen.body = String::from_utf8(body).expect("text");
    Some(seen)
}
