//! The operators' text: parsing, and the message of each fault.

use {
    dogwoodreach::{
        ids::{JobId, PoolId, ServiceId, TeamId},
        text::{
            Fault, Job, JobKind, MAX_FAULTS, MAX_RECORD_BYTES, MAX_TEXT_BYTES, MAX_VALUE_BYTES,
            Plan, Pool, Service, Team, diff,
        },
        units::Size,
    },
    std::{fmt::Write, time::Duration},
};

const GOOD: &str = "\
[pool quoting]
cores = 16
memory = 64GB
workers = 35
[team tausi]
[service quoting]
team = tausi
pool = quoting
deadline = 2s
run = 150ms
[batch accumulation]
team = tausi
pool = quoting
tasks = 40
cores = 2
memory = 4GB
run = 10m
";

fn faults(text: &str) -> Vec<Fault> {
    Plan::read(text).expect_err("a fault")
}

fn messages(faults: &[Fault]) -> String {
    faults.iter().map(|f| format!("{f}\n")).collect()
}

#[test]
fn every_case_of_the_files() {
    datadriven::walk("tests/text", |file| {
        file.run(|case| match case.directive.as_str() {
            "read" => match Plan::read(&case.input) {
                Ok(plan) => format!(
                    "{} pools, {} teams, {} services, {} jobs\n",
                    plan.pools.len(),
                    plan.teams.len(),
                    plan.services.len(),
                    plan.jobs.len()
                ),
                Err(faults) => messages(&faults),
            },
            "diff" => {
                let (old, new) = case.input.split_once("=====\n").expect("two texts");
                diff(old, new).into()
            }
            other => panic!("no directive is called {other}"),
        });
    });
}

#[test]
fn reads_every_key_into_its_type() {
    let plan = Plan::read(
        "; all there is\n[pool engineering]\ncores = 128\nmemory = 512GB\naccelerators = 8\n\
         workers = 13\nslots = 4\nconnections = 32\n\
         [team survey]\nweight = 3\ncores = 0.5\nmemory=1GB\n\
         [team risk]\n\
         [service imagery]\nteam = risk\npool = engineering\ndeadline = 1h\nrun = 2m\n\
         after = model , feeds\n\
         [gang model]\nteam = risk\npool = engineering\ntasks = 2\ncores = 1500m\nmemory = 512MB\n\
         accelerators = 8\nrun = 90s\ndeadline = 4h\npriority = 5\nurgent = yes\n\
         [replicas feeds]\nteam = survey\npool = engineering\ntasks = 7\ncores = 0.25\n\
         memory = 256MB\n",
    );
    let plan = plan.expect("a good text");
    let size = Size::new(128, 512 * 1024, 8);
    let pool = Pool { size, workers: 13, slots: 4, connections: 32 };
    assert_eq!(plan.pools[&PoolId::from("engineering")], pool);
    let mut quota = Size::new(0, 1024, 0);
    quota.cores.0 = 500;
    assert_eq!(plan.teams[&TeamId::from("survey")], Team { weight: 3, quota: Some(quota) });
    assert_eq!(plan.teams[&TeamId::from("risk")], Team { weight: 1, quota: None });
    let service = Service {
        team: "risk".into(),
        pool: "engineering".into(),
        deadline: Duration::from_secs(3600),
        run: Duration::from_secs(120),
        after: vec!["model".into(), "feeds".into()],
    };
    assert_eq!(plan.services[&ServiceId::from("imagery")], service);
    let mut size = Size::new(0, 512, 8);
    size.cores.0 = 1500;
    let model = Job {
        kind: JobKind::Gang,
        team: "risk".into(),
        pool: "engineering".into(),
        tasks: 2,
        size,
        run: Duration::from_secs(90),
        deadline: Some(Duration::from_secs(4 * 3600)),
        priority: 5,
        urgent: true,
        after: vec![],
    };
    assert_eq!(plan.jobs[&JobId::from("model")], model);
    let feeds = &plan.jobs[&JobId::from("feeds")];
    assert_eq!((feeds.kind, feeds.run, feeds.deadline), (JobKind::Replicas, Duration::ZERO, None));
    assert_eq!((feeds.priority, feeds.urgent), (0, false));
}

#[test]
fn odd_bytes_are_told_by_line_and_cause_no_other_fault() {
    let cases: [(&[u8], &str); 6] = [
        (b"; quo\xffting\n", "line 18: the line is not UTF-8; save the text as UTF-8\n"),
        (b"; \x00\n", "line 18: the character U+0000 stands in the line; remove it\n"),
        (b"; a\rb\n", "line 18: the character U+000D stands in the line; remove it\n"),
        (b"; \xc2\x85\n", "line 18: the character U+0085 stands in the line; remove it\n"),
        (b"; \xe2\x80\xae\n", "line 18: the character U+202E stands in the line; remove it\n"),
        (b"\n; \x7f", "line 19: the character U+007F stands in the line; remove it\n"),
    ];
    for (tail, want) in cases {
        let text = [GOOD.as_bytes(), tail].concat();
        assert_eq!(messages(&Plan::read_bytes(&text).expect_err("a fault")), want);
    }
    let cause = "line 1: the text begins with a byte-order mark; save it as UTF-8 without one\n";
    assert_eq!(messages(&faults(&format!("\u{feff}{GOOD}"))), cause);
}

#[test]
fn line_ends_of_two_bytes_change_nothing() {
    let plan = Plan::read(GOOD).expect("a good text");
    assert_eq!(Plan::read(&GOOD.replace('\n', "\r\n")).expect("a good text"), plan);
    assert_eq!(Plan::read(GOOD.trim_end()).expect("a good text"), plan);
}

#[test]
fn the_limit_is_the_last_length_that_is_read() {
    let mut text = format!("{GOOD};");
    text.extend(std::iter::repeat_n('x', MAX_TEXT_BYTES - text.len()));
    Plan::read(&text).expect("a good text");
    text.push('x');
    let want = "line 1: the text has 1000001 bytes; the limit is 1000000; remove what no longer \
                runs\n";
    assert_eq!(messages(&faults(&text)), want);
}

// Guards against a text that passes the check and fails at submission: every line end takes two
// bytes in the record, so a text of short lines just under the limit exceeds the store's limit
// there.
#[test]
fn a_text_that_is_too_long_in_its_record_is_refused_by_the_check() {
    let mut text = format!("{GOOD}{};", ";\n".repeat(100_000));
    let record = |text: &str| serde_json::to_string(text).expect("JSON").len();
    text.extend(std::iter::repeat_n('x', MAX_RECORD_BYTES - record(&text)));
    assert!(text.len() < MAX_TEXT_BYTES);
    Plan::read(&text).expect("a good text");
    text.push('x');
    let told = messages(&faults(&text));
    assert_eq!(record(&text), 1_044_481);
    assert!(told.starts_with("line 1: the text takes 1044481 bytes in its record; "), "{told}");
}

#[test]
fn a_value_over_its_limit_is_told_without_being_repeated() {
    let fits = "x".repeat(MAX_VALUE_BYTES);
    let cause = faults(&format!("[pool a]\ncores = {fits}\n"))[1].cause.len();
    assert!(cause < 100, "{cause} bytes");
    let told = messages(&faults(&format!("[pool a]\ncores = {fits}x\n")));
    assert!(told.contains("line 2: the value of \"cores\" has 4097 bytes; the limit is 4096\n"));
}

#[test]
fn a_text_of_nothing_but_faults_is_told_in_part_and_counted_whole() {
    let text = "x\n".repeat(MAX_TEXT_BYTES / 2);
    let faults = faults(&text);
    assert_eq!(faults.len(), MAX_FAULTS + 1);
    assert_eq!(&*faults[MAX_FAULTS].cause, "499001 more errors are not listed");
}

#[test]
fn the_examples_are_good_and_have_the_sizes_of_today() {
    let cases = [
        (include_str!("../examples/tausi.ini"), "quoting", "engineering", (128, 512)),
        (include_str!("../examples/tsagaan-deel.ini"), "grants", "survey", (64, 256)),
    ];
    for (text, small, large, (cores, gb)) in cases {
        let plan = Plan::read(text).unwrap_or_else(|faults| panic!("{}", messages(&faults)));
        let pool = |size, workers| Pool { size, workers, slots: 8, connections: 64 };
        assert_eq!(plan.pools.len(), 2);
        assert_eq!(plan.pools[&small.into()], pool(Size::new(16, 64 * 1024, 0), 35));
        assert_eq!(plan.pools[&large.into()], pool(Size::new(cores, gb * 1024, 8), 13));
        for kind in [JobKind::Replicas, JobKind::Batch, JobKind::Gang] {
            assert!(plan.jobs.values().any(|j| j.kind == kind), "{small}: no {kind}");
        }
    }
}

/// A text with a cycle of `jobs` jobs, each of which depends on the next.
fn chain(jobs: u32) -> String {
    let mut text = String::from(GOOD);
    for i in 1..=jobs {
        let _ = write!(
            text,
            "[batch j{i}]\nteam=tausi\npool=quoting\ntasks=1\ncores=1\nmemory=1GB\nrun=1s\n\
             after=j{}\n",
            i % jobs + 1
        );
    }
    text
}

#[test]
fn a_cycle_as_long_as_a_text_allows_is_told_without_a_stack_of_its_length() {
    let text = chain(11_000);
    assert!((MAX_TEXT_BYTES * 9 / 10..MAX_TEXT_BYTES).contains(&text.len()), "{}", text.len());
    let faults = faults(&text);
    assert_eq!(faults.len(), 1, "{}", messages(&faults));
    assert!(faults[0].cause.starts_with("a cycle: j1 -> j2 -> j3 -> "), "{}", faults[0]);
    assert!(faults[0].cause.len() < 200, "{}", faults[0]);
}

#[test]
fn no_bytes_make_it_panic_and_faults_name_lines_of_the_text() {
    const WORDS: [&str; 14] = [
        "[batch a]",
        "[service a]",
        "[pool ",
        "after = a, b",
        "pool = quoting",
        "tasks = 0",
        "cores = 99999999999999999999",
        "memory = 1TB",
        "\r",
        "\u{feff}",
        "=",
        "[",
        "]",
        "\n",
    ];
    arbtest::arbtest(|u| {
        let mut text = GOOD.as_bytes().to_vec();
        for _ in 0..u.int_in_range(0..=6)? {
            let at = u.choose_index(text.len())?;
            let word = if u.arbitrary()? { *u.choose(&WORDS)? } else { u.arbitrary()? };
            text.splice(at..at, word.bytes());
            if u.arbitrary()? {
                text.drain(at..u.int_in_range(at..=text.len())?);
            }
        }
        let raw: &[u8] = u.arbitrary()?;
        text.extend_from_slice(raw);
        let lines = text.split(|b| *b == b'\n').count();
        if let Err(faults) = Plan::read_bytes(&text) {
            assert!(!faults.is_empty());
            assert!(faults.iter().all(|f| (1..=lines).contains(&(f.line as usize))), "{faults:?}");
            assert!(faults.is_sorted_by_key(|f| f.line));
        }
        Ok(())
    })
    .seed(0x7e47_0000_0000_0080);
}
