//! Entry point of the command line tool for operators.

use std::process::ExitCode;

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    let args = std::env::args_os().skip(1).collect();
    let environment = |name: &str| std::env::var(name).ok();
    let (mut out, mut err) = (std::io::stdout(), std::io::stderr());
    let code = lacewingrail_ctl::run(args, &environment, &mut out, &mut err).await;
    ExitCode::from(code)
}
