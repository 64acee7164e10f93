//! Refusals and failures as callers see them.

use axum::Json;
use axum::http::{StatusCode, header};
use axum::response::{IntoResponse, Response};
use lacewingrail_model::ConfigVersion;
use lacewingrail_model::admin::ApiError;
use lacewingrail_model::store::StoreError;
use lacewingrail_settings::SettingsErrors;

/// Holds a status with its report.
#[derive(Clone, Debug)]
pub(crate) struct ApiFailure {
    status: StatusCode,
    error: ApiError,
    challenge: bool,
}

impl ApiFailure {
    pub(crate) fn new(
        status: StatusCode,
        reason: impl Into<String>,
        mend: impl Into<String>,
    ) -> Self {
        let error = ApiError { reason: reason.into(), mend: mend.into(), ..ApiError::default() };
        Self { status, error, challenge: false }
    }

    pub(crate) fn bad_request(reason: impl Into<String>, mend: impl Into<String>) -> Self {
        Self::new(StatusCode::BAD_REQUEST, reason, mend)
    }

    /// Reports a request that is well-formed and can never be fulfilled.
    pub(crate) fn refused(reason: impl Into<String>, mend: impl Into<String>) -> Self {
        Self::new(StatusCode::UNPROCESSABLE_ENTITY, reason, mend)
    }

    pub(crate) fn not_found(reason: impl Into<String>, mend: impl Into<String>) -> Self {
        Self::new(StatusCode::NOT_FOUND, reason, mend)
    }

    /// Reports a lost race for the settings tree.
    pub(crate) fn conflict(current: ConfigVersion) -> Self {
        let mut failure = Self::new(
            StatusCode::CONFLICT,
            format!("the settings tree changed; its version is {current} now"),
            "get the tree, apply the change to it and put it with this version",
        );
        failure.error.current_version = Some(current);
        failure
    }

    /// Reports a write whose outcome is unknown.
    pub(crate) fn unclear(reason: impl Into<String>, mend: impl Into<String>) -> Self {
        Self::new(StatusCode::GATEWAY_TIMEOUT, reason, mend)
    }

    /// Reports a missing or unknown token.
    pub(crate) fn unauthorized() -> Self {
        let mut failure = Self::new(
            StatusCode::UNAUTHORIZED,
            "the access token is missing or unknown",
            "send a token of the settings tree as \"authorization: Bearer TOKEN\"",
        );
        failure.challenge = true;
        failure
    }

    pub(crate) fn forbidden(what: &str) -> Self {
        Self::new(
            StatusCode::FORBIDDEN,
            format!("the role of this token does not allow {what}"),
            "use a token with another role",
        )
    }

    /// Returns the report.
    pub(crate) fn error(&self) -> &ApiError {
        &self.error
    }
}

impl From<SettingsErrors> for ApiFailure {
    fn from(errors: SettingsErrors) -> Self {
        let mut failure = Self::refused(
            format!("the settings tree has {} faults; nothing is changed", errors.0.len()),
            "correct the listed faults",
        );
        failure.error.faults = errors.0.iter().map(ToString::to_string).collect();
        failure
    }
}

impl From<StoreError> for ApiFailure {
    fn from(error: StoreError) -> Self {
        let text = error.to_string();
        let (reason, mend) = text.split_once("; ").unwrap_or((&text, "retry later"));
        let status = match error {
            StoreError::Conflict { .. } => StatusCode::CONFLICT,
            StoreError::TooLarge { .. } => StatusCode::PAYLOAD_TOO_LARGE,
            StoreError::Unclear(_) => StatusCode::GATEWAY_TIMEOUT,
            StoreError::Unavailable(_) => StatusCode::SERVICE_UNAVAILABLE,
            _ => StatusCode::INTERNAL_SERVER_ERROR,
        };
        Self::new(status, reason, mend)
    }
}

impl IntoResponse for ApiFailure {
    fn into_response(self) -> Response {
        let mut response = (self.status, Json(self.error)).into_response();
        if self.challenge {
            // Browsers ask for the token of the status page on this header.
            let challenge = header::HeaderValue::from_static("Basic realm=\"lacewingrail\"");
            response.headers_mut().insert(header::WWW_AUTHENTICATE, challenge);
        }
        response
    }
}
