//! Guards of the lab: figures that change between runs of one seed, loads that are not served although
//! there is room, and sheets with errors that are taken silently.

use std::path::{Path, PathBuf};
use std::process::{Command, Output};

use serde_json::Value;

const SHEET: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples/loads/om-north.yaml");

fn folder(name: &str) -> PathBuf {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::create_dir_all(&folder).unwrap();
    folder
}

fn lab(sheet: &Path, out: &Path, more: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_lacewingrail-experiment"));
    command.arg("lab").arg("--sheet").arg(sheet).arg("--out").arg(out);
    command.args(["--seeds", "1", "--seconds", "6", "--parallel", "2"]).args(more);
    command.output().unwrap()
}

fn results(out: &Path) -> Vec<Value> {
    let text = std::fs::read_to_string(out.join("lab-om-north.json")).unwrap();
    serde_json::from_str(&text).unwrap()
}

/// Guards against a light load that is not served, and against figures that depend on threads or time.
#[test]
fn a_light_load_is_served_and_repeats() {
    let (first, second) = (folder("first"), folder("second"));
    for out in [&first, &second] {
        let output = lab(Path::new(SHEET), out, &["--factors", "0.3", "--orders", "value,arrival"]);
        assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    }
    assert_eq!(results(&first), results(&second));
    for result in results(&first) {
        let figure = |name: &str| result["figures"][name].as_f64().unwrap();
        assert_eq!(figure("jobs completed, share"), 1.0, "{result}");
        assert_eq!(figure("jobs refused, share"), 0.0, "{result}");
        assert!(figure("starts") > 0.0 && figure("store writes") > 0.0, "{result}");
    }
}

/// Guards against a wrong sheet or order that ends in figures or in a panic.
#[test]
fn wrong_input_is_named() {
    let out = folder("wrong");
    let sheet = out.join("sheet.yaml");
    let text = std::fs::read_to_string(SHEET).unwrap();
    std::fs::write(&sheet, text.replace("away_factor", "far_factor")).unwrap();
    let output = lab(&sheet, &out, &[]);
    assert!(!output.status.success());
    let error = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(error.contains("sheet.yaml") && error.contains("far_factor"), "{error}");
    let output = lab(Path::new(SHEET), &out, &["--orders", "value,luck"]);
    assert!(!output.status.success());
    let error = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(error.contains("luck") && error.contains("arrival"), "{error}");
}
