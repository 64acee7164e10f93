//! A small HTTP/1.1 server and client.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use crate::json::Json;

/// Time for which a connection without an answer is kept open.
const SILENCE: Duration = Duration::from_secs(20);

/// Request that a server has read.
#[derive(Clone, Debug)]
pub struct Request {
    pub method: String,
    /// Path without the query.
    pub path: String,
    pub query: Vec<(String, String)>,
    headers: Vec<(String, String)>,
    pub body: String,
}

impl Request {
    /// Returns a decoded parameter of the query; empty if it is absent.
    pub fn parameter(&self, name: &str) -> String {
        let found = self.query.iter().find(|(key, _)| key == name);
        found.map(|(_, value)| value.clone()).unwrap_or_default()
    }

    /// Returns a header; empty if it is absent.
    pub fn header(&self, name: &str) -> String {
        let found = self.headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.clone()).unwrap_or_default()
    }

    /// Parses the body; null if it is not JSON.
    pub fn json(&self) -> Json {
        Json::parse(&self.body).unwrap_or(Json::Null)
    }
}

/// What a handler does with a request.
pub enum Reply {
    Answer(u16, Json),
    /// No answer: the connection stays open and returns nothing further.
    Silence,
    /// No answer: the connection ends.
    Close,
}

/// Open connections of a server, to end them together.
pub type Connections = Arc<Mutex<Vec<TcpStream>>>;

/// Serves requests in a thread for each connection; returns the open connections.
pub fn serve<F>(listener: TcpListener, handler: F) -> Connections
where
    F: Fn(Request) -> Reply + Clone + Send + 'static,
{
    let connections = Connections::default();
    let opened = connections.clone();
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let _ = stream.set_nodelay(true);
            if let Ok(copy) = stream.try_clone() {
                opened.lock().unwrap_or_else(PoisonError::into_inner).push(copy);
            }
            let handler = handler.clone();
            std::thread::spawn(move || serve_connection(stream, &handler));
        }
    });
    connections
}

/// Ends all connections that were opened so far.
pub fn end_connections(connections: &Connections) {
    let mut open = connections.lock().unwrap_or_else(PoisonError::into_inner);
    for stream in open.drain(..) {
        let _ = stream.shutdown(Shutdown::Both);
    }
}

fn serve_connection<F>(stream: TcpStream, handler: &F)
where
    F: Fn(Request) -> Reply,
{
    let Ok(mut writer) = stream.try_clone() else {
        return;
    };
    let mut reader = BufReader::new(stream);
    while let Some(request) = read_request(&mut reader) {
        let (status, body) = match handler(request) {
            Reply::Answer(status, body) => (status, body),
            Reply::Silence => {
                std::thread::sleep(SILENCE);
                return;
            }
            Reply::Close => {
                let _ = writer.shutdown(Shutdown::Both);
                return;
            }
        };
        let body = body.to_string();
        let head = format!(
            "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        if writer.write_all((head + &body).as_bytes()).is_err() {
            return;
        }
    }
}

fn read_request(reader: &mut BufReader<TcpStream>) -> Option<Request> {
    let (first, headers) = read_head(reader)?;
    let mut words = first.split(' ');
    let (method, target) = (words.next()?.to_owned(), words.next()?.to_owned());
    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
    let pair = |pair: &str| {
        let (key, value) = pair.split_once('=').unwrap_or((pair, ""));
        (decode(key), decode(value))
    };
    let query = query.split('&').filter(|pair| !pair.is_empty()).map(pair).collect();
    let body = read_body(reader, &headers)?;
    Some(Request { method, path: decode(path), query, headers, body })
}

type Head = (String, Vec<(String, String)>);

fn read_head(reader: &mut BufReader<TcpStream>) -> Option<Head> {
    let mut first = String::new();
    if reader.read_line(&mut first).ok()? == 0 {
        return None;
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Some((first.trim_end().to_owned(), headers));
        }
        if let Some((key, value)) = line.split_once(':') {
            headers.push((key.trim().to_owned(), value.trim().to_owned()));
        }
    }
}

fn read_body(reader: &mut BufReader<TcpStream>, headers: &[(String, String)]) -> Option<String> {
    let length = headers.iter().find(|(key, _)| key.eq_ignore_ascii_case("content-length"));
    let length = length.and_then(|(_, value)| value.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    String::from_utf8(body).ok()
}

fn decode(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.bytes();
    while let Some(byte) = rest.next() {
        if byte == b'%' {
            let digits: Vec<u8> = rest.by_ref().take(2).collect();
            let digits = String::from_utf8(digits).unwrap_or_default();
            bytes.push(u8::from_str_radix(&digits, 16).unwrap_or(b'?'));
        } else {
            bytes.push(if byte == b'+' { b' ' } else { byte });
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

/// Request of a client to an instance.
pub struct Call<'a> {
    pub address: SocketAddr,
    pub method: &'a str,
    pub host: &'a str,
    pub path: &'a str,
    pub key: &'a str,
    pub body: &'a str,
    /// Time after which the client leaves.
    pub patience: Duration,
}

/// Sends a request on a connection of its own; returns the status and the body, or `None` if the
/// client has left without an answer or the connection has ended.
pub fn call(call: &Call<'_>) -> Option<(u16, String)> {
    let mut stream = TcpStream::connect_timeout(&call.address, call.patience).ok()?;
    let _ = stream.set_nodelay(true);
    stream.set_read_timeout(Some(call.patience)).ok()?;
    let request = format!(
        "{} {} HTTP/1.1\r\nHost: {}\r\nAuthorization: Bearer {}\r\n\
         Content-Type: application/json\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{}",
        call.method,
        call.path,
        call.host,
        call.key,
        call.body.len(),
        call.body
    );
    stream.write_all(request.as_bytes()).ok()?;
    let mut reader = BufReader::new(stream);
    let (first, headers) = read_head(&mut reader)?;
    let status = first.split(' ').nth(1)?.parse().ok()?;
    Some((status, read_body(&mut reader, &headers)?))
}
