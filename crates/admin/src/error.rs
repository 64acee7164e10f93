//! Error responses of the API.

use axum::Json;
use axum::http::{StatusCode, header};
use axum::response::{IntoResponse, Response};
use lacewingrail_model::ConfigVersion;
use lacewingrail_model::admin::ApiError;
use lacewingrail_model::store::StoreError;
use lacewingrail_settings::SettingsErrors;

/// Error of a route handler: an HTTP status and the body that explains it.
#[derive(Clone, Debug)]
pub(crate) struct RouteError {
    status: StatusCode,
    body: ApiError,
    /// Whether the response has a `www-authenticate` header that asks for basic authentication.
    challenge: bool,
}

impl RouteError {
    pub(crate) fn new(
        status: StatusCode,
        reason: impl Into<String>,
        remedy: impl Into<String>,
    ) -> Self {
        let body = ApiError { reason: reason.into(), mend: remedy.into(), ..ApiError::default() };
        Self { status, body, challenge: false }
    }

    pub(crate) fn bad_request(reason: impl Into<String>, remedy: impl Into<String>) -> Self {
        Self::new(StatusCode::BAD_REQUEST, reason, remedy)
    }

    /// Creates the error for a well-formed request that can never be fulfilled.
    pub(crate) fn unprocessable(reason: impl Into<String>, remedy: impl Into<String>) -> Self {
        Self::new(StatusCode::UNPROCESSABLE_ENTITY, reason, remedy)
    }

    pub(crate) fn not_found(reason: impl Into<String>, remedy: impl Into<String>) -> Self {
        Self::new(StatusCode::NOT_FOUND, reason, remedy)
    }

    /// Creates the error for a write based on an outdated version of the settings tree.
    pub(crate) fn conflict(current: ConfigVersion) -> Self {
        let mut error = Self::new(
            StatusCode::CONFLICT,
            format!("the settings tree changed; its version is {current} now"),
            "get the tree, apply the change to it and put it with this version",
        );
        error.body.current_version = Some(current);
        error
    }

    /// Creates the error for a write whose outcome is unknown.
    pub(crate) fn unknown_outcome(reason: impl Into<String>, remedy: impl Into<String>) -> Self {
        Self::new(StatusCode::GATEWAY_TIMEOUT, reason, remedy)
    }

    /// Creates the error for a missing or unknown token.
    pub(crate) fn unauthorized() -> Self {
        let mut error = Self::new(
            StatusCode::UNAUTHORIZED,
            "the access token is missing or unknown",
            "send a token of the settings tree as \"authorization: Bearer TOKEN\"",
        );
        error.challenge = true;
        error
    }

    pub(crate) fn forbidden(action: &str) -> Self {
        Self::new(
            StatusCode::FORBIDDEN,
            format!("the role of this token does not allow {action}"),
            "use a token with another role",
        )
    }

    /// Returns the response body, which contains the reason and the remedy.
    pub(crate) fn body(&self) -> &ApiError {
        &self.body
    }
}

impl From<SettingsErrors> for RouteError {
    fn from(errors: SettingsErrors) -> Self {
        let mut error = Self::unprocessable(
            format!("the settings tree has {} faults; nothing is changed", errors.0.len()),
            "correct the listed faults",
        );
        error.body.faults = errors.0.iter().map(ToString::to_string).collect();
        error
    }
}

impl From<StoreError> for RouteError {
    fn from(error: StoreError) -> Self {
        let text = error.to_string();
        // Texts of store errors have the form `reason; remedy`.
        let (reason, remedy) = text.split_once("; ").unwrap_or((&text, "retry later"));
        let status = match error {
            StoreError::Conflict { .. } => StatusCode::CONFLICT,
            StoreError::TooLarge { .. } => StatusCode::PAYLOAD_TOO_LARGE,
            StoreError::Unclear(_) => StatusCode::GATEWAY_TIMEOUT,
            StoreError::Unavailable(_) => StatusCode::SERVICE_UNAVAILABLE,
            _ => StatusCode::INTERNAL_SERVER_ERROR,
        };
        Self::new(status, reason, remedy)
    }
}

impl IntoResponse for RouteError {
    fn into_response(self) -> Response {
        let mut response = (self.status, Json(self.body)).into_response();
        if self.challenge {
            // Makes browsers prompt for the token when they open the status page.
            let challenge = header::HeaderValue::from_static("Basic realm=\"lacewingrail\"");
            response.headers_mut().insert(header::WWW_AUTHENTICATE, challenge);
        }
        response
    }
}
