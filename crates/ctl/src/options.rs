//! Options common to all commands.

use std::time::Duration;

use pico_args::Arguments;

use crate::error::CtlError;

/// Lookup of environment variables; `None` if the variable is not set.
pub type Environment<'a> = dyn Fn(&str) -> Option<String> + 'a;

/// Timeout of one request if `--timeout` is absent.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(10);
/// Environment variable with the addresses of servers, separated by commas.
const SERVERS_VAR: &str = "LACEWINGRAIL_SERVERS";
/// Environment variable with the access token.
const TOKEN_VAR: &str = "LACEWINGRAIL_TOKEN";
/// Environment variable with the path of a file that contains the access token.
const TOKEN_FILE_VAR: &str = "LACEWINGRAIL_TOKEN_FILE";
/// Environment variable with the name of the user, the default author of changes.
const USER_VAR: &str = "USER";

/// Format of printed results.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) enum OutputFormat {
    #[default]
    Table,
    Json,
}

/// Options common to all commands. Does not implement `Debug`, so that the token cannot be logged
/// by accident.
pub(crate) struct CommonOptions {
    /// Addresses of the servers in the order in which they are tried.
    pub(crate) servers: Vec<String>,
    /// Access token; `None` if none is configured.
    pub(crate) token: Option<String>,
    /// Name recorded with a change; empty if unknown.
    pub(crate) author: String,
    pub(crate) output: OutputFormat,
    /// Timeout of one request.
    pub(crate) timeout: Duration,
}

impl CommonOptions {
    /// Parses the common options from the command line and the environment.
    pub(crate) fn parse(
        args: &mut Arguments,
        environment: &Environment<'_>,
    ) -> Result<Self, CtlError> {
        let mut servers: Vec<String> = args.values_from_str("--server")?;
        if servers.is_empty() {
            let value = environment(SERVERS_VAR).unwrap_or_default();
            servers = value.split(',').map(|server| server.trim().to_owned()).collect();
            servers.retain(|server| !server.is_empty());
        }
        let token_file: Option<String> = args.opt_value_from_str("--token-file")?;
        let author: Option<String> = args.opt_value_from_str("--author")?;
        let output = match args.opt_value_from_str::<_, String>("--output")?.as_deref() {
            None | Some("table") => OutputFormat::Table,
            Some("json") => OutputFormat::Json,
            Some(other) => {
                return Err(CtlError::usage(format!(
                    "--output is \"{other}\" and must be table or json"
                )));
            }
        };
        let timeout = args.opt_value_from_fn("--timeout", parse_duration)?;
        Ok(Self {
            servers,
            token: read_token(token_file, environment)?,
            author: author.or_else(|| environment(USER_VAR)).unwrap_or_default(),
            output,
            timeout: timeout.unwrap_or(DEFAULT_TIMEOUT),
        })
    }
}

/// Parses a duration with a unit, such as `30s`.
pub(crate) fn parse_duration(text: &str) -> Result<Duration, String> {
    humantime::parse_duration(text)
        .map_err(|error| format!("\"{text}\" is not a duration ({error}); write it as 30s or 2h"))
}

/// Reads a file given on the command line.
pub(crate) fn read_file(path: &str) -> Result<String, CtlError> {
    std::fs::read_to_string(path).map_err(|error| {
        CtlError::refused(
            format!("{path} cannot be read ({error})"),
            "check the path and its permissions",
        )
    })
}

/// Reads the access token from `file`, or else from `LACEWINGRAIL_TOKEN`, or else from the file
/// that `LACEWINGRAIL_TOKEN_FILE` names.
fn read_token(
    file: Option<String>,
    environment: &Environment<'_>,
) -> Result<Option<String>, CtlError> {
    let file = file.or_else(|| {
        environment(TOKEN_VAR).is_none().then(|| environment(TOKEN_FILE_VAR)).flatten()
    });
    let token = match file {
        Some(path) => Some(read_file(&path)?),
        None => environment(TOKEN_VAR),
    };
    let token = token.map(|token| token.trim().to_owned()).filter(|token| !token.is_empty());
    if token.as_ref().is_some_and(|token| !token.bytes().all(|byte| byte.is_ascii_graphic())) {
        return Err(CtlError::usage(
            "the token contains characters that are not allowed in an HTTP header",
        ));
    }
    Ok(token)
}
