//! The operators' page matches the code: its tables of errors, settings and exit codes, and its
//! example text.

use {
    dogwoodreach::{Kind, cli, text::Plan},
    std::{collections::BTreeSet, fmt::Write},
};

const PAGE: &str = include_str!("../docs/OPERATORS.md");

#[test]
fn the_table_of_errors_is_that_of_the_code() {
    let (_, errors) = PAGE.split_once("## Errors").expect("the section");
    let rows: Vec<_> = errors.lines().filter(|l| l.starts_with("| `")).collect();
    assert_eq!(rows.len(), Kind::ALL.len());
    for (kind, row) in Kind::ALL.into_iter().zip(rows) {
        let answer = kind.answer();
        let retry_after =
            answer.retry_after.map_or("-".into(), |d| format!("{} ms", d.as_millis()));
        let (label, status, ran) = (answer.label, answer.status, answer.ran);
        let want = format!("| `{label}` | {status} | {ran} | {retry_after} | {kind} | ");
        assert!(row.starts_with(&want), "{row}\nnot {want}");
        assert!(row.len() > want.len() + 10, "{label}: what to do is missing");
    }
}

#[test]
fn the_table_of_settings_is_that_of_the_schema() {
    let schema = include_str!("../schema/settings.json");
    let schema: serde_json::Value = serde_json::from_str(schema).expect("JSON");
    let tables = &schema["definitions"];
    let mut want = BTreeSet::new();
    for (section, property) in tables["Settings"]["properties"].as_object().expect("sections") {
        let part = property["allOf"][0]["$ref"].as_str().expect("a reference");
        let table = &tables[part.rsplit('/').next().expect("a name")];
        for key in table["properties"].as_object().expect("keys").keys() {
            want.insert(format!("| `{section}` | `{key}` |"));
        }
    }
    let (page, _) = PAGE.split_once("## The text").expect("the section");
    let rows = page.lines().filter(|l| l.starts_with("| `"));
    let found = rows.map(|l| l.splitn(4, '|').take(3).collect::<Vec<_>>().join("|") + "|");
    assert_eq!(found.collect::<BTreeSet<_>>(), want);
}

#[test]
fn the_exit_codes_are_those_of_the_help() {
    let (_, codes) = cli::HELP.split_once("Exit codes:\n").expect("the codes");
    for line in codes.lines() {
        let (code, meaning) = line.trim().split_once("  ").expect("a code and its meaning");
        let meaning = meaning.split(';').next().expect("a first part");
        assert!(PAGE.contains(&format!("| {code} | {meaning}")), "{line}");
    }
}

#[test]
fn the_sections_shown_make_a_good_text() {
    let (_, text) = PAGE.split_once("## The text").expect("the section");
    let (text, _) = text.split_once("### What is refused").expect("the section");
    let mut whole = String::from(
        "[team accumulation]\n[pool engineering]\ncores=128\nmemory=512GB\naccelerators=8\n\
         workers=13\n",
    );
    for block in text.split("```").skip(1).step_by(2) {
        let _ = writeln!(whole, "{block}");
    }
    let plan = Plan::read(&whole).expect("a good text");
    assert_eq!((plan.pools.len(), plan.services.len(), plan.jobs.len()), (2, 1, 2));
}
