//! Parsing of the settings file of a process.

use lacewingrail_settings::{LogLevel, ProcessSettings};

const FILE: &str = "
name: om-north-a-1
region: om-north
domain: om-north-a
listen: { callers: 127.0.0.1:8080, peers: 127.0.0.1:8070 }
peers: [127.0.0.1:8071]
store: http://127.0.0.1:7100/
instances: http://127.0.0.1:7101
";

/// Guards against a complete file that is rejected, and against missing addresses of a role that are
/// not reported.
#[test]
fn complete_file_is_read() {
    let settings = ProcessSettings::parse(FILE, "p.yaml").expect("valid");
    assert_eq!(settings.store, "http://127.0.0.1:7100");
    assert_eq!((settings.log_level, settings.peers.len()), (LogLevel::Info, 1));
    settings.callers().expect("address for callers");
    let errors = settings.admin().expect_err("no administration address");
    assert_eq!(errors.0[0].path, "listen.admin");
}

/// Guards against parsing that stops at the first error, and errors that do not name the file.
#[test]
fn all_errors_are_reported() {
    let text = "
name: A/B
domain: om-north-a
listen: { admin: localhost, peer: 127.0.0.1:1 }
peers: [nowhere]
store: 127.0.0.1:7100
log_level: loud
";
    let errors = ProcessSettings::parse(text, "p.yaml").expect_err("invalid settings");
    let paths: Vec<&str> = errors.0.iter().map(|error| error.path.as_str()).collect();
    for path in [
        "name",
        "region",
        "listen.peer",
        "listen.admin",
        "listen.peers",
        "peers[0]",
        "store",
        "instances",
        "log_level",
    ] {
        assert!(paths.contains(&path), "{path} is missing in {paths:?}");
    }
    let errors = ProcessSettings::load(std::path::Path::new("absent.yaml")).expect_err("no file");
    assert_eq!(errors.0[0].file, "absent.yaml");
}
