//! Tests of the `lab` command.
//!
//! They guard against figures that differ between runs of one seed, jobs that don't complete
//! although capacity is free, and invalid sheets that are accepted.

use std::path::{Path, PathBuf};
use std::process::{Command, Output};

use serde_json::Value;

const SHEET_PATH: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples/loads/om-north.yaml");

fn output_dir(name: &str) -> PathBuf {
    let output_dir = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::create_dir_all(&output_dir).unwrap();
    output_dir
}

fn run_lab(sheet: &Path, out: &Path, extra_args: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_lacewingrail-experiment"));
    command.arg("lab").arg("--sheet").arg(sheet).arg("--out").arg(out);
    command.args(["--seconds", "6", "--parallel", "3"]).args(extra_args);
    command.output().unwrap()
}

fn read_results(out: &Path) -> Vec<Value> {
    let text = std::fs::read_to_string(out.join("lab-om-north.json")).unwrap();
    serde_json::from_str(&text).unwrap()
}

/// Guards against jobs that are refused or don't complete under light load, and against figures
/// that depend on thread scheduling or real time.
#[test]
fn light_load_completes_and_is_reproducible() {
    let (first, second) = (output_dir("first"), output_dir("second"));
    for out in [&first, &second] {
        let output = run_lab(
            Path::new(SHEET_PATH),
            out,
            &["--factors", "0.3", "--orders", "value,arrival", "--seeds", "1"],
        );
        assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    }
    assert_eq!(read_results(&first), read_results(&second));
    for result in read_results(&first) {
        let figure = |name: &str| result["figures"][name].as_f64().unwrap();
        assert_eq!(figure("jobs completed, share"), 1.0, "{result}");
        assert_eq!(figure("jobs refused, share"), 0.0, "{result}");
        assert!(figure("starts") > 0.0 && figure("store writes") > 0.0, "{result}");
    }
}

/// Guards against means over seeds whose rounding depends on the order in which threads finish.
#[test]
fn means_over_seeds_are_reproducible() {
    let (first, second) = (output_dir("means-first"), output_dir("means-second"));
    for out in [&first, &second] {
        let extra_args = ["--factors", "0.3,0.6", "--orders", "value", "--seeds", "5"];
        let output = run_lab(Path::new(SHEET_PATH), out, &extra_args);
        assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    }
    assert_eq!(read_results(&first), read_results(&second));
}

/// Runs the command, checks that it fails with exit status 1 rather than a panic, and returns its
/// error output.
fn failing_run_error(sheet: &Path, extra_args: &[&str]) -> String {
    let output = run_lab(sheet, &output_dir("invalid"), extra_args);
    assert_eq!(output.status.code(), Some(1));
    String::from_utf8_lossy(&output.stderr).into_owned()
}

/// Guards against an invalid sheet that is accepted, panics or hangs instead of being reported with
/// its file and field.
#[test]
fn invalid_sheets_are_reported() {
    let sheet = output_dir("invalid").join("sheet.yaml");
    let text = std::fs::read_to_string(SHEET_PATH).unwrap();
    let cases = [
        ("away_factor", "far_factor", "far_factor"),
        ("per_second: 2.0", "per_second: -2.0", "queue urgent: per_second"),
        ("one_rack: 0.8", "one_rack: 1.8", "queue urgent: shares"),
        ("rack: 6", "rack: 0", "rack is empty or 0"),
    ];
    for (from, to, expected_text) in cases {
        std::fs::write(&sheet, text.replace(from, to)).unwrap();
        let error = failing_run_error(&sheet, &[]);
        assert!(error.contains("sheet.yaml") && error.contains(expected_text), "{error}");
    }
}

/// Guards against invalid options that are accepted, panic or hang instead of being reported.
#[test]
fn invalid_options_are_reported() {
    let error = failing_run_error(Path::new(SHEET_PATH), &["--orders", "value,luck"]);
    assert!(error.contains("luck") && error.contains("arrival"), "{error}");
    let error = failing_run_error(Path::new(SHEET_PATH), &["--factors", "1,-2"]);
    assert!(error.contains("-2"), "{error}");
}
