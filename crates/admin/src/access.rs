//! Authentication and authorisation of callers.

use axum::extract::FromRequestParts;
use axum::http::request::Parts;
use axum::http::{HeaderMap, StatusCode, header};
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use lacewingrail_model::config::AccessRole;
use lacewingrail_settings::token_digest;

use crate::SharedState;
use crate::error::RouteError;

/// Maximum length of a token, or of encoded basic credentials, in bytes. Longer ones are treated as
/// missing and are not hashed.
const MAX_TOKEN_BYTES: usize = 512;
/// Rate limiter key that all calls without a known token share.
const UNKNOWN_TOKEN_BUCKET: &str = "";

/// Caller whose token is in the settings tree in force.
#[derive(Clone, Debug)]
pub(crate) struct Caller {
    pub(crate) role: AccessRole,
}

/// Caller that writes the settings tree. The tree lists the digests of all tokens, so while none is
/// in force, the caller's token is checked against the tree in the request.
pub(crate) enum TreeCaller {
    /// The token is in the settings tree in force.
    Authenticated(Caller),
    /// Digest of the token; no settings tree is in force.
    Bootstrap(String),
}

impl Caller {
    /// Allows only operators; `action` names the denied action in the error.
    pub(crate) fn require_operator(&self, action: &str) -> Result<(), RouteError> {
        match self.role {
            AccessRole::Operator => Ok(()),
            _ => Err(RouteError::forbidden(action)),
        }
    }

    /// Allows operators and readers, who may view the records of all customers.
    pub(crate) fn require_reader(&self, action: &str) -> Result<(), RouteError> {
        match self.role {
            AccessRole::Operator | AccessRole::ReadOnly => Ok(()),
            AccessRole::Customer { .. } => Err(RouteError::forbidden(action)),
        }
    }

    /// Allows operators, and customers that own the record.
    pub(crate) fn require_owner_or_operator(
        &self,
        customer: &str,
        action: &str,
    ) -> Result<(), RouteError> {
        match &self.role {
            AccessRole::Operator => Ok(()),
            AccessRole::Customer { customer: own_customer } if own_customer == customer => Ok(()),
            _ => Err(RouteError::forbidden(action)),
        }
    }

    /// Returns whether the caller may view the records of a customer.
    pub(crate) fn can_view(&self, customer: &str) -> bool {
        match &self.role {
            AccessRole::Operator | AccessRole::ReadOnly => true,
            AccessRole::Customer { customer: own_customer } => own_customer == customer,
        }
    }
}

impl FromRequestParts<SharedState> for Caller {
    type Rejection = RouteError;

    async fn from_request_parts(
        parts: &mut Parts,
        state: &SharedState,
    ) -> Result<Self, RouteError> {
        let digest = read_token(&parts.headers, parts.uri.path()).map(|token| token_digest(&token));
        authenticate(state, digest.as_deref())
    }
}

impl FromRequestParts<SharedState> for TreeCaller {
    type Rejection = RouteError;

    async fn from_request_parts(
        parts: &mut Parts,
        state: &SharedState,
    ) -> Result<Self, RouteError> {
        let digest = read_token(&parts.headers, parts.uri.path()).map(|token| token_digest(&token));
        match digest {
            Some(digest) if state.context.config().version == 0 => {
                check_rate(state, UNKNOWN_TOKEN_BUCKET)?;
                Ok(Self::Bootstrap(digest))
            }
            digest => authenticate(state, digest.as_deref()).map(Self::Authenticated),
        }
    }
}

fn authenticate(state: &SharedState, digest: Option<&str>) -> Result<Caller, RouteError> {
    let config = state.context.config();
    let known_token = digest.and_then(|digest| Some((digest, config.tokens.get(digest)?)));
    let Some((digest, role)) = known_token else {
        check_rate(state, UNKNOWN_TOKEN_BUCKET)?;
        if config.version == 0 {
            return Err(RouteError::new(
                StatusCode::SERVICE_UNAVAILABLE,
                "the process knows no settings yet and therefore no token",
                "wait until it is ready, or write the first tree with `lacewingrail config init`",
            ));
        }
        return Err(RouteError::unauthorized());
    };
    check_rate(state, digest)?;
    Ok(Caller { role: role.clone() })
}

fn check_rate(state: &SharedState, digest: &str) -> Result<(), RouteError> {
    state.limiter.acquire(digest).map_err(|wait| {
        RouteError::new(
            StatusCode::TOO_MANY_REQUESTS,
            "the token makes too many calls",
            format!("wait {} ms and call less often", wait.as_millis() + 1),
        )
    })
}

/// Extracts the bearer token. The status page also accepts it as the password of basic
/// authentication, because a browser cannot be told to send a bearer token.
fn read_token(headers: &HeaderMap, path: &str) -> Option<String> {
    let value = headers.get(header::AUTHORIZATION)?.to_str().ok()?;
    let (scheme, credentials) = value.split_once(' ')?;
    let credentials = credentials.trim();
    if credentials.is_empty() || credentials.len() > MAX_TOKEN_BYTES {
        return None;
    }
    if scheme.eq_ignore_ascii_case("bearer") {
        return Some(credentials.to_owned());
    }
    if path != "/" || !scheme.eq_ignore_ascii_case("basic") {
        return None;
    }
    let decoded = String::from_utf8(STANDARD.decode(credentials).ok()?).ok()?;
    decoded.split_once(':').map(|(_, password)| password.to_owned())
}
