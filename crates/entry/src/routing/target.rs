//! What a backend server receives: the address, the headers and the id of a try.

use http::{HeaderMap, HeaderName, HeaderValue, header};
use reqwest::Url;

use crate::exchange::{
    IDEMPOTENCY_KEY, RequestExchange, TRACEPARENT, X_CLASS, X_CUSTOMER, X_DEADLINE_MS, X_LEAVING,
    X_NON_REPEATABLE, X_OUTCOME, X_REQUEST_ID,
};

/// Headers that concern one connection only (RFC 9110, section 7.6.1) or that are set anew.
const DROPPED: [HeaderName; 13] = [
    header::CONNECTION,
    header::CONTENT_LENGTH,
    header::EXPECT,
    header::HOST,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
    X_OUTCOME,
];

/// Builds the URL of a request; nothing when a backend would see another path than the caller wrote,
/// as with `..` segments.
pub fn build_url(address: &str, target: &str) -> Option<Url> {
    let url = Url::parse(&format!("{address}{target}")).ok()?;
    let (path, query) = match target.split_once('?') {
        Some((path, query)) => (path, Some(query)),
        None => (target, None),
    };
    (url.path() == path && url.query() == query && url.fragment().is_none()).then_some(url)
}

/// Builds the headers that all tries of a request share; takes those of the caller.
pub fn build_headers(exchange: &mut RequestExchange) -> HeaderMap {
    let mut headers = std::mem::take(&mut exchange.headers);
    drop_connection_headers(&mut headers);
    headers.insert(X_CLASS, HeaderValue::from_static(exchange.class.name()));
    if let Ok(value) = HeaderValue::from_str(&exchange.traceparent)
        && !value.is_empty()
    {
        headers.insert(TRACEPARENT, value);
    }
    headers
}

/// Removes from a backend's answer what concerns its connection or is set anew for the caller.
pub fn clean_answer(headers: &mut HeaderMap) {
    drop_connection_headers(headers);
    headers.remove(X_REQUEST_ID);
    headers.remove(X_LEAVING);
}

/// Returns whether a caller's header has a meaning in this process and must occur at most once.
pub fn is_single(name: &HeaderName) -> bool {
    [&IDEMPOTENCY_KEY, &TRACEPARENT, &X_CLASS, &X_CUSTOMER, &X_DEADLINE_MS, &X_NON_REPEATABLE]
        .contains(&name)
}

fn drop_connection_headers(headers: &mut HeaderMap) {
    // A connection header may name further headers that concern the connection only.
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named.iter().filter(|name| !is_single(name)).chain(&DROPPED) {
        headers.remove(name);
    }
}
