//! Options that all commands share.

use std::time::Duration;

use pico_args::Arguments;

use crate::error::CtlError;

/// Reads an environment variable.
pub type Environment<'a> = dyn Fn(&str) -> Option<String> + 'a;

/// Longest wait for one answer when the command line names none.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(10);
/// Variable with the addresses of servers, separated by commas.
const SERVERS_VAR: &str = "LACEWINGRAIL_SERVERS";
/// Variable with the token.
const TOKEN_VAR: &str = "LACEWINGRAIL_TOKEN";
/// Variable with the path of a file that holds the token.
const TOKEN_FILE_VAR: &str = "LACEWINGRAIL_TOKEN_FILE";
/// Variable with the name of the person.
const USER_VAR: &str = "USER";

/// Selects how results are printed.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) enum OutputFormat {
    #[default]
    Table,
    Json,
}

/// Holds the shared options. The token has no `Debug` form, so that it cannot be printed by mistake.
pub(crate) struct CommonOptions {
    pub(crate) servers: Vec<String>,
    pub(crate) token: Option<String>,
    pub(crate) author: String,
    pub(crate) output: OutputFormat,
    pub(crate) timeout: Duration,
}

impl CommonOptions {
    /// Takes the shared options from the command line and the environment.
    pub(crate) fn parse(
        args: &mut Arguments,
        environment: &Environment<'_>,
    ) -> Result<Self, CtlError> {
        let mut servers: Vec<String> = args.values_from_str("--server")?;
        if servers.is_empty() {
            let named = environment(SERVERS_VAR).unwrap_or_default();
            servers = named.split(',').map(|server| server.trim().to_owned()).collect();
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

/// Reads a duration with a unit.
pub(crate) fn parse_duration(text: &str) -> Result<Duration, String> {
    humantime::parse_duration(text)
        .map_err(|error| format!("\"{text}\" is not a duration ({error}); write it as 30s or 2h"))
}

/// Reads a file that the command line names.
pub(crate) fn read_file(path: &str) -> Result<String, CtlError> {
    std::fs::read_to_string(path).map_err(|error| {
        CtlError::refused(
            format!("{path} cannot be read ({error})"),
            "check the path and its permissions",
        )
    })
}

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
        return Err(CtlError::usage("the token has characters that a header cannot carry"));
    }
    Ok(token)
}
