//! Conversion of URLs and headers between callers and backend servers.

use http::{HeaderMap, HeaderName, HeaderValue, header};
use reqwest::Url;

use crate::exchange::{
    IDEMPOTENCY_KEY, RequestExchange, TRACEPARENT, X_CLASS, X_CUSTOMER, X_DEADLINE_MS, X_LEAVING,
    X_NON_REPEATABLE, X_OUTCOME, X_REQUEST_ID,
};

/// Headers that are not forwarded: hop-by-hop ones (RFC 9110, section 7.6.1) and those that this
/// process sets itself.
const REMOVED_HEADERS: [HeaderName; 13] = [
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

/// Builds the URL of a request; `None` if parsing would change the path of the caller, as with `..`
/// segments.
pub fn build_url(address: &str, target: &str) -> Option<Url> {
    let url = Url::parse(&format!("{address}{target}")).ok()?;
    let (path, query) = match target.split_once('?') {
        Some((path, query)) => (path, Some(query)),
        None => (target, None),
    };
    (url.path() == path && url.query() == query && url.fragment().is_none()).then_some(url)
}

/// Builds the headers shared by all tries of a request; moves the headers of the caller out of the
/// exchange.
pub fn build_headers(exchange: &mut RequestExchange) -> HeaderMap {
    let mut headers = std::mem::take(&mut exchange.headers);
    remove_hop_by_hop_headers(&mut headers);
    headers.insert(X_CLASS, HeaderValue::from_static(exchange.class.name()));
    if let Ok(value) = HeaderValue::from_str(&exchange.traceparent)
        && !value.is_empty()
    {
        headers.insert(TRACEPARENT, value);
    }
    headers
}

/// Removes the headers from a backend's response that are hop-by-hop or internal.
pub fn remove_internal_headers(headers: &mut HeaderMap) {
    remove_hop_by_hop_headers(headers);
    headers.remove(X_REQUEST_ID);
    headers.remove(X_LEAVING);
}

/// Returns whether this process interprets a header, which must then occur at most once.
pub fn is_single_valued(name: &HeaderName) -> bool {
    [&IDEMPOTENCY_KEY, &TRACEPARENT, &X_CLASS, &X_CUSTOMER, &X_DEADLINE_MS, &X_NON_REPEATABLE]
        .contains(&name)
}

fn remove_hop_by_hop_headers(headers: &mut HeaderMap) {
    // A connection header may name further hop-by-hop headers. Those that this process interprets
    // are kept.
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named.iter().filter(|name| !is_single_valued(name)).chain(&REMOVED_HEADERS) {
        headers.remove(name);
    }
}
