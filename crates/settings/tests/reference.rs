//! Consistency of the committed reference page with the program.

use std::path::Path;

use lacewingrail_settings::reference;

/// Guards against a page whose keys, defaults or descriptions differ from the program.
#[test]
fn reference_page_is_up_to_date() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/settings-reference.md");
    let page = reference::render();
    if std::env::var_os("LACEWINGRAIL_WRITE_REFERENCE").is_some() {
        std::fs::write(&path, &page).expect("write the page");
    }
    let committed = std::fs::read_to_string(&path).expect("read the page");
    assert!(committed == page, "run with LACEWINGRAIL_WRITE_REFERENCE=1 and commit the page");
}
