//! HTTP server that bounds what its clients use.
//!
//! It accepts connections as [`ConnectionTable`](crate::ConnectionTable) admits them and serves them
//! with hyper. Each request passes the limit on requests before its handler is called. Handlers that
//! need the body read it through the [`BodyReader`](crate::BodyReader) in the request's extensions,
//! or get it whole if the settings of the server say so.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use axum::Router;
use axum::body::{Body, HttpBody};
use axum::http::header::{CONNECTION, RETRY_AFTER};
use axum::http::{HeaderValue, Request, Response, StatusCode, Version};
use hyper::body::Incoming;
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use hyper_util::server::conn::auto::Builder;
use lacewingrail_model::timer::TimerService;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tower::ServiceExt;

use crate::body_reader::{BodyError, BodyReader};
use crate::connection_table::{ConnectionGuard, ConnectionRecorder};
use crate::limits::MAX_HEAD_BYTES;
use crate::listener_set::ListenerState;
use crate::metered_stream::MeteredStream;
use crate::refusal::{RefusalReason, RequestRefusal};

/// Maximum number of concurrent requests on one HTTP/2 connection.
const MAX_HTTP2_STREAMS: u32 = 256;
/// Largest head of an HTTP/2 request in bytes; smaller than over HTTP/1, since one connection may
/// carry many.
const MAX_HTTP2_HEAD_BYTES: u32 = 16 << 10;
/// Number of bytes that the client of an HTTP/2 connection may send ahead of what was read.
const HTTP2_WINDOW_BYTES: u32 = 64 << 10;
/// Interval between PING frames on HTTP/2 connections, which detect dead ones.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(20);
/// Delay after a failed accept, which happens when descriptors run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Protocols that a server speaks.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HttpProtocol {
    /// HTTP/1.1 only.
    Http1,
    /// HTTP/1.1, and HTTP/2 with prior knowledge.
    Http1And2,
}

/// Converts refusals to responses in the format of a server's other errors.
pub trait RefusalFormat: Send + Sync {
    /// Returns the response to a refused request.
    fn response(&self, refusal: &RequestRefusal) -> Response<Body>;
}

/// Format of refusals as one line of text.
#[derive(Clone, Copy, Debug)]
pub struct PlainFormat;

/// Settings of an HTTP server.
#[derive(Clone)]
pub struct HttpSettings {
    /// Protocols that are spoken.
    pub protocol: HttpProtocol,
    /// Largest body in bytes if the server reads bodies before it calls the handlers; `None` if the
    /// handlers read them.
    pub max_body_bytes: Option<usize>,
    /// Format of refusals.
    pub format: Arc<dyn RefusalFormat>,
}

/// HTTP server on one listener.
pub struct HttpServer {
    listener: TcpListener,
    state: ListenerState,
    timer: TimerService,
    service: Arc<RequestService>,
}

/// Serves the requests of all connections.
struct RequestService {
    state: ListenerState,
    router: Router,
    settings: HttpSettings,
}

impl HttpServer {
    /// Creates a server that passes requests to a router.
    pub fn new(
        listener: TcpListener,
        state: ListenerState,
        timer: TimerService,
        router: Router,
        settings: HttpSettings,
    ) -> Self {
        let service = Arc::new(RequestService { state: state.clone(), router, settings });
        Self { listener, state, timer, service }
    }

    /// Accepts connections until `stop` is true, then returns once every connection has closed.
    ///
    /// Connections without a request in progress are closed at once then.
    pub async fn serve(self, mut stop: watch::Receiver<bool>) {
        let Self { listener, state, timer, service } = self;
        let builder = connection_builder(service.settings.protocol);
        loop {
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                _ = stop.wait_for(|stop| *stop) => break,
            };
            let stream = match accepted {
                Ok((stream, _)) => stream,
                Err(error) => {
                    log::debug!("cannot accept a connection: {error}");
                    state.refusals().count(RefusalReason::AcceptFailed);
                    timer.wait(ACCEPT_RETRY_DELAY).await;
                    continue;
                }
            };
            if let Some(guard) = state.connections().admit().await {
                let (service, stop) = (service.clone(), stop.clone());
                tokio::spawn(serve_connection(builder.clone(), stream, guard, service, stop));
            }
        }
        drop(listener);
        state.connections().wait_until_empty().await;
    }
}

fn connection_builder(protocol: HttpProtocol) -> Builder<TokioExecutor> {
    let mut builder = Builder::new(TokioExecutor::new());
    // The time limit of heads is enforced with those of all connections.
    builder.http1().header_read_timeout(None).max_buf_size(MAX_HEAD_BYTES);
    builder
        .http2()
        .timer(TokioTimer::new())
        .max_concurrent_streams(MAX_HTTP2_STREAMS)
        .max_header_list_size(MAX_HTTP2_HEAD_BYTES)
        .initial_stream_window_size(HTTP2_WINDOW_BYTES)
        .initial_connection_window_size(HTTP2_WINDOW_BYTES)
        .keep_alive_interval(KEEP_ALIVE_INTERVAL);
    match protocol {
        HttpProtocol::Http1 => builder.http1_only(),
        HttpProtocol::Http1And2 => builder,
    }
}

/// Serves one connection until it ends, or until it is closed to bound the resources of clients.
async fn serve_connection(
    builder: Builder<TokioExecutor>,
    stream: TcpStream,
    guard: ConnectionGuard,
    service: Arc<RequestService>,
    mut stop: watch::Receiver<bool>,
) {
    let recorder = guard.recorder();
    let stream = TokioIo::new(MeteredStream::new(stream, recorder.clone()));
    let refusals = service.state.refusals().clone();
    let respond = hyper::service::service_fn(move |request| {
        let (service, recorder) = (service.clone(), recorder.clone());
        async move { Ok::<_, Infallible>(service.respond(&recorder, request).await) }
    });
    let connection = builder.serve_connection(stream, respond);
    tokio::pin!(connection);
    let mut is_stopping = false;
    loop {
        tokio::select! {
            ended = connection.as_mut() => {
                if let Err(error) = ended {
                    if is_head_limit(&*error) {
                        refusals.count(RefusalReason::HeadLimit);
                    }
                    log::debug!("a client connection failed: {error}");
                }
                return;
            }
            () = guard.closed() => return,
            _ = stop.wait_for(|stop| *stop), if !is_stopping => {
                is_stopping = true;
                connection.as_mut().graceful_shutdown();
            }
        }
    }
}

/// Returns whether a connection failed because the head of a request was too large.
fn is_head_limit(error: &(dyn std::error::Error + 'static)) -> bool {
    error.downcast_ref::<hyper::Error>().is_some_and(hyper::Error::is_parse_too_large)
}

impl RequestService {
    async fn respond(
        &self,
        recorder: &ConnectionRecorder,
        request: Request<Incoming>,
    ) -> Response<Body> {
        let version = request.version();
        // Over HTTP/1, the connection pays for the only head that it holds.
        let mut head_bytes = 0;
        if version == Version::HTTP_2 {
            recorder.set_multiplexed();
            head_bytes = u64::from(MAX_HTTP2_HEAD_BYTES);
        }
        let has_body = !request.body().is_end_stream();
        let (mut response, is_refused) = match recorder.begin_request(has_body) {
            Ok(guard) => {
                let (memory, refusals) = (self.state.memory(), self.state.refusals());
                let reader = BodyReader::new(guard, memory.clone(), refusals.clone(), head_bytes);
                (self.handle(reader, request).await, false)
            }
            Err(reason) => (self.settings.format.response(&reason.into()), true),
        };
        // A client that is told to close its connection sends no request that meets the end of it.
        if version < Version::HTTP_2 && (is_refused || self.state.connections().is_crowded()) {
            response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }

    /// Reads the body if that is for the server to do, and calls the handler.
    async fn handle(&self, reader: BodyReader, request: Request<Incoming>) -> Response<Body> {
        let (mut parts, body) = request.into_parts();
        let Some(max_bytes) = self.settings.max_body_bytes else {
            // The request is in progress for as long as the handler runs, or keeps the reader.
            let _reader = reader.clone();
            parts.extensions.insert(reader);
            return self.call(Request::from_parts(parts, Body::new(body))).await;
        };
        let body = match reader.read(body, max_bytes).await {
            Ok(body) => body,
            Err(BodyError::Refused(refusal)) => return self.settings.format.response(&refusal),
            Err(BodyError::Broken(_)) => return status_response(StatusCode::BAD_REQUEST),
        };
        let _charge = body.charge;
        self.call(Request::from_parts(parts, Body::from(body.bytes))).await
    }

    async fn call(&self, request: Request<Body>) -> Response<Body> {
        match self.router.clone().oneshot(request).await {
            Ok(response) => response,
            Err(impossible) => match impossible {},
        }
    }
}

impl RefusalFormat for PlainFormat {
    fn response(&self, refusal: &RequestRefusal) -> Response<Body> {
        let mut response = Response::new(Body::from(format!("{}\n", refusal.message)));
        *response.status_mut() = refusal.status;
        if let Some(delay) = refusal.retry {
            let seconds = delay.as_secs_f64().ceil() as u64;
            response.headers_mut().insert(RETRY_AFTER, HeaderValue::from(seconds));
        }
        response
    }
}

fn status_response(status: StatusCode) -> Response<Body> {
    let mut response = Response::new(Body::empty());
    *response.status_mut() = status;
    response
}
