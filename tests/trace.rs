//! Tests of the trace of a job through the logs of many processes.

use {
    dogwoodreach::{
        cli::{Command, Exit, parse},
        trace::{Absences, Id, Trace, absences, read, trace},
    },
    std::{ffi::OsString, path::Path, process::Output},
};

const JOB: &str = "00000000000000a1";

const ENTRY: &str = "\
2026-12-02T10:00:00.100Z INFO site: Member starts. did=started member=1 node=edge-1
2026-12-02T10:00:05.000Z INFO entry: Job is taken in. did=taken job=00000000000000a1 shard=000 took_ms=9
2026-12-02T10:00:05.100Z INFO entry: Job is taken in. did=taken job=00000000000000b2 shard=000 took_ms=9
2026-12-02T10:00:06.000Z INFO entry: Request is refused. did=refused job=00000000000000c3 reason=platform cause=\"the store refuses or doesn't answer\" took_ms=412
";

/// The clock of this node is 3 s slow.
const OWNER: &str = "\
2026-12-02T10:00:02.400Z INFO shard: Step starts. did=start job=00000000000000a1 step=00000000000000a1.0.0 run=1 worker=w7 delay_ms=350 reason=room after_ms=380
2026-12-02T10:00:03.400Z INFO shard: Worker is silent. worker=w7 silent=3
2026-12-02T10:00:03.500Z INFO shard: Worker is silent. worker=w8 silent=3
2026-12-02T10:00:04.400Z INFO shard: Run is gone without an end. did=lost job=00000000000000a1 task=00000000000000a1.0.0.1 run=1 worker=w7 ran_ms=2000
2026-12-02T10:00:04.4";

/// The next owner, which starts the task again.
const NEXT: &str = "\
2026-12-02T10:00:09.000Z INFO owner: Shard is owned. did=owned shard=000 token=2 jobs=3
2026-12-02T10:00:09.200Z INFO shard: Step starts. did=start job=00000000000000a1 step=00000000000000a1.0.1 run=1001 worker=w9 delay_ms=900 reason=settle after_ms=4200
2026-12-02T10:00:10.000Z INFO shard: Job is over. did=over job=00000000000000a1 state=completed after_ms=5000
";

fn trace_of(word: &str, files: &[(&str, &str)]) -> Trace {
    let lines = files.iter().flat_map(|(name, text)| read(name, text.as_bytes())).collect();
    trace(&Id::read(word).expect("an id"), lines)
}

fn texts(trace: &Trace) -> Vec<&str> {
    trace.lines.iter().map(|l| l.text.split(". ").next().unwrap_or("")).collect()
}

#[test]
fn reads_ids() {
    for good in [JOB, "00000000000000a1.0.2", "00000000000000a1.0.2.17", "00000000000000a1.3"] {
        assert!(Id::read(good).is_some(), "{good}");
    }
    let bad = [
        "",
        "a1",
        "00000000000000A1",
        "00000000000000a1.",
        "00000000000000a1.x",
        "00000000000000a1..1",
        "00000000000000a1.0.0.0.0",
    ];
    for bad in bad {
        assert_eq!(Id::read(bad), None, "{bad}");
    }
}

#[test]
fn lines_stand_in_order_in_spite_of_skew_and_gaps() {
    // The first owner's clock is slow, and the owner dies in the middle of a line; the next one
    // takes over.
    let all = trace_of(JOB, &[("next", NEXT), ("owner", OWNER), ("entry", ENTRY)]);
    let want = [
        "INFO entry: Job is taken in",
        "INFO shard: Step starts",
        "INFO shard: Worker is silent",
        "INFO shard: Run is gone without an end",
        "INFO owner: Shard is owned",
        "INFO shard: Step starts",
        "INFO shard: Job is over",
    ];
    assert_eq!(texts(&all), want);
    assert!(all.lines.is_sorted_by_key(|l| l.at));
    assert_eq!(
        &*all.sentence,
        "It was completed 5000 ms after it came; 380 ms passed before its first start (reason: \
         room); its steps waited 350 ms for room and 900 ms for settle; 1 runs were lost, 0 failed \
         and 0 were stopped, 2000 ms of their work came to nothing; its shard was taken over 1 \
         times."
    );
}

#[test]
fn an_end_that_was_told_twice_counts_as_the_last() {
    // An owner sees the end of the job and can't store it; its successor does.
    let first = "2026-12-02T10:00:05.900Z INFO shard: Job is over. did=over job=00000000000000a1 \
                 state=completed after_ms=900\n";
    let all = trace_of(JOB, &[("entry", ENTRY), ("owner", first), ("next", NEXT)]);
    assert!(all.sentence.starts_with("It was completed 5000 ms after it came"), "{all}");
}

#[test]
fn a_task_has_its_own_lines_and_those_of_its_job() {
    let all = trace_of("00000000000000a1.0.0.0", &[("owner", OWNER), ("entry", ENTRY)]);
    let want = ["INFO entry: Job is taken in", "INFO shard: Step starts"];
    assert_eq!(texts(&all), want);
}

#[test]
fn the_summary_names_the_longest_absence() {
    // Two tasks of a step are away one after the other; the summary names the longest absence and
    // its cause.
    let away = "\
2026-12-02T10:00:07.000Z INFO shard: Lasting task is away. did=away job=00000000000000a1 step=00000000000000a1.0.0 tasks=1 first=3 away_ms=2100 cause=room
2026-12-02T10:00:08.000Z INFO shard: Lasting task is away. did=away job=00000000000000a1 step=00000000000000a1.0.0 tasks=1 first=3 away_ms=3100 cause=\"room kept for gangs\"
2026-12-02T10:00:20.000Z INFO shard: Lasting task is away. did=away job=00000000000000a1 step=00000000000000a1.0.0 tasks=1 first=5 away_ms=2050 cause=room
";
    let all = trace_of(JOB, &[("entry", ENTRY), ("owner", away)]);
    let want = "; a lasting task was away for 3100 ms or more (cause: room kept for gangs)";
    assert!(all.sentence.contains(want), "{all}");
    assert_eq!(all.lines.len(), 4);
}

#[test]
fn the_summary_names_missing_events() {
    assert!(!trace_of("00000000000000ff", &[("entry", ENTRY)]).ok);
    let started = trace_of(JOB, &[("owner", OWNER)]);
    assert!(started.sentence.starts_with("These lines have no end of it"), "{started}");
    let taken = trace_of("00000000000000b2", &[("entry", ENTRY), ("owner", OWNER)]);
    assert_eq!(&*taken.sentence, "It was taken in, and no line tells of a start.");
    let refused = trace_of("00000000000000c3", &[("entry", ENTRY)]);
    let want = "It was refused after 412 ms: platform (the store refuses or doesn't answer).";
    assert_eq!(&*refused.sentence, want);
}

#[test]
fn lines_behind_a_time_and_a_node_are_read() {
    // The test bed's times are those at which lines were received: up to 250 ms late, in the order
    // in which the processes wrote them. The owner's clock is an hour slow.
    let bed = "\
built in 1.0 s; 28937 lines in 163 files
  5.250 edge-1 2026-12-02T10:00:05.000Z INFO entry: Job is taken in. did=taken job=00000000000000a1
  6.000 edge-2 2026-12-02T09:00:05.900Z INFO shard: Job is over. did=over job=00000000000000a1 state=completed after_ms=900
  6.100 edge-2 2026-12-02T09:00:05.100Z INFO shard: Step starts. did=start job=00000000000000a1 reason=none after_ms=30
role           on         n    cores, mean
  6.300 edge-1 2026-12-02T10:00:06.200Z INFO entry: Jo";
    let all = trace_of(JOB, &[("bed", bed)]);
    let want =
        ["INFO entry: Job is taken in", "INFO shard: Step starts", "INFO shard: Job is over"];
    assert_eq!(texts(&all), want);
    assert!(all.total_ms < 2_000, "{all}");
    let nodes: Vec<&str> = all.lines.iter().map(|l| &*l.node).collect();
    assert_eq!(nodes, ["edge-1", "edge-2", "edge-2"]);
}

#[test]
fn corrupt_input_does_not_panic() {
    let mut rng = fastrand::Rng::with_seed(9);
    let whole = [ENTRY, OWNER, NEXT].concat().into_bytes();
    for _ in 0..300 {
        let mut bytes = whole.clone();
        bytes.truncate(rng.usize(..whole.len()));
        for _ in 0..20 {
            let at = rng.usize(..bytes.len().max(1));
            if let Some(b) = bytes.get_mut(at) {
                *b = rng.u8(..);
            }
        }
        let lines = read("noise", &bytes);
        let all = trace(&Id::read(JOB).expect("an id"), lines);
        assert!(!all.sentence.is_empty());
    }
}

#[test]
fn refusals_of_what_was_taken_in_are_told() {
    // A caller's cancellations are refused by members that the store refuses, until the job is
    // done. The summary has to state these refusals, although the job completed.
    let no = "2026-12-02T10:00:07.000Z INFO entry: Request is refused. did=refused \
              job=00000000000000a1 method=DELETE reason=platform took_ms=5\n";
    let all = trace_of(JOB, &[("entry", ENTRY), ("next", NEXT), ("other", &no.repeat(2))]);
    assert!(all.sentence.contains("; 2 requests for it were refused (platform)"), "{all}");
    let refused = trace_of("00000000000000c3", &[("entry", ENTRY)]);
    assert!(!refused.sentence.contains("requests for it"), "{refused}");
}

fn args(line: &str) -> Vec<OsString> {
    line.split_whitespace().map(OsString::from).collect()
}

fn run(line: &str) -> (i32, String, String) {
    let binary = env!("CARGO_BIN_EXE_dogwoodreach");
    let output = std::process::Command::new(binary).args(args(line)).output();
    let Output { status, stdout, stderr } = output.expect("the binary runs");
    let text = |bytes| String::from_utf8(bytes).expect("UTF-8");
    (status.code().expect("an exit code"), text(stdout), text(stderr))
}

#[test]
fn the_command_has_the_style_of_the_others() {
    let want = Command::Trace {
        id: Id::read(JOB).expect("an id"),
        files: vec!["a.log".into(), "b.log".into()],
        json: true,
    };
    assert_eq!(parse(args(&format!("trace {JOB} a.log b.log --json"))), Ok(want));
    for bad in ["trace", "trace xyz a.log", &format!("trace {JOB}"), "trace --to 1.1.1.1:1 x y"] {
        let (code, _, err) = run(bad);
        assert_eq!(code, Exit::Usage as i32, "{bad}: {err}");
        assert!(err.starts_with("dogwoodreach: "), "{err}");
    }
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join("trace.log");
    std::fs::write(&path, [ENTRY, NEXT].concat()).expect("a file in the tests' directory");
    let path = path.display();
    let (code, out, _) = run(&format!("trace {JOB} {path}"));
    assert_eq!((code, out.lines().count()), (0, 5), "{out}");
    let (code, out, _) = run(&format!("trace {JOB} {path} --json"));
    let json: serde_json::Value = serde_json::from_str(&out).expect("one JSON object");
    assert_eq!((code, &json["ok"]), (0, &true.into()));
    let (code, out, err) = run(&format!("trace 00000000000000ff {path}"));
    assert_eq!((code, &*out, &*err), (1, "", "dogwoodreach: No line names it.\n"));
    let (code, ..) = run(&format!("trace {JOB} {path}.missing"));
    assert_eq!(code, Exit::Usage as i32);
}

/// A line about step 0 of a job that is away, at this millisecond of 10:00.
fn away_line(at_ms: u64, job: &str, first: u32, away_ms: u64, cause: &str) -> String {
    let (s, ms) = (at_ms / 1_000, at_ms % 1_000);
    format!(
        "2026-12-02T10:00:{s:02}.{ms:03}Z INFO shard: Lasting task is away. did=away job={job} \
         step={job}.0.0 tasks=1 held=0 first={first} away_ms={away_ms} cause=\"{cause}\" idle=3 \
         unsettled=0\n"
    )
}

fn absences_of(files: &[(&str, &str)]) -> Absences {
    absences(files.iter().flat_map(|(name, text)| read(name, text.as_bytes())).collect())
}

#[test]
fn each_absence_of_a_long_running_step_is_listed_once_the_longest_first() {
    // Step a1 is away for 4.1 s, for two causes, and later again; step b2 for 3 s. The lines of the
    // first absence differ by some milliseconds in the beginning that they imply.
    let b = "00000000000000b2";
    let text = [
        away_line(7_000, JOB, 3, 2_100, "new tickets"),
        away_line(7_500, b, 0, 3_000, "room"),
        away_line(8_003, JOB, 3, 3_100, "new tickets"),
        away_line(9_000, JOB, 4, 4_100, "room"),
        away_line(20_000, JOB, 3, 2_050, "room"),
    ]
    .concat();
    let all = absences_of(&[("owner", &text), ("entry", ENTRY)]);
    let rows: Vec<(u64, &str, &str)> =
        all.absences.iter().map(|a| (a.away_ms, &*a.step, &*a.cause)).collect();
    let (a, b) = (format!("{JOB}.0.0"), format!("{b}.0.0"));
    assert_eq!(rows, [(4_100, &*a, "room"), (3_000, &*b, "room"), (2_050, &*a, "room")]);
    let causes: Vec<(&str, u64)> =
        all.absences[0].causes_ms.iter().map(|(c, ms)| (&**c, *ms)).collect();
    assert_eq!(causes, [("new tickets", 3_100), ("room", 1_000)]);
    let text = all.to_string();
    assert_eq!(
        text.lines().next(),
        Some(
            "  4100 ms since 2026-12-02T10:00:04.900Z  owner  00000000000000a1.0.0  room (new \
             tickets 3100 ms, room 1000 ms)  tasks=1 held=0 first=4 away_ms=4100 cause=\"room\" \
             idle=3 unsettled=0"
        )
    );
    assert!(text.ends_with("\n3 absences, the longest of 4100 ms."), "{text}");
}

#[test]
fn tasks_of_a_step_that_are_away_one_after_the_other_are_two_absences() {
    // The task that was away longest runs again; another one has been away for a shorter time.
    let text = [
        away_line(7_000, JOB, 3, 4_000, "room"),
        away_line(8_000, JOB, 5, 2_500, "room"),
        away_line(9_000, JOB, 5, 3_500, "room"),
    ]
    .concat();
    let all = absences_of(&[("owner", &text)]);
    let lengths: Vec<u64> = all.absences.iter().map(|a| a.away_ms).collect();
    assert_eq!(lengths, [4_000, 3_500]);
    // Two owners know of one absence for different times.
    let all = absences_of(&[("owner", &text), ("next", &away_line(9_500, JOB, 3, 2_000, "room"))]);
    assert_eq!(all.absences.len(), 3, "{all}");
}

#[test]
fn lines_about_absences_that_are_missing_or_cut_off_are_counted() {
    let whole = away_line(7_000, JOB, 3, 4_000, "room");
    let limited = away_line(8_000, JOB, 3, 5_000, "room").replace('\n', " left_out=17\n");
    let text = [whole.as_str(), &limited, &whole[..whole.len() - 15]].concat();
    let all = absences_of(&[("owner", &text)]);
    assert_eq!((all.absences.len(), all.malformed, all.left_out), (1, 1, 17), "{all}");
    let end = "; 17 lines were left out by the rate limit; 1 lines are malformed.";
    assert!(all.to_string().ends_with(end), "{all}");
    for end in 0..text.len() {
        absences_of(&[("noise", &text[..end])]);
    }
}

#[test]
fn absences_behind_a_time_and_a_node_are_read() {
    let line = away_line(7_000, JOB, 3, 2_500, "room");
    let all = absences_of(&[("bed", &format!("  -1.500 edge-1 {line}"))]);
    let text = all.to_string();
    assert!(text.starts_with("  2500 ms since -4.000 s  edge-1  "), "{text}");
}

#[test]
fn the_command_lists_absences() {
    let want = Command::Away { files: vec!["a.log".into(), "b.log".into()], json: true };
    assert_eq!(parse(args("trace --away a.log b.log --json")), Ok(want));
    assert_eq!(parse(args("trace --away")), Ok(Command::Away { files: vec![], json: false }));
    let (code, _, err) = run("check --away a.text");
    assert_eq!((code, &*err), (2, "dogwoodreach: check takes no --away; try --help\n"));

    let path = |name: &str| Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    let write = |name: &str, text: &str| {
        std::fs::write(path(name), text).expect("a file in the tests' directory");
        path(name).display().to_string()
    };
    let away = write("away.log", &away_line(7_000, JOB, 3, 4_000, "room"));
    let (code, out, _) = run(&format!("trace --away {away}"));
    assert_eq!((code, out.lines().count()), (0, 2), "{out}");
    let (code, out, _) = run(&format!("trace --away {away} --json"));
    let json: serde_json::Value = serde_json::from_str(&out).expect("one JSON object");
    assert_eq!((code, &json["ok"]), (0, &true.into()));
    assert_eq!(json["absences"][0]["causes_ms"]["room"], 4_000);
    let none = write("none.log", ENTRY);
    let (code, out, _) = run(&format!("trace --away {none}"));
    assert_eq!((code, &*out), (0, "0 absences, the longest of 0 ms.\n"));
    let noise = write("noise.log", "\u{1f}\u{8b} no log\n");
    let (code, out, err) = run(&format!("trace --away {noise}"));
    assert_eq!((code, &*out, &*err), (2, "", "dogwoodreach: the input has no log lines\n"));
    let (code, out, _) = run(&format!("trace --away {away}.missing --json"));
    let json: serde_json::Value = serde_json::from_str(&out).expect("one JSON object");
    assert_eq!((code, &json["ok"]), (2, &false.into()));
}
