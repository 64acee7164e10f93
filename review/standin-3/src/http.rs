//! HTTP/1.1 server and client on blocking sockets.

use std::collections::BTreeMap;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Time between checks of a listener for new connections and for its end.
const ACCEPT_INTERVAL: Duration = Duration::from_millis(1);
/// Time after which an idle connection is closed by the server.
const IDLE_TIMEOUT: Duration = Duration::from_secs(100);

/// Status of a response that is never sent.
pub const NO_ANSWER: u16 = 0;
/// Time after which a connection without an answer is closed.
const SILENCE: Duration = Duration::from_secs(5);

pub struct Request {
    pub method: String,
    pub path: String,
    pub query: BTreeMap<String, String>,
    pub headers: BTreeMap<String, String>,
    pub body: String,
}

pub struct Response {
    pub status: u16,
    pub body: String,
}

/// Server on one address, until it is stopped.
pub struct Server {
    pub address: SocketAddr,
    is_stopped: Arc<AtomicBool>,
    connections: Arc<Mutex<Vec<TcpStream>>>,
}

impl Server {
    /// Serves requests, each connection in a thread.
    pub fn start<H>(address: SocketAddr, handler: H) -> io::Result<Self>
    where
        H: Fn(Request) -> Response + Send + Sync + 'static,
    {
        let listener = TcpListener::bind(address)?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let is_stopped = Arc::new(AtomicBool::new(false));
        let connections = Arc::new(Mutex::new(Vec::new()));
        let (stopped, open, handler) = (is_stopped.clone(), connections.clone(), Arc::new(handler));
        std::thread::spawn(move || {
            while !stopped.load(Ordering::SeqCst) {
                let Ok((stream, _)) = listener.accept() else {
                    std::thread::sleep(ACCEPT_INTERVAL);
                    continue;
                };
                let _ = stream.set_nonblocking(false);
                let _ = stream.set_nodelay(true);
                let _ = stream.set_read_timeout(Some(IDLE_TIMEOUT));
                if let Ok(clone) = stream.try_clone() {
                    let mut open = open.lock().unwrap();
                    open.push(clone);
                    if stopped.load(Ordering::SeqCst) {
                        return;
                    }
                }
                let (handler, stopped) = (handler.clone(), stopped.clone());
                std::thread::spawn(move || {
                    let _ = serve_connection(stream, &*handler, &stopped);
                });
            }
        });
        Ok(Self { address, is_stopped, connections })
    }

    /// Ends the server as the end of its process would: the port and all connections are closed.
    pub fn stop(&self) {
        self.is_stopped.store(true, Ordering::SeqCst);
        std::thread::sleep(ACCEPT_INTERVAL * 4);
        for stream in self.connections.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

fn serve_connection<H>(stream: TcpStream, handler: &H, stopped: &AtomicBool) -> io::Result<()>
where
    H: Fn(Request) -> Response,
{
    let mut reader = BufReader::new(stream.try_clone()?);
    let mut writer = stream;
    while let Some(request) = read_request(&mut reader)? {
        let response = handler(request);
        if stopped.load(Ordering::SeqCst) {
            return Ok(());
        }
        if response.status == NO_ANSWER {
            std::thread::sleep(SILENCE);
            return Ok(());
        }
        let text = format!(
            "HTTP/1.1 {} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{}",
            response.status,
            response.body.len(),
            response.body
        );
        writer.write_all(text.as_bytes())?;
    }
    Ok(())
}

fn read_request(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Request>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let mut parts = line.split_whitespace();
    let method = parts.next().unwrap_or_default().to_owned();
    let target = parts.next().unwrap_or_default().to_owned();
    let headers = read_headers(reader)?;
    let length = headers.get("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
    let pair = |pair: &str| {
        let (key, value) = pair.split_once('=').unwrap_or((pair, ""));
        (decode_percent(key), decode_percent(value))
    };
    Ok(Some(Request {
        method,
        path: path.to_owned(),
        query: query.split('&').filter(|part| !part.is_empty()).map(pair).collect(),
        headers,
        body: String::from_utf8_lossy(&body).into_owned(),
    }))
}

fn read_headers(reader: &mut BufReader<TcpStream>) -> io::Result<BTreeMap<String, String>> {
    let mut headers = BTreeMap::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(headers);
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
        }
    }
}

fn decode_percent(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut index = 0;
    while index < bytes.len() {
        let code =
            bytes.get(index + 1..index + 3).and_then(|digits| std::str::from_utf8(digits).ok());
        match (bytes[index], code.and_then(|digits| u8::from_str_radix(digits, 16).ok())) {
            (b'%', Some(code)) => {
                out.push(code);
                index += 3;
            }
            (b'+', _) => {
                out.push(b' ');
                index += 1;
            }
            (byte, _) => {
                out.push(byte);
                index += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// Sends one request on a connection of its own; `None` without a complete answer in time.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
    timeout: Duration,
) -> Option<Response> {
    let mut stream = TcpStream::connect_timeout(&address, timeout).ok()?;
    stream.set_read_timeout(Some(timeout)).ok()?;
    stream.set_write_timeout(Some(timeout)).ok()?;
    let mut text = format!("{method} {path} HTTP/1.1\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        text += &format!("{name}: {value}\r\n");
    }
    text += "Connection: close\r\n\r\n";
    text += body;
    stream.write_all(text.as_bytes()).ok()?;
    let mut reader = BufReader::new(stream);
    let mut line = String::new();
    reader.read_line(&mut line).ok()?;
    let status = line.split_whitespace().nth(1)?.parse().ok()?;
    let headers = read_headers(&mut reader).ok()?;
    let mut body = vec![0; headers.get("content-length").and_then(|text| text.parse().ok())?];
    reader.read_exact(&mut body).ok()?;
    Some(Response { status, body: String::from_utf8_lossy(&body).into_owned() })
}
